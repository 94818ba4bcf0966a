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
#include "node/net.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// Datagrams to and from the other nodes, and who of them lives. A peer is known by its key in the
// platform's store or by its own messages; it counts as live while it is heard.
class PeerLinks
{
public:
    using Heard = std::function<void(const Gossip &)>;

    PeerLinks(net::io_context &context, const Clock &clock, std::string ownName, Heard heard);

    // False when the address cannot be used; `ec` tells why.
    bool open(const std::string &address, ErrorCode &ec);

    // A node has written its address, or its key is gone. A live peer is kept all the same.
    void setAddress(const std::string &node, const PeerAddress &address);
    void removeAddress(const std::string &node);

    void sendAll(const Gossip &message);

    // Peers heard of late, by name, without this node.
    std::vector<std::string> live() const;

    // When the peer was last heard; nothing: never.
    std::optional<TimePoint> lastHeard(const std::string &node) const;

    // The live peers that say that the platform's store answers them.
    std::vector<std::string> reachingStore() const;

    // A live peer whose copy of the store is ahead of the revision; its address for reading it.
    std::optional<std::string> aheadOf(std::int64_t revision) const;

private:
    struct Peer
    {
        std::optional<udp::endpoint> gossip;
        bool hasKey = false; // in the platform's store
        std::optional<TimePoint> heard;
        std::string replicaAddress;
        std::int64_t revision = 0;
        bool reachesStore = false;
    };

    void receive();
    void take(const Gossip &message);
    bool isLive(const Peer &peer) const;

    static constexpr std::size_t kMostBytes = 65'507; // of a datagram

    const Clock &m_clock;
    const std::string m_ownName;
    Heard m_heard;
    udp::socket m_socket;
    udp::endpoint m_sender;
    std::array<char, kMostBytes> m_bytes{};
    std::map<std::string, Peer> m_peers;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_LINKS_HPP_INCLUDED
