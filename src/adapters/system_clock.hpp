// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_SYSTEM_CLOCK_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_SYSTEM_CLOCK_HPP_INCLUDED

#include <ctime>

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// Monotonic clock that includes the time while the VM is suspended, for use with timers. The steady
// clock stops while suspended: a node suspended for longer than its lease would believe after
// resuming that it still holds its lock, although another node has acquired it.
struct BootClock
{
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = TimePoint;
    static constexpr bool is_steady = true; // NOLINT(readability-identifier-naming): std's name

    static TimePoint now()
    {
        timespec time{};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return TimePoint(std::chrono::seconds(time.tv_sec)
                         + std::chrono::nanoseconds(time.tv_nsec));
    }
};

// The clocks of the operating system.
class SystemClock : public Clock
{
public:
    TimePoint now() const override { return BootClock::now(); }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_SYSTEM_CLOCK_HPP_INCLUDED
