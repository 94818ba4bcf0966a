// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED

#include <csignal>
#include <initializer_list>
#include <optional>
#include <string>

namespace fordwood::apps {

// Blocks signals in all threads, so that the main thread can receive them with sigwait(). Also
// ignores SIGPIPE, so that a write to a closed connection raises no signal.
sigset_t blockSignals(std::initializer_list<int> signals);

// Parses a daemon's options. Returns the settings file, or nothing with the exit code in `code` if
// the program must end.
std::optional<std::string> parseOptions(int argc, char **argv, const std::string &name, int &code);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED
