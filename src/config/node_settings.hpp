// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_NODE_SETTINGS_HPP_INCLUDED
#define FORDWOOD_CONFIG_NODE_SETTINGS_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

#include "config/config_error.hpp"
#include "config/settings.hpp"
#include "fordwood/allowed_regions.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/mechanisms.hpp"

namespace fordwood::config {

struct CallerSettings
{
    std::string listen;
    std::string readyListen;
    std::size_t maxConnections = 2'500;
    // What the node holds for slow readers; see BufferLimits.
    std::size_t channelBuffer = 65'536; // bytes
    double bufferShare = 0.25; // of the VM's memory, for all callers together
    double teamBufferShare = 0.5; // of that, for one team
    Duration unreadTimeout = std::chrono::seconds(20);
};

struct PeerSettings
{
    std::string listen; // where peers read this node's replica of the store
    std::string gossipListen; // UDP
    std::string metricsListen;
    std::string placementListen; // UDP; empty: this node neither schedules engines nor asks
    std::string proxyListen; // empty: this node neither connects for peers nor through them
    std::vector<std::string> seeds; // `listen` addresses of other nodes
    Duration gossipEvery = std::chrono::milliseconds(200);
};

struct StoreSettings
{
    std::string address;
    Duration minLease = std::chrono::seconds(1);
};

// Capacity of the VM.
struct VmSettings
{
    double processorShare = 1.0; // cores, or a fraction of one
    double processorSpeed = 1.0; // of a core, relative to other VMs
    double linkMbps = 1'000.0;
    double memoryMegabytes = 256.0;
};

// Limits that the platform's rules set, and what the platform's services guarantee.
struct BoundSettings
{
    Duration stopWithin = std::chrono::seconds(8);
    double retryRatio = 0.2;
    Duration retryWindow = std::chrono::seconds(10);
    double retrySlack = 50.0;
    Duration orderLease = std::chrono::seconds(3);
    bool fencesChecked = false;
    Duration weightsWithin = std::chrono::seconds(12);
    double coldOvershoot = 1.0;
    double coldSlack = 0.0;
};

// The settings file of a node that runs as one process (fordwood-noded).
struct OneProcessSettings
{
    NodeSettings node;
    CallerSettings callers;
    PeerSettings peers;
    StoreSettings store;
    BoundSettings bounds;
    VmSettings vm;
    DomainRegions regions;
    Mechanisms mechanisms;
    bool jsonLog = false;
};

// Reads and checks a settings file. Returns nothing when it adds an error.
std::optional<OneProcessSettings> readOneProcessSettings(const std::string &path,
                                                         ConfigErrors &errors);

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_NODE_SETTINGS_HPP_INCLUDED
