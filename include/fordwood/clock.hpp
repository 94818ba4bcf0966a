// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CLOCK_HPP_INCLUDED
#define FORDWOOD_CLOCK_HPP_INCLUDED

#include <chrono>

namespace fordwood {

using Duration = std::chrono::nanoseconds;

// The clock type of TimePoint. It is distinct so that a time of std::chrono::steady_clock, which
// stops while the VM is suspended, does not convert to a TimePoint. Read it through Clock only.
class ProcessTime;

// A point in monotonic time of one process. Must not be sent to another process.
using TimePoint = std::chrono::time_point<ProcessTime, Duration>;

// A point in calendar time, in milliseconds since the Unix epoch.
using WallTime = std::chrono::time_point<std::chrono::system_clock, std::chrono::milliseconds>;

// The source of all times in the system. Tests use a ManualClock.
class Clock
{
public:
    virtual ~Clock() = default;

    // Monotonic time, which continues while the VM is suspended.
    virtual TimePoint now() const = 0;

    // Calendar time, which can jump forwards and backwards.
    virtual WallTime wallNow() const = 0;
};

} // namespace fordwood

#endif // FORDWOOD_CLOCK_HPP_INCLUDED
