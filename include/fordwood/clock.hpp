// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CLOCK_HPP_INCLUDED
#define FORDWOOD_CLOCK_HPP_INCLUDED

#include <chrono>

namespace fordwood {

using Duration = std::chrono::nanoseconds;

// A point on the monotonic clock of one process. Never sent to another process.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Duration>;

// A point in calendar time, in milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Where every decision takes its time from. Tests pass a ManualClock.
class Clock
{
public:
    virtual ~Clock() = default;

    // Monotonic time; never goes back.
    virtual TimePoint now() const = 0;

    // Calendar time; may jump either way.
    virtual WallTime wallNow() const = 0;
};

} // namespace fordwood

#endif // FORDWOOD_CLOCK_HPP_INCLUDED
