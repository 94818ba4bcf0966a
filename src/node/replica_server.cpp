// SPDX-License-Identifier: MIT
#include "node/replica_server.hpp"

#include <algorithm>

#include "node/packing.hpp"
#include "node/peer_messages.hpp"
#include "node/replica_fetcher.hpp"

namespace fordwood::node {

namespace {

// With this many at once, each connection's share of the link is small however fast it is.
constexpr double kMaxSnapshotsInFlight = 64.0;

// When to ask a node again that has no replica yet. It reads the store, or a peer that does.
constexpr std::chrono::milliseconds kRetryWithoutReplica{200};

} // namespace

std::optional<ServedReply> ReplicaServer::reply(std::string_view target, bool mayBeExpiry)
{
    const bool isSnapshot = target == ReplicaFetcher::kSnapshotTarget;
    if (!isSnapshot && !target.starts_with(ReplicaFetcher::kTarget))
        return std::nullopt;
    if (m_replica.isEmpty()) {
        ServedReply later = makeReply(503);
        later.retryAfter = kRetryWithoutReplica;
        return later;
    }
    return isSnapshot ? snapshot(mayBeExpiry) : changes(target, mayBeExpiry);
}

ServedReply ReplicaServer::changes(std::string_view target, bool mayBeExpiry) const
{
    const auto since = ReplicaFetcher::parseTarget(target);
    if (!since)
        return makeReply(400);
    return makeReply(200, encodeReplicaPart({m_replica.changesSince(*since), mayBeExpiry}));
}

ServedReply ReplicaServer::snapshot(bool mayBeExpiry)
{
    if (!isCurrent(mayBeExpiry)) {
        m_snapshot = std::make_shared<const Snapshot>(
            Snapshot{pack(encodeReplicaPart({m_replica.changesSince({}), mayBeExpiry})),
                     mayBeExpiry, m_clock.now(), m_replica.version()});
        m_metrics.count("fordwood_snapshots_built_total");
        m_metrics.setGauge("fordwood_snapshot_bytes",
                           static_cast<double>(m_snapshot->packed.size()));
    }
    if (*m_inFlight >= maxInFlight()) {
        m_metrics.count("fordwood_snapshots_deferred_total");
        ServedReply later = makeReply(503);
        later.retryAfter = std::chrono::duration_cast<std::chrono::milliseconds>(m_limits.sendTime);
        return later;
    }
    *m_inFlight += 1;
    m_metrics.count("fordwood_snapshots_sent_total");
    // The connection holds the body until it is sent.
    const std::shared_ptr<const Snapshot> sent(
        m_snapshot.get(),
        [held = m_snapshot, inFlight = m_inFlight](const Snapshot *) { *inFlight -= 1; });
    ServedReply reply;
    reply.status = 200;
    reply.body = std::shared_ptr<const std::string>(sent, &sent->packed);
    return reply;
}

// A snapshot of an earlier epoch would not be accepted by a peer that knows the later one.
bool ReplicaServer::isCurrent(bool mayBeExpiry) const
{
    return m_snapshot && m_snapshot->mayBeExpiry == mayBeExpiry
           && m_snapshot->version.epoch == m_replica.version().epoch
           && m_clock.now() - m_snapshot->builtAt < m_limits.snapshotLifetime;
}

std::size_t ReplicaServer::maxInFlight() const
{
    const double seconds = std::chrono::duration<double>(m_limits.sendTime).count();
    const double bytes = static_cast<double>(std::max<std::size_t>(m_snapshot->packed.size(), 1));
    return static_cast<std::size_t>(
        std::clamp(m_limits.linkBytesPerSecond * seconds / bytes, 1.0, kMaxSnapshotsInFlight));
}

} // namespace fordwood::node
