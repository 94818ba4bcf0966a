// SPDX-License-Identifier: MIT
#include "apps/common/daemon.hpp"

#include <csignal>
#include <iostream>
#include <optional>

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include "adapters/observe/event_log.hpp"

namespace fordwood::apps {

namespace {

namespace po = boost::program_options;

using adapters::Event;
using adapters::logEvent;

// Signals are taken by the main thread alone, with sigwait().
sigset_t blockSignals()
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
    return signals;
}

// The settings file to use, or the exit code when there is nothing to run.
std::optional<std::string> parseOptions(int argc, char **argv, const std::string &name, int &code)
{
    po::options_description options("Options");
    options.add_options()("help", "show this text")("version", "show the version")(
        "settings", po::value<std::string>(), "settings file of this VM (TOML)");
    code = ExitUsage;
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << "Usage: " << name << " --settings FILE\n\n" << options;
            code = ExitOk;
            return std::nullopt;
        }
        if (values.count("version") != 0) {
            std::cout << name << " " << FORDWOOD_VERSION << "\n";
            code = ExitOk;
            return std::nullopt;
        }
        if (values.count("settings") != 0)
            return values["settings"].as<std::string>();
        std::cerr << name << ": --settings: is missing, expected a file\n";
    } catch (const po::error &ec) {
        std::cerr << name << ": " << ec.what() << "\n";
    }
    return std::nullopt;
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
    const sigset_t signals = blockSignals();
    curl_global_init(CURL_GLOBAL_DEFAULT);
    const std::unique_ptr<Daemon> daemon = make(*settings);
    if (!daemon->start())
        return ExitFailed;
    logEvent(Event::Started, {{"node", settings->node.name}, {"version", FORDWOOD_VERSION}});
    int signal = 0;
    sigwait(&signals, &signal);
    logEvent(Event::Stopping, {{"signal", signal}});
    daemon->beginStop();
    daemon->finishStop();
    logEvent(Event::Stopped);
    return ExitOk;
}

} // namespace fordwood::apps
