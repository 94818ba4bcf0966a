// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REPLICA_SERVER_HPP_INCLUDED
#define FORDWOOD_NODE_REPLICA_SERVER_HPP_INCLUDED

#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "adapters/observe/metrics.hpp"
#include "fordwood/store_replica.hpp"
#include "node/internal_server.hpp"

namespace fordwood::node {

// Answers peers that read this node's replica of the platform's store: with the changes after a
// version, or with a snapshot of all keys.
//
// Load pattern: hundreds of nodes start together, and each needs a snapshot of megabytes from one
// of a few peers. A snapshot is encoded and compressed once and shared by all who ask within a
// second; they read the changes since then as usual. Only as many are sent at once as the link
// carries in a second, so that each arrives; the others are told when to come back.
class ReplicaServer
{
public:
    struct Limits
    {
        double linkBytesPerSecond = 125'000'000.0;
        Duration snapshotLifetime = std::chrono::seconds(1);
        Duration sendTime = std::chrono::seconds(1); // in which the link carries all snapshots
    };

    ReplicaServer(const Clock &clock, const StoreReplica &replica, adapters::Metrics &metrics,
                  Limits limits)
        : m_clock(clock), m_replica(replica), m_metrics(metrics), m_limits(limits)
    { }

    // Returns nothing if the target is not for reads of the replica. `mayBeExpiry`: see
    // ReplicaPart.
    std::optional<ServedReply> reply(std::string_view target, bool mayBeExpiry);

    // Snapshots that are being sent.
    std::size_t snapshotsInFlight() const { return *m_inFlight; }

private:
    struct Snapshot
    {
        std::string packed;
        bool mayBeExpiry = false;
        TimePoint builtAt{};
        StoreVersion version;
    };

    ServedReply changes(std::string_view target, bool mayBeExpiry) const;
    ServedReply snapshot(bool mayBeExpiry);
    bool isCurrent(bool mayBeExpiry) const;
    std::size_t maxInFlight() const;

    const Clock &m_clock;
    const StoreReplica &m_replica;
    adapters::Metrics &m_metrics;
    const Limits m_limits;
    std::shared_ptr<const Snapshot> m_snapshot;
    std::shared_ptr<std::size_t> m_inFlight = std::make_shared<std::size_t>(0);
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_SERVER_HPP_INCLUDED
