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

// Decides how many requests this node may send to upstreams that advertise a rate limit for all
// nodes together. The nodes that have requests for an upstream divide its limit: each of the first
// few senders may send one request per fixed interval. A node that waits, is paused or has just
// started accumulates no credit. Without this gate, callers that keep all nodes busy overload the
// upstream: eight nodes sent 43 requests within four seconds to an upstream with a capacity of 22.
class LimitGate
{
public:
    // `self`: a number unique to this run of this node.
    LimitGate(const Clock &clock, std::uint64_t self);

    // The limits of the upstreams. Upstreams in service must be registered here with addUpstream().
    UpstreamLimits &upstreamLimits() { return m_upstreamLimits; }
    const UpstreamLimits &upstreamLimits() const { return m_upstreamLimits; }

    // Drops all state of an upstream instance that has ended.
    void forget(const std::string &instanceId);

    // The number of live nodes, including this one.
    void setLiveNodeCount(std::size_t n);

    // For a fleet whose nodes do not exchange limits: the names of the other nodes. Each of them is
    // assumed to have requests for every limited upstream, and to learn the limits from its own
    // responses.
    void setNonGossipingPeers(const std::vector<std::string> &others);

    // applyUpdates() merges limits received from a peer. ownUpdates() is what this node sends where
    // relays forward it, with this node as the only sender; allUpdates() also contains the other
    // senders that this node has heard from.
    std::vector<LimitChange> applyUpdates(const std::vector<LimitGossip> &updates);
    std::vector<LimitGossip> ownUpdates() const;
    std::vector<LimitGossip> allUpdates() const;

    // Whether a waiting request may go to the upstream now; always true without a limit. The call
    // also records that this node has a request for the upstream.
    bool maySend(const std::string &instanceId);

    // Records that a request is sent to the upstream.
    void recordSend(const std::string &instanceId);

    // Requests per second that this node may send; empty without a limit.
    std::optional<double> ownRate(const std::string &instanceId) const;

    // Requests per second that all nodes together may send; empty without a limit.
    std::optional<double> totalRate(const std::string &instanceId) const;

private:
    bool isFleetComplete() const;
    std::optional<LimitShare> share(std::uint64_t upstream) const;

    const Clock &m_clock;
    UpstreamLimits m_upstreamLimits;
    LimitSenders m_senders;
    // The start of the interval before the next request: the last send, or the time from which this
    // node counts as a sender.
    std::map<std::uint64_t, TimePoint> m_lastSends; // by the hash of the instance id
    std::size_t m_liveNodes = 1;
    std::size_t m_nodesBeforeLoss = 1; // before the most recent loss of nodes
    std::optional<TimePoint> m_nodeLossTime; // when a node was last lost
};

} // namespace fordwood

#endif // FORDWOOD_LIMIT_GATE_HPP_INCLUDED
