// SPDX-License-Identifier: MIT
#include "fordwood/retry_schedule.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// At a lower rate the pause would exceed the maximum delay anyway.
constexpr double kMinRate = 0.01;

} // namespace

std::chrono::milliseconds RetrySchedule::next(double perSecond, Duration closedFor,
                                              Duration maxDelay)
{
    const TimePoint now = m_clock.now();
    const std::chrono::duration<double> pause(1.0 / std::max(perSecond, kMinRate));
    const TimePoint after
        = std::max(m_last, now + closedFor) + std::chrono::duration_cast<Duration>(pause);
    const TimePoint assigned = std::min(after, now + maxDelay);
    m_last = std::max(m_last, assigned);
    return std::chrono::ceil<std::chrono::milliseconds>(assigned - now);
}

} // namespace fordwood
