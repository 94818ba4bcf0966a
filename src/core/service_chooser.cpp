// SPDX-License-Identifier: MIT
#include "fordwood/service_chooser.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Costs are measured in requests per slot. An upstream whose requests all fail counts as this full.
constexpr double kFailureCost = 4.0;
// Crossing failure domains costs bandwidth and a millisecond: as much as a small load.
constexpr double kOtherDomainCost = 0.08;
// Only spreads requests over equal upstreams.
constexpr double kSpread = 0.01;

} // namespace

const UpstreamRecord *chooseUpstream(const std::vector<const UpstreamRecord *> &upstreams,
                                     const std::set<std::string> &tried,
                                     const std::string &ownFailureDomain, std::uint64_t salt,
                                     const UpstreamLoadTracker &loads, const UpstreamHealth &health)
{
    const UpstreamRecord *best = nullptr;
    double lowestCost = 0.0;
    for (const UpstreamRecord *it : upstreams) {
        if (tried.contains(it->instanceId) || health.isPaused(it->instanceId))
            continue;
        const auto slots = static_cast<double>(std::max<std::size_t>(it->slots, 1));
        double cost = static_cast<double>(loads.total(it->instanceId).running) / slots;
        cost += kFailureCost * health.failureRate(it->instanceId);
        if (health.isSilent(it->instanceId))
            cost += kFailureCost;
        if (it->failureDomain != ownFailureDomain)
            cost += kOtherDomainCost;
        const std::uint64_t hash = rendezvousWeight(salt, stableHash(it->instanceId));
        cost += kSpread * hashFraction(hash);
        if (best == nullptr || cost < lowestCost) {
            best = it;
            lowestCost = cost;
        }
    }
    return best;
}

} // namespace fordwood
