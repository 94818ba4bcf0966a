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

// Spreads what nodes know of requests that end upstreams: to peers at once, and what is held into
// the platform's store as well, for nodes that start later, or that no peer reached.
class QuarantineDistributor
{
public:
    // Is told what this node's requests should know.
    using Publish = std::function<void(std::vector<QuarantineUpdate>)>;

    QuarantineDistributor(const Clock &clock, StoreClient &store, const StoreReplica &replica,
                          Publish publish);

    // What this node's own sends have shown.
    void addOwn(const std::vector<QuarantineUpdate> &updates);

    // What a peer has told. `forwards`: others hear it from this node only.
    void addFromPeer(const std::vector<QuarantineUpdate> &updates, bool forwards);

    // A held request stands in the store.
    void addStored(const RequestFingerprint &request, const std::vector<std::uint64_t> &instances);

    // What goes into the next message to peers, and whether that should go soon.
    std::vector<QuarantineUpdate> nextBatch() { return m_gossipQueue.takeDue(); }
    bool hasUnsent() const { return m_gossipQueue.hasUnsent(); }

    void tick();

    // The key under which a held request stands in the store, and its value.
    static std::string keyOf(const RequestFingerprint &request);
    static std::optional<RequestFingerprint> parseKey(std::string_view key);
    static std::string encodeInstances(const std::vector<std::uint64_t> &instances);
    static std::optional<std::vector<std::uint64_t>> decodeInstances(std::string_view bytes);

private:
    // A held request that this node has written into the store, or is about to.
    struct Write
    {
        bool isPending = false; // a call is on its way
        StoreLease lease; // which the key goes with
        TimePoint nextAttempt{};
    };

    bool apply(const QuarantineUpdate &updates);
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
    std::set<RequestFingerprint> m_ownSuspects; // suspects under this node's own sends
    std::map<RequestFingerprint, Write> m_writes;
    TimePoint m_nextSweep{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_QUARANTINE_DISTRIBUTOR_HPP_INCLUDED
