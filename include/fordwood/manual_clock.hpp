// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_MANUAL_CLOCK_HPP_INCLUDED
#define FORDWOOD_MANUAL_CLOCK_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood {

// A clock that changes only by advance(), for tests and deterministic benchmarks.
class ManualClock : public Clock
{
public:
    TimePoint now() const override { return m_now; }
    WallTime wallNow() const override { return m_wall; }

    // Advances both the monotonic and the calendar time.
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
