// SPDX-License-Identifier: MIT
#include <atomic>
#include <csignal>
#include <iostream>
#include <thread>

#include "adapters/observe/event_log.hpp"
#include "adapters/system_clock.hpp"
#include "apps/common/daemon.hpp"
#include "apps/common/options.hpp"
#include "node/control_loop.hpp"
#include "node/serving_loop.hpp"

namespace {

using namespace fordwood;
using adapters::Event;
using adapters::logEvent;

constexpr const char *kName = "fordwood-noded";

// The time in which the last messages to peers and to the platform leave.
constexpr Duration kGoodbyeTime = std::chrono::milliseconds(100);

// Reads the settings; what is wrong is logged and shown.
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

// Waits for SIGTERM or SIGINT; a SIGHUP has the settings read again.
int waitForStop(const sigset_t &signals, const std::string &path, node::ControlLoop &control)
{
    for (;;) {
        int signal = 0;
        sigwait(&signals, &signal);
        if (signal != SIGHUP)
            return signal;
        if (const auto settings = readSettings(path)) {
            control.reload(*settings);
            logEvent(Event::SettingsReloaded);
        }
    }
}

// Serves until a planned stop is complete.
int serve(const config::OneProcessSettings &settings, const std::string &path,
          const sigset_t &signals)
{
    const adapters::SystemClock clock;
    adapters::Metrics metrics;
    // Each thread is told of the other only after both stand.
    node::ServingLoop *trafficDuty = nullptr;
    node::ControlLoop *controlLoop = nullptr;
    node::ControlLoop control(settings, clock, metrics, [&](node::FleetUpdate it) {
        return trafficDuty->mailbox().push(std::move(it));
    });
    const auto tellLoads = [&](node::OwnLoads it) {
        // Loads are told again a moment later: one that does not fit is not missed.
        std::ignore = controlLoop->loadsMailbox().push(std::move(it));
    };
    const auto tellRequestNews = [&](std::vector<QuarantineUpdate> it) {
        return controlLoop->quarantineUpdatesMailbox().push(std::move(it));
    };
    node::ServingLoop traffic(settings, clock, metrics, tellLoads, tellRequestNews);
    trafficDuty = &traffic;
    controlLoop = &control;
    if (!control.open() || !traffic.open())
        return apps::ExitFailed;
    logEvent(Event::Started, {{"node", settings.node.name}, {"version", FORDWOOD_VERSION}});
    std::thread controlThread([&] { control.run(); });
    std::thread trafficThread([&] { traffic.run(); });
    logEvent(Event::Stopping, {{"signal", waitForStop(signals, path, control)}});
    control.beginStop();
    trafficThread.join();
    control.finishStop();
    std::this_thread::sleep_for(kGoodbyeTime);
    control.stop();
    controlThread.join();
    logEvent(Event::Stopped);
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
    const sigset_t signals = apps::blockSignals({SIGTERM, SIGINT, SIGHUP});
    adapters::startLogThread();
    code = serve(*settings, *path, signals);
    adapters::stopLogThread();
    return code;
}
