// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_CLOSE_LOG_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_CLOSE_LOG_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"

namespace fordwood::apps {

// Closes the log and returns the exit code for main(). `signalledAt`: the earliest time of the
// signal that stopped the process, if one did. If the log cannot be written, ends the process with
// the exit code at once, without the pending lines.
int closeLog(int code, std::optional<TimePoint> signalledAt);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_CLOSE_LOG_HPP_INCLUDED
