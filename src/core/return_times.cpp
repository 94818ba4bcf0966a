// SPDX-License-Identifier: MIT
#include "fordwood/return_times.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Limits come and go within some tens of seconds, and upstreams with them.
constexpr Duration kLatest = std::chrono::seconds(30);

// Below it the pause would be longer than the latest time anyway.
constexpr double kLeastRate = 0.01;

} // namespace

std::chrono::milliseconds ReturnTimes::next(double perSecond, Duration closedFor)
{
    const TimePoint now = m_clock.now();
    const std::chrono::duration<double> pause(1.0 / std::max(perSecond, kLeastRate));
    const TimePoint after
        = std::max(m_last, now + closedFor) + std::chrono::duration_cast<Duration>(pause);
    m_last = std::min(after, now + kLatest);
    return std::chrono::ceil<std::chrono::milliseconds>(m_last - now);
}

} // namespace fordwood
