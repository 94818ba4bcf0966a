// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_QUARANTINE_DISTRIBUTOR_HPP_INCLUDED
#define FORDWOOD_NODE_QUARANTINE_DISTRIBUTOR_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fordwood/gossip_queue.hpp"
#include "fordwood/quarantine.hpp"
#include "fordwood/store_replica.hpp"
#include "node/store_client.hpp"

namespace fordwood::node {

// Distributes what nodes find out about requests that make upstreams fail. Sends updates to peers
// at once, and writes quarantined requests to the platform's store for nodes that start later or
// that no peer reached.
class QuarantineDistributor
{
public:
    // Receives updates from other nodes and from the store for this node's serving thread.
    using Publish = std::function<void(std::vector<QuarantineUpdate>)>;

    QuarantineDistributor(const Clock &clock, StoreClient &store, const StoreReplica &replica,
                          Publish publish);

    // Adds updates from this node's own sends.
    void addOwn(const std::vector<QuarantineUpdate> &updates);

    // Adds updates from a peer. `forwards`: other nodes get them only through this node.
    void addFromPeer(const std::vector<QuarantineUpdate> &updates, bool forwards);

    // Adds a quarantined request that was read from the store.
    void addStored(const RequestFingerprint &request, const std::vector<std::uint64_t> &instances);

    // The updates for the next message to peers, and whether it should be sent soon.
    std::vector<QuarantineUpdate> nextBatch() { return m_gossipQueue.takeDue(); }
    bool hasUnsent() const { return m_gossipQueue.hasUnsent(); }

    void tick();

    // Key and value of a quarantined request in the store.
    static std::string keyOf(const RequestFingerprint &request);
    static std::optional<RequestFingerprint> parseKey(std::string_view key);
    static std::string encodeInstances(const std::vector<std::uint64_t> &instances);
    static std::optional<std::vector<std::uint64_t>> decodeInstances(std::string_view bytes);

private:
    // A quarantined request that this node has written to the store or is about to write.
    struct Write
    {
        bool isPending = false; // a call to the store is in progress
        StoreLease lease; // the key is removed with it
        TimePoint nextAttempt{};
    };

    bool apply(const QuarantineUpdate &update);
    bool isLeased(const Write &write) const { return write.lease.isValidIn(m_store.epoch()); }
    void logHeld(const RequestFingerprint &request);
    void onReleased(const RequestFingerprint &request);
    void storeHeldRequests();
    void removeReleasedRequests();
    void startWrite(const RequestFingerprint &request, Write &write);
    void grantLease(const RequestFingerprint &request);
    void putKey(const RequestFingerprint &request, std::int64_t lease);
    void revokeLease(const RequestFingerprint &request, Write &write);
    void retryLater(const RequestFingerprint &request);

    const Clock &m_clock;
    StoreClient &m_store;
    const StoreReplica &m_replica;
    Publish m_publish;
    Quarantine m_quarantine;
    GossipQueue m_gossipQueue;
    std::set<RequestFingerprint> m_ownSuspects; // upstreams failed while running them for this node
    std::map<RequestFingerprint, Write> m_writes;
    TimePoint m_nextSweep{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_QUARANTINE_DISTRIBUTOR_HPP_INCLUDED
