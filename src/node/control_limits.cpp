// SPDX-License-Identifier: MIT
#include "node/control_limits.hpp"

#include <algorithm>
#include <limits>
#include <random>

namespace fordwood::node {

namespace {

// By then a node has read the platform's store a second time, and knows the others that started
// with it: a large fleet that starts at once would else consist of relays.
constexpr Duration kLearning = std::chrono::milliseconds(750);

} // namespace

std::string makeNodeLife(const std::string &node)
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

std::size_t mostContextReaders(const ServingConfig &config)
{
    std::size_t least = 0;
    const auto note = [&least](std::size_t n) {
        if (n > 0 && (least == 0 || n < least))
            least = n;
    };
    for (const ContextStore &it : config.stores)
        note(it.maxReaders);
    if (least > 0)
        return least;
    for (const ServicePool &it : config.services)
        note(it.engine ? it.engine->maxReaders : 0);
    return least;
}

double vmStrength(const config::VmSettings &vm)
{
    constexpr double kMbpsOfCore = 100.0;
    return std::min(kMbpsOfCore * vm.processorShare * vm.processorSpeed, vm.linkMbps);
}

RelayRole::Limits roleLimits(const config::OneProcessSettings &settings)
{
    RelayRole::Limits limits;
    if (!settings.mechanisms.relays)
        limits.smallFleet = std::numeric_limits<std::size_t>::max();
    else if (settings.mechanisms.loadSums)
        limits.discovery = kLearning;
    return limits;
}

std::size_t fleetOfEachTold(const config::OneProcessSettings &settings)
{
    return settings.mechanisms.passingOn ? kSmallFleet : std::numeric_limits<std::size_t>::max();
}

} // namespace fordwood::node
