// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_SYSTEM_CLOCK_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_SYSTEM_CLOCK_HPP_INCLUDED

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// The clocks of the operating system.
class SystemClock : public Clock
{
public:
    TimePoint now() const override { return std::chrono::steady_clock::now(); }
    WallTime wallNow() const override
    {
        return std::chrono::time_point_cast<std::chrono::milliseconds>(
            std::chrono::system_clock::now());
    }
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_SYSTEM_CLOCK_HPP_INCLUDED
