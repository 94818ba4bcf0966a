// SPDX-License-Identifier: MIT
#include <csignal>
#include <iostream>
#include <thread>

#include "adapters/observe/build_version.hpp"
#include "adapters/observe/event_log.hpp"
#include "adapters/system_clock.hpp"
#include "apps/common/close_log.hpp"
#include "apps/common/daemon.hpp"
#include "apps/common/options.hpp"
#include "apps/common/process_signals.hpp"
#include "apps/common/terminate_log.hpp"
#include "node/control_loop.hpp"
#include "node/serving_loop.hpp"

namespace {

using namespace fordwood;
using adapters::Event;
using adapters::logEvent;

constexpr const char *kName = "fordwood-noded";

// Time to send the last messages to peers and the platform before the process ends.
constexpr Duration kFinalSendTime = std::chrono::milliseconds(100);

// Reads the settings. Errors are logged and written to standard error.
std::optional<config::OneProcessSettings> readSettings(const std::string &path)
{
    config::ConfigErrors errors;
    auto settings = config::readOneProcessSettings(path, errors);
    for (const config::ConfigError &it : errors) {
        std::cerr << it.toString() << "\n";
        logEvent(Event::SettingsRefused, {{"error", it.toString()}});
    }
    return settings;
}

// Waits for SIGTERM or SIGINT, which starts the stop that is returned. On SIGHUP, reloads the
// settings.
node::StopStarted waitForStop(apps::ProcessSignals &signals, const std::string &path,
                              node::ControlLoop &control)
{
    for (;;) {
        const apps::ProcessSignals::Taken signal = signals.wait();
        if (signal.number != SIGHUP) {
            logEvent(Event::Stopping, {{"signal", signal.number}});
            return {signal.sentAt, signal.takenAt};
        }
        if (const auto settings = readSettings(path)) {
            control.reload(*settings);
            logEvent(Event::SettingsReloaded);
        }
    }
}

// Serves until a planned stop has completed. Sets `signalledAt` to the earliest time of its signal.
int serve(const config::OneProcessSettings &settings, const std::string &path,
          apps::ProcessSignals &signals, std::optional<TimePoint> &signalledAt)
{
    const adapters::SystemClock clock;
    adapters::Metrics metrics;
    // The two loops refer to each other, so the pointers are set after both are constructed.
    node::ServingLoop *servingPointer = nullptr;
    node::ControlLoop *controlPointer = nullptr;
    node::ControlLoop control(settings, clock, metrics, [&](node::FleetUpdate it) {
        return servingPointer->mailbox().push(std::move(it));
    });
    const auto publishLoads = [&](node::OwnLoads it) {
        // If the mailbox is full, the report is dropped: the next one follows shortly.
        std::ignore = controlPointer->loadsMailbox().push(std::move(it));
    };
    const auto publishQuarantineUpdates = [&](std::vector<QuarantineUpdate> it) {
        return controlPointer->quarantineUpdatesMailbox().push(std::move(it));
    };
    const auto requestReplicaCheck = [&](TimePoint since) {
        // If the mailbox is full, the request is dropped: what waits for it ends without evidence.
        std::ignore = controlPointer->replicaChecksMailbox().push(since);
    };
    node::ServingLoop serving(settings, clock, metrics, publishLoads, publishQuarantineUpdates,
                              requestReplicaCheck);
    servingPointer = &serving;
    controlPointer = &control;
    serving.onEnding([&] { controlPointer->announceEnd(); });
    if (!control.open() || !serving.open())
        return apps::ExitFailed;
    logEvent(Event::Started, {{"node", settings.node.name}, {"version", adapters::buildVersion()}});
    if (settings.peers.placementListen.empty())
        logEvent(Event::NoPlacementAddress);
    std::thread controlThread([&] { control.run(); });
    std::thread servingThread([&] { serving.run(); });
    const node::StopStarted stop = waitForStop(signals, path, control);
    signalledAt = stop.signalledAt;
    control.beginStop(stop);
    servingThread.join();
    std::this_thread::sleep_for(serving.endAnnouncedAt() + kFinalSendTime - clock.now());
    control.stop();
    controlThread.join();
    return apps::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    int code = apps::ExitUsage;
    const auto path = apps::parseOptions(argc, argv, kName, code);
    if (!path)
        return code;
    adapters::openEventLog(kName, false);
    const auto settings = readSettings(*path);
    if (!settings)
        return apps::ExitUsage;
    adapters::openEventLog(kName, settings->jsonLog);
    apps::ProcessSignals signals({SIGTERM, SIGINT, SIGHUP});
    adapters::startLogThread();
    apps::logErrorsThatTerminate();
    std::optional<TimePoint> signalledAt;
    code = serve(*settings, *path, signals, signalledAt);
    return apps::closeLog(code, signalledAt);
}
