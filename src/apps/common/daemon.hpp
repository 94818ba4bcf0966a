// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_COMMON_DAEMON_HPP_INCLUDED
#define FORDWOOD_APPS_COMMON_DAEMON_HPP_INCLUDED

#include <functional>
#include <memory>
#include <string>

#include "config/settings.hpp"
#include "fordwood/clock.hpp"

namespace fordwood::apps {

// Exit codes of all programs.
enum ExitCode : int {
    ExitOk = 0,
    ExitFailed = 1, // the operation failed
    ExitUsage = 2, // wrong options or an invalid input file
};

// A long-running process with a planned stop.
class Daemon
{
public:
    virtual ~Daemon() = default;

    // Returns false after logging the cause if the daemon cannot serve.
    virtual bool start() = 0;

    // Begins a planned stop. `signalledAt`: the earliest time at which the signal may have been
    // sent.
    virtual void beginStop(TimePoint signalledAt) = 0;

    // Waits until the stop is complete.
    virtual void finishStop() = 0;
};

using DaemonFactory = std::function<std::unique_ptr<Daemon>(const config::Settings &settings)>;

// Parses options and settings, runs the daemon until SIGTERM or SIGINT, and returns the exit code.
int runDaemon(int argc, char **argv, const std::string &name, const DaemonFactory &make);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_COMMON_DAEMON_HPP_INCLUDED
