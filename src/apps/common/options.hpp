// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED

#include <csignal>
#include <initializer_list>
#include <optional>
#include <string>

namespace fordwood::apps {

// Blocks signals in all threads, so that the main thread alone takes them, with sigwait(). A write
// to a closed connection raises none.
sigset_t blockSignals(std::initializer_list<int> signals);

// The settings file that a daemon shall use, or the exit code when there is nothing to run.
std::optional<std::string> parseOptions(int argc, char **argv, const std::string &name, int &code);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_OPTIONS_HPP_INCLUDED
