// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_QUARANTINE_DUTY_HPP_INCLUDED
#define FORDWOOD_NODE_QUARANTINE_DUTY_HPP_INCLUDED

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
#include "node/store_link.hpp"

namespace fordwood::node {

// Spreads what nodes know of requests that end upstreams: to peers at once, and what is held into
// the platform's store as well, for nodes that start later, or that no peer reached.
class QuarantineDuty
{
public:
    // Is told what this node's requests should know.
    using Tell = std::function<void(std::vector<QuarantineUpdate>)>;

    QuarantineDuty(const Clock &clock, StoreLink &store, const StoreReplica &replica, Tell tell);

    // What this node's own sends have shown.
    void takeOwn(const std::vector<QuarantineUpdate> &news);

    // What a peer has told. `passesOn`: others hear it from this node only.
    void takeHeard(const std::vector<QuarantineUpdate> &news, bool passesOn);

    // A held request stands in the store.
    void takeStored(const RequestFingerprint &request, const std::vector<std::uint64_t> &lives);

    // What goes into the next message to peers, and whether that should go soon.
    std::vector<QuarantineUpdate> newsForPeers() { return m_spreader.takeDue(); }
    bool hasNews() const { return m_spreader.hasUnsent(); }

    void tick();

    // The key under which a held request stands in the store, and its value.
    static std::string keyOf(const RequestFingerprint &request);
    static std::optional<RequestFingerprint> requestOf(std::string_view key);
    static std::string encodeLives(const std::vector<std::uint64_t> &lives);
    static std::optional<std::vector<std::uint64_t>> decodeLives(std::string_view bytes);

private:
    // A held request that this node has written into the store, or is about to.
    struct Write
    {
        bool isBusy = false; // a call is on its way
        StoreLease lease; // which the key goes with
        TimePoint next{};
    };

    bool take(const QuarantineUpdate &news);
    bool isLeased(const Write &write) const { return write.lease.isValidIn(m_store.epoch()); }
    void noteHeld(const RequestFingerprint &request);
    void noteReleased(const RequestFingerprint &request);
    void writeHeld();
    void takeBackReleased();
    void carryOut(const RequestFingerprint &request, Write &write);
    void grant(const RequestFingerprint &request);
    void put(const RequestFingerprint &request, std::int64_t lease);
    void takeBack(const RequestFingerprint &request, Write &write);
    void retry(const RequestFingerprint &request);

    const Clock &m_clock;
    StoreLink &m_store;
    const StoreReplica &m_replica;
    Tell m_tell;
    Quarantine m_quarantine;
    GossipQueue m_spreader;
    std::set<RequestFingerprint> m_own; // suspects under this node's own sends
    std::map<RequestFingerprint, Write> m_writes;
    TimePoint m_nextSweep{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_QUARANTINE_DUTY_HPP_INCLUDED
