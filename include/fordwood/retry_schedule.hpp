// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED
#define FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED

#include <chrono>

#include "fordwood/clock.hpp"

namespace fordwood {

// When callers may come again who were refused because only so many requests a second are taken.
//
// The load pattern that it answers: callers who are all told the same time come back together, and
// all but a few are refused once more. So they return one after the other, in the order in which
// they were refused, as often as requests are taken.
class RetrySchedule
{
public:
    explicit RetrySchedule(const Clock &clock) : m_clock(clock) { }

    // From now until the next caller may come again, where so many requests are taken a second, and
    // none within `closedFor`. Bounded: later, other upstreams may serve it.
    std::chrono::milliseconds next(double perSecond, Duration closedFor = Duration::zero());

private:
    const Clock &m_clock;
    TimePoint m_last{}; // that was given
};

} // namespace fordwood

#endif // FORDWOOD_RETURN_TIMES_HPP_INCLUDED
