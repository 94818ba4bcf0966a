// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STALL_DETECTOR_HPP_INCLUDED
#define FORDWOOD_STALL_DETECTOR_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood {

// Detects that a thread was stalled, because its VM was frozen or it got no processor time. Data
// that it finds in its sockets and queues afterwards may be as old as the stall was long.
class StallDetector
{
public:
    // By default a shorter pause is no stall: longer than one iteration takes on the busiest VM.
    static constexpr Duration kMinStall = std::chrono::seconds(1);

    explicit StallDetector(const Clock &clock, Duration minStall = kMinStall)
        : m_clock(clock), m_minStall(minStall), m_lastPoll(clock.now())
    { }

    // To be called in each iteration of the thread's work, several times a second. Returns how long
    // the thread was stalled before this call; zero if it was not.
    Duration poll();

private:
    const Clock &m_clock;
    const Duration m_minStall;
    TimePoint m_lastPoll;
};

} // namespace fordwood

#endif // FORDWOOD_STALL_DETECTOR_HPP_INCLUDED
