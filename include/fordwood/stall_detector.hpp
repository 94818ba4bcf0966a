// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STALL_DETECTOR_HPP_INCLUDED
#define FORDWOOD_STALL_DETECTOR_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood {

// Tells a thread that it stood still: its VM was frozen, or it got no processor. What it finds in
// its sockets and rings then is as old as that.
class StallDetector
{
public:
    explicit StallDetector(const Clock &clock) : m_clock(clock), m_lastPoll(clock.now()) { }

    // A turn of the thread's work, several of which come in a second. Returns how long it stood
    // still before this one; zero: it ran.
    Duration poll();

private:
    const Clock &m_clock;
    TimePoint m_lastPoll;
};

} // namespace fordwood

#endif // FORDWOOD_STANDSTILL_WATCH_HPP_INCLUDED
