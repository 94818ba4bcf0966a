// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PEER_TABLE_HPP_INCLUDED
#define FORDWOOD_PEER_TABLE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// The links of a node to its peers: the versions that each peer has, when its last message arrived,
// and which expected peers are silent. No I/O and no threads.
class PeerTable
{
public:
    struct Link
    {
        TimePoint lastReceived{};
        TimePoint lastSent{};
        std::uint64_t headVersion = 0; // newest known version of the peer
        std::uint64_t listRevision = 0;
    };

    explicit PeerTable(const Clock &clock) : m_clock(clock) { }

    void addLink(const std::string &peer);
    // False when there was no such link.
    bool removeLink(const std::string &peer);
    // Removes the link after the peer closed it on purpose, so that the peer is not reported as
    // silent.
    void closedByPeer(const std::string &peer);

    // The link to a peer; null when there is none.
    Link *find(const std::string &peer);
    std::map<std::string, Link> &links() { return m_links; }
    const std::map<std::string, Link> &links() const { return m_links; }
    bool has(const std::string &peer) const { return m_links.count(peer) != 0; }

    // The peer for the `n`th request, round robin; empty when there is no link.
    std::string roundRobin(std::size_t n) const;

    // Sets the peers that must send heartbeats. Those without a link count as silent from now on.
    void setExpected(std::set<std::string> peers);

    // Expected peers from which no message arrived for at least `span`.
    std::vector<std::string> silentFor(Duration span) const;

    // Linked peers to which nothing was sent for at least `span`.
    std::vector<std::string> sentNothingFor(Duration span) const;

private:
    const Clock &m_clock;
    std::map<std::string, Link> m_links;
    std::set<std::string> m_expected;
    std::map<std::string, TimePoint> m_unlinkedSince; // expected peers without a link
};

} // namespace fordwood

#endif // FORDWOOD_PEER_TABLE_HPP_INCLUDED
