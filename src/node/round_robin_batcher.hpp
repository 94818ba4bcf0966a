// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ROUND_ROBIN_BATCHER_HPP_INCLUDED
#define FORDWOOD_NODE_ROUND_ROBIN_BATCHER_HPP_INCLUDED

#include <cstddef>
#include <vector>

namespace fordwood::node {

// Selects the reports for one message to peers: all of them or, if there are too many for a
// datagram, successive batches round robin.
template <typename Report>
class RoundRobinBatcher
{
public:
    // For limits with up to 64 senders each: about 50 KB, and usually a tenth of that.
    static constexpr std::size_t kMaxPerMessage = 64;

    std::vector<Report> next(const std::vector<Report> &reports)
    {
        if (reports.size() <= kMaxPerMessage)
            return reports;
        std::vector<Report> batch;
        for (std::size_t n = 0; n < kMaxPerMessage; ++n)
            batch.push_back(reports[(m_next + n) % reports.size()]);
        m_next = (m_next + kMaxPerMessage) % reports.size();
        return batch;
    }

private:
    std::size_t m_next = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ROUND_ROBIN_BATCHER_HPP_INCLUDED
