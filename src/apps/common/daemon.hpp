// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_DAEMON_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_DAEMON_HPP_INCLUDED

#include <functional>
#include <memory>
#include <string>

#include "config/settings.hpp"

namespace fordwood::apps {

// Exit codes of all programs.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1, // could not do its work
    ExitUsage = 2, // wrong options, or a text that was refused
};

// What a daemon does between its start and its stop.
class Daemon
{
public:
    virtual ~Daemon() = default;

    // False when it cannot serve; the cause has been logged.
    virtual bool start() = 0;

    // Begins a planned stop.
    virtual void beginStop() = 0;

    // Waits until the stop is complete.
    virtual void finishStop() = 0;
};

using DaemonFactory = std::function<std::unique_ptr<Daemon>(const config::Settings &settings)>;

// Reads options and settings, runs the daemon until SIGTERM or SIGINT, and gives the exit code.
int runDaemon(int argc, char **argv, const std::string &name, const DaemonFactory &make);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_DAEMON_HPP_INCLUDED
