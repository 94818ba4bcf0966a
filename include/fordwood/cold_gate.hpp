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

// Which upstreams are cold, and how many requests this node may send to each of them.
//
// The load pattern that it answers: an upstream that has just started is empty, so that every node
// prefers it at the same moment, while it bears only a few requests a second and falls over beyond
// that. The bound holds over all nodes together, which cannot ask each other for each request: for
// each cold upstream a few nodes, the same ones by every node's reckoning, may send to it and
// divide its rate among them; the others pass it over. With 79 nodes a cold upstream got up to 31
// requests in a second without the gate, where 26 were allowed.
class ColdGate
{
public:
    struct Limits
    {
        // What an upstream bears in any one second: so many times its stated rate, and so many
        // requests more.
        double overshoot = 1.0;
        double slack = 0.0;
        // Nodes that may send to one cold upstream. One may be gone, and its part of the rate
        // unused until the others know; with many, each part is too small to be used in time.
        std::size_t senders = 4;
        // Over which sends are counted: a second, and what one request may take longer on its way
        // than another.
        Duration window = std::chrono::milliseconds(1'100);
    };

    // `self`: this node's name.
    ColdGate(const Clock &clock, Limits limits, const std::string &self);

    // The other nodes that are known to live, by name.
    void setNodes(const std::vector<std::string> &others);

    // The upstream stays cold for so long; zero: it is warm.
    void setCold(const std::string &instanceId, Duration remaining);

    // The upstream may have started again without having said so yet: it is taken as cold for so
    // long at least.
    void suspectRestart(const std::string &instanceId, Duration coldStart);

    void forget(const std::string &instanceId) { m_upstreams.erase(instanceId); }

    bool isCold(const std::string &instanceId) const;

    // Whether this node may send a request now; always for an upstream that is not cold.
    // `requestsPerSecond`: what the upstream is stated to bear while it is cold; zero: any number.
    bool maySend(const std::string &instanceId, double requestsPerSecond);

    // A request goes to the upstream.
    void recordSend(const std::string &instanceId);

    // Upstreams that are cold now, for the metrics.
    std::size_t coldUpstreams() const;

private:
    using NodeHashes = std::vector<std::uint64_t>; // of names

    struct Upstream
    {
        TimePoint coldUntil{};
        TimePoint suspectUntil{};
        std::deque<TimePoint> sends; // within the window
        // The change of the nodes for which the next two hold; zero: not judged yet.
        std::uint64_t rankedForVersion = 0;
        std::size_t rank = 0; // among the nodes that may send to it
        std::size_t previousRank = 0; // by the nodes before the last change
    };

    bool isCold(const Upstream &upstream) const;
    std::size_t totalQuota(double requestsPerSecond) const;
    // How many of the others come before this node in the order of the upstream's senders.
    std::size_t rankAmong(const std::optional<NodeHashes> &others, std::uint64_t upstream) const;
    // What this node may send in a window.
    std::size_t ownQuota(Upstream &upstream, const std::string &instanceId, std::size_t total);

    const Clock &m_clock;
    const Limits m_limits;
    const std::uint64_t m_self;
    std::optional<NodeHashes> m_nodes; // the others; nothing: not told yet
    std::optional<NodeHashes> m_previousNodes; // a window ago at least
    TimePoint m_nodesChangedAt;
    std::uint64_t m_nodesVersion = 1; // of the nodes
    std::map<std::string, Upstream> m_upstreams; // by instance id; those that were ever cold
};

} // namespace fordwood

#endif // FORDWOOD_COLD_GATE_HPP_INCLUDED
