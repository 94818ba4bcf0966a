// SPDX-License-Identifier: MIT
#include "node/replica_read_plan.hpp"

#include <algorithm>

namespace fordwood::node {

namespace {

// A peer that did not answer is asked again after this time, or earlier if it is the only one.
constexpr Duration kAvoidFailed = std::chrono::seconds(2);

// A peer that no longer has the changes since this node's version sends all keys. Where these do
// not arrive in time, they are read as a snapshot, which is smaller.
constexpr std::size_t kCutReadsBeforeSnapshot = 2;

// Addresses of nodes that are gone are dropped at this number.
constexpr std::size_t kMaxPeers = 64;

} // namespace

bool ReplicaReadPlan::needsSnapshot(const Peer &peer, bool isEmpty) const
{
    return !peer.hasNoSnapshots && (isEmpty || m_cutReads >= kCutReadsBeforeSnapshot);
}

std::optional<ReplicaReadPlan::Read> ReplicaReadPlan::next(const std::vector<std::string> &peers,
                                                           bool isEmpty)
{
    const TimePoint now = m_clock.now();
    const std::string *best = nullptr;
    Peer bestPeer;
    for (const std::string &address : peers) {
        const auto it = m_peers.find(address);
        const Peer peer = it == m_peers.end() ? Peer{} : it->second;
        // An empty replica has no use for changes: a peer of this version sends a snapshot.
        if (isEmpty && !peer.hasNoSnapshots && now < peer.deferredUntil)
            continue;
        const bool isBetter
            = !best || (bestPeer.avoidUntil > now && peer.avoidUntil < bestPeer.avoidUntil);
        if (!isBetter)
            continue;
        best = &address;
        bestPeer = peer;
    }
    if (!best)
        return std::nullopt;
    const bool isSnapshot = needsSnapshot(bestPeer, isEmpty) && now >= bestPeer.deferredUntil;
    return Read{*best, isSnapshot ? Kind::Snapshot : Kind::Changes};
}

void ReplicaReadPlan::ended(const Read &read, Outcome outcome, std::optional<Duration> pause)
{
    const TimePoint now = m_clock.now();
    if (outcome == Outcome::Done) {
        if (const auto it = m_peers.find(read.address); it != m_peers.end())
            it->second.avoidUntil = it->second.deferredUntil = TimePoint{};
        m_failures = 0;
        m_cutReads = 0;
        return;
    }
    m_failures += 1;
    if (m_peers.size() >= kMaxPeers)
        std::erase_if(m_peers, [now](const auto &it) {
            return it.second.avoidUntil <= now && it.second.deferredUntil <= now;
        });
    Peer &peer = m_peers[read.address];
    if (outcome == Outcome::NoSnapshots)
        peer.hasNoSnapshots = true;
    else if (pause && read.kind == Kind::Snapshot)
        peer.deferredUntil = now + *pause;
    else
        peer.avoidUntil = now + pause.value_or(kAvoidFailed);
    if (outcome == Outcome::Cut && read.kind == Kind::Changes)
        m_cutReads += 1;
}

} // namespace fordwood::node
