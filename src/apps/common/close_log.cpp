// SPDX-License-Identifier: MIT
#include "apps/common/close_log.hpp"

#include <cstdlib>

#include "adapters/observe/event_log.hpp"
#include "adapters/system_clock.hpp"

namespace fordwood::apps {

int closeLog(int code, std::optional<TimePoint> signalledAt)
{
    std::optional<Duration> sinceSignal;
    if (signalledAt)
        sinceSignal = adapters::SystemClock().now() - *signalledAt;
    if (!adapters::stopLogThread(sinceSignal))
        std::_Exit(code);
    return code;
}

} // namespace fordwood::apps
