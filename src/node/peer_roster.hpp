// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PEER_ROSTER_HPP_INCLUDED
#define FORDWOOD_NODE_PEER_ROSTER_HPP_INCLUDED

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/relay_role.hpp"
#include "node/net.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// The other nodes: who is known, who lives, and whom to tell what. A peer is known by its key in
// the platform's store or by its own messages; it counts as live while it is heard.
class PeerRoster
{
public:
    struct Self
    {
        std::string name;
        std::string failureDomain;
        double strength = 0.0; // of its VM; see vmStrength()
    };

    struct Peer
    {
        std::optional<udp::endpoint> gossip;
        bool hasKey = false; // in the platform's store
        std::optional<TimePoint> lastReceived;
        std::string replicaAddress;
        StoreVersion version; // of its copy of the store
        std::string failureDomain; // empty: not known
        double strength = 0.0; // of its VM; zero: not known
        bool reachesStore = false;
        bool getsStoreChanges = false;
        bool isRelay = false;
        bool followsContext = false;
    };

    PeerRoster(const Clock &clock, Self self) : m_clock(clock), m_self(std::move(self)) { }

    // A node has written its address, or its key is gone. A live peer is kept all the same.
    void setAddress(const std::string &node, const PeerAddress &address);
    void removeAddress(const std::string &node);

    // What a message says of the node that wrote it; `from`: where it came from, if directly.
    void update(const Gossip &message, const std::optional<udp::endpoint> &from);

    // Forgets peers without a key that have been silent for long.
    void removeSilent();

    const Self &self() const { return m_self; }
    const std::map<std::string, Peer> &peers() const { return m_peers; }
    std::size_t size() const { return m_peers.size(); }

    // The peers that have a key in the platform's store: the same for all nodes that have read up
    // to the same revision.
    std::vector<std::string> registeredPeers() const;
    bool isLive(const Peer &peer) const;
    bool isInOwnDomain(const Peer &peer) const
    {
        return peer.failureDomain == m_self.failureDomain;
    }

    // Peers heard of late, by name, without this node.
    std::vector<std::string> livePeers() const;

    // When the peer was last heard; nothing: never.
    std::optional<TimePoint> lastReceivedFrom(const std::string &node) const;

    // The live peers that say that the platform's store answers them.
    std::vector<std::string> peersReachingStore() const;

    // Whether a live peer is answered by the platform's store or hears of one that is.
    bool anyPeerGetsStoreChanges() const;

    // Of these, the ones in this node's failure domain.
    std::vector<RelayCandidate> domainPeersReachingStore() const;

    // All live peers.
    std::vector<RelayCandidate> liveCandidates() const;

    // The live peers that are relays.
    std::vector<RelayCandidate> relays() const;

    // Of these, the ones in this node's failure domain. A relay sends several times a second: one
    // that is silent for a second is replaced, sooner than a node counts as gone.
    std::vector<const Peer *> domainRelays() const;
    std::vector<RelayCandidate> domainRelayCandidates() const;

    // How many nodes of this failure domain rank before this one as relays, live or not.
    std::size_t countHigherRanked() const;

    // The nodes of this failure domain, without this one.
    std::vector<const Peer *> domainPeers() const;

    // Whom this node reports its load to: the relays of its failure domain. Where none is heard,
    // two candidates at a time, from the first on, so that one of them is found.
    std::vector<const Peer *> reportTargets();

    // Whom a relay tells its domain's sums: one node of each other failure domain, its relays in
    // turn. Where none is heard, two candidates at a time.
    std::vector<const Peer *> otherDomainTargets();

    // A live peer whose copy of the store is ahead of the version; its address for reading it.
    // Those that the store answers come first, then those of this node's failure domain.
    std::optional<std::string> findPeerAheadOf(const StoreVersion &version) const;

    // A live peer that follows the stores of kept context, other than the one at the address that
    // failed if there is another; its address for reading. Those of this node's failure domain come
    // first.
    std::optional<std::string> chooseContextRelay(const std::string &failed) const;

private:
    std::optional<std::string>
    selectAddress(const std::function<bool(const Peer &)> &isEligible,
                  const std::function<bool(const Peer &)> &isPreferred) const;
    std::vector<RelayCandidate>
    candidatesWhere(const std::function<bool(const Peer &)> &predicate) const;
    std::vector<std::string> liveWhere(const std::function<bool(const Peer &)> &predicate) const;
    void erase(const std::string &node);
    bool isLiveRelay(const Peer &peer) const;
    static std::vector<const Peer *>
    nextPair(std::vector<std::pair<std::string, const Peer *>> nodes, std::size_t round);

    const Clock &m_clock;
    const Self m_self;
    std::map<std::string, Peer> m_peers;
    std::map<std::string, const Peer *> m_recent; // those heard of late: few, in a large fleet
    mutable std::optional<std::size_t> m_higherRanked; // until the known nodes change
    std::size_t m_domainRound = 0; // of sums told to other domains
    std::size_t m_relaySearchRound = 0; // for a relay of this domain
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_ROSTER_HPP_INCLUDED
