// SPDX-License-Identifier: MIT
#include "node/control_limits.hpp"

#include <algorithm>
#include <limits>
#include <random>

namespace fordwood::node {

namespace {

// After this time a node has read the platform's store twice and knows the nodes that started with
// it. Otherwise every node of a large fleet that starts at once would become a relay.
constexpr Duration kDiscoveryTime = std::chrono::milliseconds(750);

} // namespace

std::string makeNodeInstanceId(const std::string &node)
{
    std::random_device device;
    return node + "/" + std::to_string(device()) + std::to_string(device());
}

FencedLock::Limits lockLimits(const config::OneProcessSettings &settings)
{
    FencedLock::Limits limits;
    limits.ttl = std::max(limits.ttl, settings.store.minLease);
    limits.quietTime = settings.bounds.orderLease;
    return limits;
}

std::size_t maxContextReaders(const ServingConfig &config)
{
    std::size_t lowest = 0;
    const auto consider = [&lowest](std::size_t n) {
        if (n > 0 && (lowest == 0 || n < lowest))
            lowest = n;
    };
    for (const ContextStore &it : config.stores)
        consider(it.maxReaders);
    if (lowest > 0)
        return lowest;
    for (const ServicePool &it : config.services)
        consider(it.engine ? it.engine->maxReaders : 0);
    return lowest;
}

double vmStrength(const config::VmSettings &vm)
{
    constexpr double kMbpsOfCore = 100.0;
    return std::min(kMbpsOfCore * vm.processorShare * vm.processorSpeed, vm.linkMbps);
}

RelayRole::Limits relayRoleLimits(const config::OneProcessSettings &settings)
{
    RelayRole::Limits limits;
    if (!settings.mechanisms.relays)
        limits.smallFleet = std::numeric_limits<std::size_t>::max();
    else if (settings.mechanisms.loadSums)
        limits.discovery = kDiscoveryTime;
    return limits;
}

std::size_t directGossipLimit(const config::OneProcessSettings &settings)
{
    return settings.mechanisms.passingOn ? kSmallFleet : std::numeric_limits<std::size_t>::max();
}

} // namespace fordwood::node
