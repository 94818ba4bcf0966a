// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED

#include <optional>
#include <string>

namespace fordwood::apps {

// Parses a daemon's options. Returns the settings file, or nothing with the exit code in `code` if
// the program must end.
std::optional<std::string> parseOptions(int argc, char **argv, const std::string &name, int &code);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED
