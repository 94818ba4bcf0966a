// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_COLD_GATE_HPP_INCLUDED
#define FORDWOOD_COLD_GATE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// Tracks which upstreams are cold, and limits how many requests this node sends to them. A newly
// started upstream has no load, so every node prefers it at the same moment, although it can serve
// only a few requests per second at first and fails beyond that. The bound applies to all nodes
// together, but nodes cannot coordinate each request. Instead a few nodes per cold upstream, chosen
// the same way by every node, may send to it and divide its rate; the others skip it. With 79 nodes
// and without the gate a cold upstream got up to 31 requests in a second, where 26 were allowed.
class ColdGate
{
public:
    struct Limits
    {
        // The capacity of a cold upstream in any one second is its configured rate times
        // `overshoot`, plus `slack` requests.
        double overshoot = 1.0;
        double slack = 0.0;
        // Number of nodes that may send to one cold upstream. One may die, and its share is unused
        // until the others notice; with many senders, each share is too small to be used in time.
        std::size_t senders = 4;
        // The window over which sends are counted: one second, plus the variation in latency
        // between two requests.
        Duration window = std::chrono::milliseconds(1'100);
    };

    // `self`: the name of this node.
    ColdGate(const Clock &clock, Limits limits, const std::string &self);

    // The names of the other live nodes.
    void setNodes(const std::vector<std::string> &others);

    // The upstream is cold for `remaining`; zero: it is warm.
    void setCold(const std::string &instanceId, Duration remaining);

    // The upstream may have restarted without having reported it yet. It counts as cold for at
    // least `coldStart`.
    void suspectRestart(const std::string &instanceId, Duration coldStart);

    void forget(const std::string &instanceId) { m_upstreams.erase(instanceId); }

    bool isCold(const std::string &instanceId) const;

    // Whether this node may send a request now; always true for an upstream that is not cold.
    // `requestsPerSecond`: the configured rate of a cold upstream; zero: unlimited.
    bool maySend(const std::string &instanceId, double requestsPerSecond);

    // Records that a request is sent to the upstream.
    void recordSend(const std::string &instanceId);

    // The number of cold upstreams, for the metrics.
    std::size_t coldUpstreams() const;

private:
    using NodeHashes = std::vector<std::uint64_t>; // hashes of node names

    struct Upstream
    {
        TimePoint coldUntil{};
        TimePoint suspectUntil{};
        std::deque<TimePoint> sends; // within the window
        // The version of the node list for which `rank` and `previousRank` were computed; zero: not
        // computed yet.
        std::uint64_t rankedForVersion = 0;
        std::size_t rank = 0; // among the nodes that may send to it
        std::size_t previousRank = 0; // in the node list before the last change
    };

    bool isCold(const Upstream &upstream) const;
    std::size_t totalQuota(double requestsPerSecond) const;
    // The number of other nodes that precede this node in the upstream's rendezvous order.
    std::size_t rankAmong(const std::optional<NodeHashes> &others, std::uint64_t upstream) const;
    // Requests that this node may send within a window, out of `total` for all nodes.
    std::size_t ownQuota(Upstream &upstream, const std::string &instanceId, std::size_t total);

    const Clock &m_clock;
    const Limits m_limits;
    const std::uint64_t m_self;
    std::optional<NodeHashes> m_nodes; // the other nodes; empty: not received yet
    std::optional<NodeHashes> m_previousNodes; // the list that was valid at least one window ago
    TimePoint m_nodesChangedAt;
    std::uint64_t m_nodesVersion = 1; // incremented with each change of the node list
    std::map<std::string, Upstream> m_upstreams; // by instance id, once cold
};

} // namespace fordwood

#endif // FORDWOOD_COLD_GATE_HPP_INCLUDED
