// SPDX-License-Identifier: MIT
#include "fordwood/retry_schedule.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Limits and upstreams come and go within some tens of seconds.
constexpr Duration kMaxDelay = std::chrono::seconds(30);

// At a lower rate the pause would exceed the maximum delay anyway.
constexpr double kMinRate = 0.01;

} // namespace

std::chrono::milliseconds RetrySchedule::next(double perSecond, Duration closedFor)
{
    const TimePoint now = m_clock.now();
    const std::chrono::duration<double> pause(1.0 / std::max(perSecond, kMinRate));
    const TimePoint after
        = std::max(m_last, now + closedFor) + std::chrono::duration_cast<Duration>(pause);
    m_last = std::min(after, now + kMaxDelay);
    return std::chrono::ceil<std::chrono::milliseconds>(m_last - now);
}

} // namespace fordwood
