// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CLOCK_HPP_INCLUDED
#define FORDWOOD_CLOCK_HPP_INCLUDED

#include <chrono>

namespace fordwood {

using Duration = std::chrono::nanoseconds;

// Names the clock of TimePoint, which is read through Clock only. A type of its own, so that a time
// of std::chrono::steady_clock, which stands still while the VM is suspended, does not pass for it.
class ProcessTime;

// A point on the monotonic clock of one process. Never sent to another process.
using TimePoint = std::chrono::time_point<ProcessTime, Duration>;

// A point in calendar time, in milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// Where every decision takes its time from. Tests pass a ManualClock.
class Clock
{
public:
    virtual ~Clock() = default;

    // Monotonic time; never goes back, and goes on while the VM is suspended.
    virtual TimePoint now() const = 0;

    // Calendar time; may jump either way.
    virtual WallTime wallNow() const = 0;
};

} // namespace fordwood

#endif // FORDWOOD_CLOCK_HPP_INCLUDED
