// SPDX-License-Identifier: MIT
#include "fordwood/relay_role.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

std::size_t strengthRank(std::string_view task, const RelayCandidate &self,
                         const std::vector<RelayCandidate> &others)
{
    const auto order = [key = stableHash(task)](const RelayCandidate &it) {
        return std::pair(it.strength, rendezvousWeight(key, stableHash(it.node)));
    };
    const auto own = order(self);
    const auto before = std::count_if(others.begin(), others.end(),
                                      [&](const RelayCandidate &it) { return order(it) > own; });
    return static_cast<std::size_t>(before);
}

bool RelayRole::isNeeded(const Peers &peers) const
{
    if (peers.liveNodes <= std::min(m_limits.smallFleet, m_maxReaders))
        return true;
    return strengthRank("relay", m_self, peers.relaysReachingStore) < m_limits.relaysPerDomain;
}

// Ranks 0 and 1 take over immediately, 2 and 3 after one step, 4 to 7 after two.
Duration RelayRole::takeoverDelay(std::size_t rank) const
{
    const auto pauses = std::bit_width(rank / m_limits.relaysPerDomain);
    return m_limits.takeoverStep * static_cast<std::int64_t>(pauses);
}

bool RelayRole::isRecoveringFromStall() const
{
    return m_stallEndedAt && m_clock.now() - *m_stallEndedAt < m_limits.stallRecovery;
}

void RelayRole::update(const Peers &peers)
{
    if (m_isDiscovering) {
        // Without a replica a node knows no other, and has nothing that others could get from it.
        if (!peers.hasReplica)
            m_discoveringSince = m_clock.now();
        m_isDiscovering = m_clock.now() - m_discoveringSince < m_limits.discovery;
        if (m_isDiscovering)
            return;
    }
    if (isRecoveringFromStall()) {
        m_neededSince.reset();
        m_noChangesSince.reset();
        return;
    }
    updateRelay(peers);
    updateFallback(peers);
    m_followsContext = m_isRelay && strengthRank("relay", m_self, peers.relays) < m_maxReaders;
}

void RelayRole::updateRelay(const Peers &peers)
{
    const TimePoint now = m_clock.now();
    if (isNeeded(peers)) {
        m_notNeededSince.reset();
        if (!m_neededSince)
            m_neededSince = now;
        if (now - *m_neededSince >= takeoverDelay(peers.higherRanked))
            m_isRelay = true;
        return;
    }
    m_neededSince.reset();
    if (!m_notNeededSince)
        m_notNeededSince = now;
    if (now - *m_notNeededSince >= m_limits.stepDownDelay)
        m_isRelay = false;
}

void RelayRole::updateFallback(const Peers &peers)
{
    const TimePoint now = m_clock.now();
    // A fallback reader that reaches the store continues until a relay reaches it, since the relays
    // may get their changes from it.
    const bool mustContinue = m_isFallbackReader && peers.reachesStore && !peers.relayReachesStore;
    if (peers.relayGetsStoreChanges && !mustContinue) {
        m_noChangesSince.reset();
        m_isFallbackReader = false;
        return;
    }
    if (!m_noChangesSince)
        m_noChangesSince = now;
    const auto rank = static_cast<std::int64_t>(peers.higherRanked);
    if (now - *m_noChangesSince >= m_limits.fallbackStep * rank)
        m_isFallbackReader = true;
}

} // namespace fordwood
