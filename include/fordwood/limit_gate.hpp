// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIMIT_GATE_HPP_INCLUDED
#define FORDWOOD_LIMIT_GATE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/limit_senders.hpp"
#include "fordwood/limit_share.hpp"
#include "fordwood/upstream_limits.hpp"

namespace fordwood {

// How many requests this node may send to upstreams that name a limit for all nodes together.
//
// The load pattern that it answers: callers keep all nodes busy, so that each of them has a request
// for an overloaded upstream at any moment, while the upstream takes two or three a second from
// all. Without it eight nodes sent 43 requests in four seconds to one that bears 22. The nodes that
// have requests for an upstream divide its limit: each of the first few may send one request in so
// many seconds. None is saved up by a node that waits, stands still or has just come.
class LimitGate
{
public:
    // `self`: this life of this node, another number than any other's.
    LimitGate(const Clock &clock, std::uint64_t self);

    // What is believed of the limits; the upstreams that are in service are to be made known to it.
    UpstreamLimits &upstreamLimits() { return m_upstreamLimits; }
    const UpstreamLimits &upstreamLimits() const { return m_upstreamLimits; }

    // The upstream's life is over.
    void forget(const std::string &instanceId);

    // How many nodes live, this one included.
    void setLiveNodeCount(std::size_t n);

    // In a fleet whose nodes tell each other nothing of limits: the others, by name. Each of them
    // is taken to have requests, and to have heard of a limit by its own answers.
    void setNonGossipingPeers(const std::vector<std::string> &others);

    // What a peer has told, and what peers should hear: of this node alone, where relays tell it
    // on, or also of the others that it has heard of.
    std::vector<LimitChange> applyUpdates(const std::vector<LimitGossip> &updates);
    std::vector<LimitGossip> ownUpdates() const;
    std::vector<LimitGossip> allUpdates() const;

    // Whether a request that waits here may go to the upstream now; always to one without a limit.
    bool maySend(const std::string &instanceId);

    // A request goes to the upstream.
    void recordSend(const std::string &instanceId);

    // Requests a second that this node may send; nothing: any number.
    std::optional<double> ownRate(const std::string &instanceId) const;

    // Requests a second that all nodes together may send; nothing: any number.
    std::optional<double> totalRate(const std::string &instanceId) const;

private:
    bool isFleetComplete() const;
    std::optional<LimitShare> share(std::uint64_t upstream) const;

    const Clock &m_clock;
    UpstreamLimits m_upstreamLimits;
    LimitSenders m_senders;
    // When the next request may go is counted from here: the last one, or when this node's turn
    // among the senders began.
    std::map<std::uint64_t, TimePoint> m_lastSends; // by the hash of the instance id
    std::size_t m_liveNodes = 1;
    std::size_t m_nodesBeforeLoss = 1; // before nodes fell silent
    std::optional<TimePoint> m_nodeLossTime; // when the last of them did
};

} // namespace fordwood

#endif // FORDWOOD_LIMIT_GATE_HPP_INCLUDED
