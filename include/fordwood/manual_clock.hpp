// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_MANUAL_CLOCK_HPP_INCLUDED
#define FORDWOOD_MANUAL_CLOCK_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood {

// A paused clock that moves only when told to, for tests and deterministic benches.
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override { return m_wall; }

    // Moves both the monotonic and the calendar time forward.
    void advance(Duration by)
    {
        m_now += by;
        m_wall += std::chrono::duration_cast<std::chrono::milliseconds>(by);
    }

private:
    TimePoint m_now{std::chrono::hours(1)};
    WallTime m_wall{std::chrono::hours(24 * 365 * 50)};
};

} // namespace fordwood

#endif // FORDWOOD_MANUAL_CLOCK_HPP_INCLUDED
