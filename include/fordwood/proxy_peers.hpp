// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PROXY_PEERS_HPP_INCLUDED
#define FORDWOOD_PROXY_PEERS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// A node that opens connections to upstreams for other nodes.
struct ProxyPeer
{
    std::string name;
    std::string address; // IP:port
    std::string failureDomain;

    bool operator==(const ProxyPeer &) const = default;
};

// Chooses the peer through which a node that cannot reach an upstream itself connects to it.
//
// Load pattern: several nodes, or most of a failure domain, are cut off at the same time and do not
// know of each other's state. Their requests must find the peers that are not cut off, after few
// attempts, and spread over all of those.
class ProxyPeers
{
public:
    struct Limits
    {
        // A peer that did not answer or did not connect is passed over for a time that doubles with
        // each consecutive failure.
        Duration initialPause = std::chrono::milliseconds(500);
        Duration maxPause = std::chrono::seconds(4);
        // A peer that reports upstreams as unreachable may be right, or cut off without knowing it.
        unsigned unreachableReportsAllowed = 1;
        // Open connections that a peer of unknown state counts as having: others are found once the
        // known ones have this many.
        std::size_t handicapOfUnknown = 2;
    };

    // `self`: the name of this node. Nodes that choose at the same time choose different peers.
    ProxyPeers(const Clock &clock, const std::string &self) : ProxyPeers(clock, self, Limits{}) { }
    ProxyPeers(const Clock &clock, const std::string &self, Limits limits);

    // The nodes that act as proxies, without this one.
    void setPeers(std::vector<ProxyPeer> peers);
    bool isEmpty() const { return m_peers.empty(); }

    // The peer of this name; nothing if it is not among them.
    std::optional<ProxyPeer> find(const std::string &name) const;

    struct Query
    {
        std::string upstreamDomain; // failure domain of the upstream
        std::uint64_t hash = 0; // of the request; spreads equal choices over the peers
        std::set<std::string> excluded; // peers by name
        // Whether the request may pass through a node of the failure domain.
        std::function<bool(const std::string &failureDomain)> mayPass;
    };

    // The best peer; nothing if there is none at the moment.
    std::optional<ProxyPeer> choose(const Query &query) const;

    // A connection through the peer is being opened, or was closed.
    void opened(const std::string &peer);
    void closed(const std::string &peer);

    // The peer has connected to an upstream.
    void succeeded(const std::string &peer);

    // The peer did not answer, or does not act as a proxy at the moment.
    void failed(const std::string &peer);

    // The peer could not connect to the upstream.
    void reportedUnreachable(const std::string &peer);

private:
    struct State
    {
        std::size_t open = 0;
        bool hasSucceeded = false; // the last result
        unsigned failures = 0; // consecutive
        unsigned unreachableReports = 0; // consecutive
        TimePoint pausedUntil{};
    };

    std::size_t effectiveLoad(const State &state) const;

    const Clock &m_clock;
    const std::uint64_t m_self; // hash of this node's name
    const Limits m_limits;
    std::vector<ProxyPeer> m_peers;
    std::map<std::string, State> m_states; // by name, once used
};

} // namespace fordwood

#endif // FORDWOOD_PROXY_PEERS_HPP_INCLUDED
