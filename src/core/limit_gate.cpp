// SPDX-License-Identifier: MIT
#include "fordwood/limit_gate.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A node that has disappeared may still be running on the other side of a partition. Partitions
// between failure domains occasionally last longer than this, but a fleet that has really shrunk
// must not lose a third of the limit permanently.
constexpr Duration kPartitionSuspectedFor = std::chrono::minutes(5);

// The time that the given number of requests takes at the rate of the share.
Duration timeFor(std::size_t requests, const LimitShare &share)
{
    const std::chrono::duration<double> time(static_cast<double>(requests) / share.perSecond);
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace

LimitGate::LimitGate(const Clock &clock, std::uint64_t self)
    : m_clock(clock), m_upstreamLimits(clock), m_senders(clock, self)
{ }

void LimitGate::forget(const std::string &instanceId)
{
    const std::uint64_t upstream = stableHash(instanceId);
    m_upstreamLimits.forget(instanceId);
    m_senders.forget(upstream);
    m_lastSends.erase(upstream);
}

void LimitGate::setLiveNodeCount(std::size_t n)
{
    const std::size_t before = isFleetComplete() ? m_liveNodes : m_nodesBeforeLoss;
    if (n < m_liveNodes)
        m_nodeLossTime = m_clock.now();
    m_nodesBeforeLoss = std::max(before, n);
    m_liveNodes = n;
    m_senders.setAlone(n <= 1);
    if (n >= m_nodesBeforeLoss)
        m_nodeLossTime.reset();
}

void LimitGate::setNonGossipingPeers(const std::vector<std::string> &others)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(others.size());
    for (const std::string &it : others)
        hashes.push_back(stableHash(it));
    m_senders.setFixedSenders(std::move(hashes));
    setLiveNodeCount(others.size() + 1);
}

bool LimitGate::isFleetComplete() const
{
    return !m_nodeLossTime || m_clock.now() - *m_nodeLossTime >= kPartitionSuspectedFor;
}

std::vector<LimitChange> LimitGate::applyUpdates(const std::vector<LimitGossip> &updates)
{
    std::vector<LimitChange> changes = m_upstreamLimits.applyUpdates(updates);
    for (const LimitGossip &it : updates) {
        if (m_upstreamLimits.perSecond(it.upstream))
            m_senders.applyAnnouncements(it.upstream, it.senders);
    }
    return changes;
}

std::vector<LimitGossip> LimitGate::ownUpdates() const
{
    std::vector<LimitGossip> updates = m_upstreamLimits.updates();
    for (LimitGossip &it : updates)
        it.senders = m_senders.ownAnnouncement(it.upstream);
    return updates;
}

std::vector<LimitGossip> LimitGate::allUpdates() const
{
    std::vector<LimitGossip> updates = m_upstreamLimits.updates();
    for (LimitGossip &it : updates) {
        if (const auto division = share(it.upstream))
            it.senders = m_senders.firstAnnouncements(it.upstream, division->senders);
    }
    return updates;
}

std::optional<LimitShare> LimitGate::share(std::uint64_t upstream) const
{
    const auto perSecond = m_upstreamLimits.perSecond(upstream);
    if (!perSecond)
        return std::nullopt;
    return shareOfLimit(*perSecond, isFleetComplete());
}

bool LimitGate::maySend(const std::string &instanceId)
{
    if (m_upstreamLimits.limitedUpstreams() == 0)
        return true;
    const std::uint64_t upstream = stableHash(instanceId);
    const auto division = share(upstream);
    if (!division)
        return true;
    m_senders.recordDemand(upstream);
    const auto rank = m_senders.senderRank(upstream, division->senders);
    if (!rank)
        return false;
    const TimePoint now = m_clock.now();
    // Staggers the first sends of nodes that become senders at the same time.
    const Duration sinceTurn = timeFor(rank->senders - rank->rank, *division);
    const auto last = m_lastSends.try_emplace(upstream, now - sinceTurn).first;
    return now - last->second >= timeFor(rank->senders, *division);
}

void LimitGate::recordSend(const std::string &instanceId)
{
    const std::uint64_t upstream = stableHash(instanceId);
    if (m_upstreamLimits.perSecond(upstream))
        m_lastSends[upstream] = m_clock.now();
}

std::optional<double> LimitGate::ownRate(const std::string &instanceId) const
{
    const std::uint64_t upstream = stableHash(instanceId);
    const auto division = share(upstream);
    if (!division)
        return std::nullopt;
    const auto rank = m_senders.senderRank(upstream, division->senders);
    return rank ? division->perSecond / static_cast<double>(rank->senders) : 0.0;
}

std::optional<double> LimitGate::totalRate(const std::string &instanceId) const
{
    const auto division = share(stableHash(instanceId));
    return division ? std::optional(division->perSecond) : std::nullopt;
}

} // namespace fordwood
