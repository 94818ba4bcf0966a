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

// A node that has requests for an upstream, as nodes tell each other.
struct SenderAnnouncement
{
    std::uint64_t node = 0; // this life of the node
    std::uint64_t sequence = 0; // grows with each time that the node says so

    bool operator==(const SenderAnnouncement &) const = default;
};

// Which nodes have requests for each upstream that takes only so many, and which of them may send:
// the first few in the upstream's rendezvous order, the same ones by every node's reckoning.
//
// The load pattern that it answers: callers come to some nodes and not to others, and where they
// come changes. With senders chosen among all nodes, those without callers leave their part of the
// rate unused. A node sends only while a peer names it among the first: what it does not hear of
// itself, others may not know either, so that neither a list that was cut short nor a cut between
// the nodes makes everyone the first.
class LimitSenders
{
public:
    // `self`: this life of this node, another number than any other's.
    LimitSenders(const Clock &clock, std::uint64_t self) : m_clock(clock), m_self(self) { }

    // Where this node stands among the senders to one upstream.
    struct Place
    {
        std::size_t rank = 0; // from zero
        std::size_t senders = 1;
    };

    // Whether no other node lives, as far as this one knows: then nobody has to name it.
    void setAlone(bool isAlone) { m_isAlone = isAlone; }

    // In a fleet whose nodes do not tell each other who has requests: these have some at all times,
    // beside this node. Lives, by number.
    void setFixedSenders(std::vector<std::uint64_t> others) { m_fixedSenders = std::move(others); }

    // This node has a request that the upstream could take. Upstreams are named by the hash of
    // their instance id.
    void recordDemand(std::uint64_t upstream);

    // The nodes that a peer names for an upstream.
    void applyAnnouncements(std::uint64_t upstream,
                            const std::vector<SenderAnnouncement> &announcements);

    // This node's place among at most so many senders; nothing: it is none of them, or has not said
    // for long enough that it has requests, so that others may still count without it.
    std::optional<Place> place(std::uint64_t upstream, std::size_t maxSenders) const;

    // Whether this node has requests for the upstream, as its peers should hear.
    std::vector<SenderAnnouncement> ownAnnouncement(std::uint64_t upstream) const;

    // The first so many in the order of the upstream, this node among them: for those who hear of
    // all nodes by this one.
    std::vector<SenderAnnouncement> firstAnnouncements(std::uint64_t upstream,
                                                       std::size_t max) const;

    void forget(std::uint64_t upstream) { m_upstreams.erase(upstream); }

private:
    // The newest word of another node.
    struct PeerAnnouncement
    {
        std::uint64_t sequence = 0;
        TimePoint receivedAt{};
    };

    struct Demand
    {
        std::optional<TimePoint> since; // this node has had requests without a longer pause
        TimePoint last{};
        std::optional<TimePoint> lastNamed; // when a peer last named this node
        std::map<std::uint64_t, PeerAnnouncement> others; // by node
    };

    static std::optional<Place> bounded(Place place, std::size_t maxSenders);
    bool hasDemand(const Demand &demand) const;
    bool isNamedByPeer(const Demand &demand) const;
    bool isWithin(TimePoint receivedAt, Duration age) const
    {
        return m_clock.now() - receivedAt < age;
    }
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
