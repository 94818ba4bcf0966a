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

// The links of one node to its peers: what each peer is known to have, when it was last heard, and
// which peers should be heard but are not. No I/O and no threads.
class PeerTable
{
public:
    struct Link
    {
        TimePoint lastReceived{};
        TimePoint lastSent{};
        std::uint64_t headVersion = 0; // newest that the peer is known to have
        std::uint64_t listRevision = 0;
    };

    explicit PeerTable(const Clock &clock) : m_clock(clock) { }

    void addLink(const std::string &peer);
    // False when there was no such link.
    bool removeLink(const std::string &peer);
    // The peer has closed the link on purpose: its silence means nothing.
    void closedByPeer(const std::string &peer);

    // The link to a peer; null when there is none.
    Link *find(const std::string &peer);
    std::map<std::string, Link> &links() { return m_links; }
    const std::map<std::string, Link> &links() const { return m_links; }
    bool has(const std::string &peer) const { return m_links.count(peer) != 0; }

    // One of the peers, in turn; empty when there is no link.
    std::string roundRobin(std::size_t n) const;

    // Replaces the peers from whom heartbeats are due; the time runs from now for those without a
    // link.
    void setExpected(std::set<std::string> peers);

    // Expected peers that were not heard for so long.
    std::vector<std::string> silentFor(Duration span) const;

    // Peers to whom nothing was sent for so long.
    std::vector<std::string> sentNothingFor(Duration span) const;

private:
    const Clock &m_clock;
    std::map<std::string, Link> m_links;
    std::set<std::string> m_expected;
    std::map<std::string, TimePoint> m_unlinkedSince; // expected peers without a link
};

} // namespace fordwood

#endif // FORDWOOD_PEER_TABLE_HPP_INCLUDED
