// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_BUSIEST_WINDOW_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_BUSIEST_WINDOW_HPP_INCLUDED

#include <algorithm>
#include <cstddef>
#include <vector>

namespace fordwood::support {

// The highest number of arrivals in any window that begins at an arrival at or after `from`. Works
// with the time points of any clock.
template <typename Time, typename Window>
std::size_t busiestWindow(std::vector<Time> arrivals, Window window, Time from)
{
    std::sort(arrivals.begin(), arrivals.end());
    std::size_t most = 0;
    for (auto first = std::lower_bound(arrivals.begin(), arrivals.end(), from);
         first != arrivals.end(); ++first) {
        const auto end = std::lower_bound(first, arrivals.end(), *first + window);
        most = std::max(most, static_cast<std::size_t>(end - first));
    }
    return most;
}

} // namespace fordwood::support

#endif // FORDWOOD_TESTS_SUPPORT_BUSIEST_WINDOW_HPP_INCLUDED
