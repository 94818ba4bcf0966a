// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
#define FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED

#include <array>
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

// Datagrams to and from the other nodes, and who of them lives. A peer is known by its key in the
// platform's store or by its own messages; it counts as live while it is heard. In a large fleet a
// message crosses to each other failure domain once, and is passed on there: with 82 nodes in four
// domains three datagrams instead of some sixty.
class PeerLinks
{
public:
    using Heard = std::function<void(const Gossip &)>;

    struct Self
    {
        std::string name;
        std::string failureDomain;
    };

    // `smallFleet`: up to so many nodes, each tells each other one.
    PeerLinks(net::io_context &context, const Clock &clock, Self self, std::size_t smallFleet,
              Heard heard);

    // False when the address cannot be used; `ec` tells why.
    bool open(const std::string &address, ErrorCode &ec);

    // A node has written its address, or its key is gone. A live peer is kept all the same.
    void setAddress(const std::string &node, const PeerAddress &address);
    void removeAddress(const std::string &node);

    void sendAll(const Gossip &message);

    // Datagrams that this node has sent.
    std::size_t datagramsSent() const { return m_datagramsSent; }

    // Peers heard of late, by name, without this node.
    std::vector<std::string> live() const;

    // When the peer was last heard; nothing: never.
    std::optional<TimePoint> lastHeard(const std::string &node) const;

    // The live peers that say that the platform's store answers them.
    std::vector<std::string> reachingStore() const;

    // Of these, the ones in the failure domain.
    std::vector<RelayCandidate> reachingStoreIn(const std::string &failureDomain) const;

    // All live peers.
    std::vector<RelayCandidate> liveCandidates() const;

    // The live peers that are relays.
    std::vector<RelayCandidate> relays() const;

    // A live peer whose copy of the store is ahead of the revision; its address for reading it.
    // Those that the store answers come first, then those of this node's failure domain.
    std::optional<std::string> aheadOf(std::int64_t revision) const;

    // A live peer that follows the stores of kept context, other than the one at the address that
    // failed if there is another; its address for reading. Those of this node's failure domain come
    // first.
    std::optional<std::string> contextFollower(const std::string &failed) const;

private:
    struct Peer
    {
        std::optional<udp::endpoint> gossip;
        bool hasKey = false; // in the platform's store
        std::optional<TimePoint> heard;
        std::string replicaAddress;
        std::int64_t revision = 0;
        std::string failureDomain; // empty: not known
        double strength = 0.0; // of its VM; zero: not known
        bool reachesStore = false;
        bool isRelay = false;
        bool followsContext = false;
    };

    // What a datagram's first byte says of the message behind it.
    enum class Delivery : char {
        Direct, // from the node that wrote it
        PassOn, // likewise; the receiver tells the others of its failure domain
        Passed, // from a node that was asked to
    };

    void receive();
    void received(std::string_view datagram);
    void passOn(std::string datagram);
    void send(const std::string &datagram, const Peer &peer);
    double distanceTo(const Peer &peer) const;
    void sendAcross(std::string datagram, const std::vector<const Peer *> &members);
    void take(const Gossip &message, bool isDirect);
    bool isNear(const Peer &peer) const;
    bool isLive(const Peer &peer) const;
    std::optional<std::string> best(const std::function<bool(const Peer &)> &willDo,
                                    const std::function<bool(const Peer &)> &isPreferred) const;
    std::vector<RelayCandidate>
    candidatesWhere(const std::function<bool(const Peer &)> &holds) const;
    std::vector<std::string> liveWhere(const std::function<bool(const Peer &)> &holds) const;

    static constexpr std::size_t kMostBytes = 65'507; // of a datagram

    const Clock &m_clock;
    const Self m_self;
    const std::size_t m_smallFleet;
    Heard m_heard;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, kMostBytes> m_bytes{};
    std::map<std::string, Peer> m_peers;
    std::size_t m_sends = 0; // messages
    std::size_t m_datagramsSent = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
