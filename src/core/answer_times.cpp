// SPDX-License-Identifier: MIT
#include "fordwood/answer_times.hpp"

#include <algorithm>
#include <cmath>

namespace fordwood {

void AnswerTimes::record(const std::string &key, Duration time)
{
    Latest &latest = m_latest[key];
    latest.times[latest.recorded % kMaxAnswers] = time;
    latest.recorded += 1;
}

std::optional<Duration> AnswerTimes::within(const std::string &key, double share) const
{
    const auto found = m_latest.find(key);
    if (found == m_latest.end() || found->second.recorded < kMinAnswers)
        return std::nullopt;
    std::array<Duration, kMaxAnswers> times = found->second.times;
    const auto n = static_cast<std::ptrdiff_t>(std::min(found->second.recorded, kMaxAnswers));
    const auto rank = static_cast<std::ptrdiff_t>(std::ceil(share * static_cast<double>(n)));
    const auto at = times.begin() + std::clamp<std::ptrdiff_t>(rank, 1, n) - 1;
    std::nth_element(times.begin(), at, times.begin() + n);
    return *at;
}

void AnswerTimes::retain(const std::set<std::string> &keys)
{
    std::erase_if(m_latest, [&](const auto &it) { return !keys.contains(it.first); });
}

} // namespace fordwood
