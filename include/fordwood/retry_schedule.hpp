// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED
#define FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED

#include <chrono>

#include "fordwood/clock.hpp"

namespace fordwood {

// Assigns the times at which callers that a rate limit refused may retry.
//
// If all of them got the same time, they would return together, and all but a few would be refused
// again. Instead they return one after the other, in the order of their refusals, at the rate at
// which requests are accepted.
class RetrySchedule
{
public:
    explicit RetrySchedule(const Clock &clock) : m_clock(clock) { }

    // Time until the next caller may retry, at `perSecond` accepted requests per second and none
    // within `closedFor`. Bounded, as other upstreams may serve the caller later.
    std::chrono::milliseconds next(double perSecond, Duration closedFor = Duration::zero());

private:
    const Clock &m_clock;
    TimePoint m_last{}; // latest time assigned
};

} // namespace fordwood

#endif // FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED
