// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_SETTINGS_HPP_INCLUDED
#define FORDWOOD_CONFIG_SETTINGS_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "fordwood/clock.hpp"

namespace fordwood::config {

struct NodeSettings
{
    std::string name;
    std::string failureDomain;
    std::string region;
};

struct EntrySettings
{
    std::string listen;
    unsigned httpThreads = 2;
    std::size_t maxBodyBytes = 4'194'304;
    std::size_t maxIncomingBytes = 67'108'864; // of all bodies that are being received
    std::size_t maxHeaderBytes = 16'384;
    unsigned maxConnections = 4096;
    std::size_t maxInFlight = 2048;
    Duration readTimeout = std::chrono::seconds(30);
    std::size_t answerBufferBytes = 262'144;
    Duration ownerTimeout = std::chrono::milliseconds(500);
    Duration stopNotice = std::chrono::seconds(2);
    Duration stopTimeout{0};
};

struct ControlSettings
{
    std::string listen;
    std::string metricsListen;
    std::vector<std::string> seeds; // addresses of other nodes
};

struct PlatformSettings
{
    std::string keyValue;
    std::string vmList;
    Duration vmListPeriod = std::chrono::seconds(1);
};

// The settings file of an entry VM, read by fordwood-entryd and fordwood-controld.
struct Settings
{
    NodeSettings node;
    EntrySettings entry;
    ControlSettings control;
    PlatformSettings platform;
    bool jsonLog = false;
};

// Reads and checks a settings file. Returns nothing when it adds an error.
std::optional<Settings> readSettings(const std::string &path, ConfigErrors &errors);

// Reads a whole file. Adds an error and returns nothing when it cannot be read.
std::optional<std::string> readFile(const std::string &path, ConfigErrors &errors);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_SETTINGS_HPP_INCLUDED
