// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STANDSTILL_WATCH_HPP_INCLUDED
#define FORDWOOD_STANDSTILL_WATCH_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood {

// Tells a thread that it stood still: its VM was frozen, or it got no processor. What it finds in
// its sockets and rings then is as old as that.
class StandstillWatch
{
public:
    explicit StandstillWatch(const Clock &clock) : m_clock(clock), m_lastTurn(clock.now()) { }

    // A turn of the thread's work, several of which come in a second. Returns how long it stood
    // still before this one; zero: it ran.
    Duration turn();

private:
    const Clock &m_clock;
    TimePoint m_lastTurn;
};

} // namespace fordwood

#endif // FORDWOOD_STANDSTILL_WATCH_HPP_INCLUDED
