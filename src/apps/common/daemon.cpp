// SPDX-License-Identifier: MIT
#include "apps/common/daemon.hpp"

#include <cerrno>
#include <chrono>
#include <csignal>
#include <iostream>

#include <curl/curl.h>

#include "adapters/observe/event_log.hpp"
#include "adapters/system_clock.hpp"
#include "apps/common/options.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

// How often the process makes sure that no signal is pending. Tells how long one may have been when
// it is taken, as a process without processor time takes none.
constexpr std::chrono::milliseconds kSignalCheckInterval{100};

struct StopSignal
{
    int number = 0;
    TimePoint sentAt{}; // at the earliest
};

// Waits for one of the signals.
StopSignal waitForSignal(const sigset_t &signals)
{
    const adapters::SystemClock clock;
    const timespec interval{0, std::chrono::nanoseconds(kSignalCheckInterval).count()};
    TimePoint lastWithoutSignal = clock.now();
    for (;;) {
        const TimePoint start = clock.now();
        const int signal = sigtimedwait(&signals, nullptr, &interval);
        if (signal > 0)
            return {signal, lastWithoutSignal};
        if (errno == EAGAIN)
            lastWithoutSignal = start + kSignalCheckInterval;
    }
}

} // namespace

int runDaemon(int argc, char **argv, const std::string &name, const DaemonFactory &make)
{
    int code = ExitUsage;
    const auto path = parseOptions(argc, argv, name, code);
    if (!path)
        return code;
    config::ConfigErrors errors;
    const auto settings = config::readSettings(*path, errors);
    adapters::openEventLog(name, settings && settings->jsonLog);
    if (!settings) {
        for (const config::ConfigError &it : errors) {
            std::cerr << it.toString() << "\n";
            logEvent(Event::SettingsRefused, {{"error", it.toString()}});
        }
        return ExitUsage;
    }
    const sigset_t signals = blockSignals({SIGTERM, SIGINT});
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::unique_ptr<Daemon> daemon = make(*settings);
    if (!daemon->start())
        return ExitFailed;
    logEvent(Event::Started, {{"node", settings->node.name}, {"version", FORDWOOD_VERSION}});
    const StopSignal signal = waitForSignal(signals);
    logEvent(Event::Stopping, {{"signal", signal.number}});
    daemon->beginStop(signal.sentAt);
    daemon->finishStop();
    logEvent(Event::Stopped);
    return ExitOk;
}

} // namespace fordwood::apps
