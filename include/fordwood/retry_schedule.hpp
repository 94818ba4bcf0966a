// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED
#define FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED

#include <chrono>

#include "fordwood/clock.hpp"

namespace fordwood {

// Assigns the times at which callers that were refused for a rate limit or for load may retry.
//
// If all of them got the same time, they would return together, and all but a few would be refused
// again. Instead they return one after the other, in the order of their refusals, at the rate at
// which requests are accepted.
class RetrySchedule
{
public:
    explicit RetrySchedule(const Clock &clock) : m_clock(clock) { }

    // Longest delay by default: limits and upstreams come and go within some tens of seconds.
    static constexpr Duration kMaxDelay = std::chrono::seconds(30);

    // Time until the next caller may retry, at `perSecond` accepted requests per second and none
    // within `closedFor`. Bounded by `maxDelay`, as other upstreams may serve the caller later.
    // A caller's own bound does not bring the times of later callers forward.
    std::chrono::milliseconds next(double perSecond, Duration closedFor = Duration::zero(),
                                   Duration maxDelay = kMaxDelay);

private:
    const Clock &m_clock;
    TimePoint m_last{}; // latest time assigned
};

} // namespace fordwood

#endif // FORDWOOD_RETRY_SCHEDULE_HPP_INCLUDED
