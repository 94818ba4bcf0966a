// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIMIT_SENDERS_HPP_INCLUDED
#define FORDWOOD_LIMIT_SENDERS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// Announces that a node has requests for an upstream.
struct SenderAnnouncement
{
    std::uint64_t node = 0; // identifies one run of the node
    std::uint64_t sequence = 0; // increases with each announcement of the node

    bool operator==(const SenderAnnouncement &) const = default;
};

// Tracks which nodes have requests for each rate-limited upstream, and selects the few that may
// send: the first in the upstream's rendezvous order, so that all nodes select the same ones. Only
// nodes with requests are candidates, since callers may use only some of the nodes, and which ones
// changes over time; senders selected among all nodes would leave the rate of nodes without callers
// unused. A node sends only while a peer includes it among the first. Otherwise a truncated list or
// a partition could make every node consider itself the first.
class LimitSenders
{
public:
    // `self`: a number unique to this run of this node.
    LimitSenders(const Clock &clock, std::uint64_t self) : m_clock(clock), m_self(self) { }

    // The rank of this node among the senders to one upstream.
    struct SenderRank
    {
        std::size_t rank = 0; // from zero
        std::size_t senders = 1;
    };

    // Whether this node knows of no other live node. Then it sends without being listed by a peer.
    void setAlone(bool isAlone) { m_isAlone = isAlone; }

    // For a fleet whose nodes do not exchange announcements: the ids of the other nodes, which are
    // assumed to have requests at all times.
    void setFixedSenders(std::vector<std::uint64_t> others) { m_fixedSenders = std::move(others); }

    // Records that this node has a request for the upstream. Upstreams are identified by the hash
    // of their instance id.
    void recordDemand(std::uint64_t upstream);

    // Merges the senders that a peer announces for an upstream.
    void applyAnnouncements(std::uint64_t upstream,
                            const std::vector<SenderAnnouncement> &announcements);

    // This node's rank among at most `maxSenders` senders. Empty if it is not one of them, or has
    // not announced its requests for long enough for the other nodes to take it into account.
    std::optional<SenderRank> senderRank(std::uint64_t upstream, std::size_t maxSenders) const;

    // This node's announcement for its peers; empty if it has no requests for the upstream.
    std::vector<SenderAnnouncement> ownAnnouncement(std::uint64_t upstream) const;

    // The first `max` senders in the upstream's order, including this node. A relay forwards them
    // to nodes that receive announcements only through it.
    std::vector<SenderAnnouncement> firstAnnouncements(std::uint64_t upstream,
                                                       std::size_t max) const;

    void forget(std::uint64_t upstream) { m_upstreams.erase(upstream); }

private:
    // The latest announcement of another node.
    struct PeerAnnouncement
    {
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
    };

    struct Demand
    {
        std::optional<TimePoint> since; // start of this node's current run of requests
        TimePoint last{};
        std::optional<TimePoint> lastNamed; // when a peer last listed this node
        std::map<std::uint64_t, PeerAnnouncement> others; // by node
    };

    static std::optional<SenderRank> bounded(SenderRank senderRank, std::size_t maxSenders);
    bool hasDemand(const Demand &demand) const;
    bool isNamedByPeer(const Demand &demand) const;
    bool isWithin(TimePoint time, Duration age) const { return m_clock.now() - time < age; }
    std::uint64_t millisecondsOf(TimePoint time) const;
    void applyAnnouncement(Demand &demand, const SenderAnnouncement &announcement);

    const Clock &m_clock;
    const std::uint64_t m_self;
    bool m_isAlone = true;
    std::optional<std::vector<std::uint64_t>> m_fixedSenders;
    std::map<std::uint64_t, Demand> m_upstreams;
};

} // namespace fordwood

#endif // FORDWOOD_LIMIT_SENDERS_HPP_INCLUDED
