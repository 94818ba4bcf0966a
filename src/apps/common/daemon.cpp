// SPDX-License-Identifier: MIT
#include "apps/common/daemon.hpp"

#include <csignal>
#include <iostream>
#include <optional>

#include <curl/curl.h>

#include "adapters/observe/build_version.hpp"
#include "adapters/observe/event_log.hpp"
#include "apps/common/close_log.hpp"
#include "apps/common/options.hpp"
#include "apps/common/process_signals.hpp"
#include "apps/common/terminate_log.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;

// Serves until a planned stop has completed. Sets `signalledAt` to the earliest time of its signal.
int serve(const config::Settings &settings, const DaemonFactory &make, ProcessSignals &signals,
          std::optional<TimePoint> &signalledAt)
{
    const std::unique_ptr<Daemon> daemon = make(settings);
    if (!daemon->start())
        return ExitFailed;
    logEvent(Event::Started, {{"node", settings.node.name}, {"version", adapters::buildVersion()}});
    const ProcessSignals::Taken signal = signals.wait();
    logEvent(Event::Stopping, {{"signal", signal.number}});
    signalledAt = signal.sentAt;
    daemon->beginStop(signal.sentAt);
    daemon->finishStop();
    return ExitOk;
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
    ProcessSignals signals({SIGTERM, SIGINT});
    curl_global_init(CURL_GLOBAL_DEFAULT);
    adapters::startLogThread();
    logErrorsThatTerminate();
    std::optional<TimePoint> signalledAt;
    code = serve(*settings, make, signals, signalledAt);
    return closeLog(code, signalledAt);
}

} // namespace fordwood::apps
