// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_LOAD_TRACKER_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_LOAD_TRACKER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/upstream_load.hpp"
#include "fordwood/upstream_loads.hpp"

namespace fordwood {

// What one request adds to the load of its upstream.
struct RequestLoad
{
    std::size_t tokensToCompute = 0;
    std::size_t tokensHeld = 0;
};

// The load of each upstream: this node's own requests exactly, those of its peers as they told
// last. A peer that has fallen silent counts for nothing after a while.
class UpstreamLoadTracker
{
public:
    using Loads = std::map<std::string, UpstreamLoad>; // by instance id

    explicit UpstreamLoadTracker(const Clock &clock, Duration peerTimeout = std::chrono::seconds(2))
        : m_clock(clock), m_peerTimeout(peerTimeout)
    { }

    void begin(const std::string &instanceId, const RequestLoad &load);

    // The prompt has been computed: the first part of the answer is there.
    void promptComputed(const std::string &instanceId, const RequestLoad &load);

    // The request has ended. `wasComputed`: computed() was called for it.
    void end(const std::string &instanceId, const RequestLoad &load, bool wasComputed);

    // Replaces what a peer has told of its own requests.
    void setPeerLoads(const std::string &peer, UpstreamLoads loads);

    // What all nodes together have sent there.
    UpstreamLoad total(const std::string &instanceId) const;

    const Loads &own() const { return m_own; }
    UpstreamLoad ownLoad(const std::string &instanceId) const;

private:
    struct Peer
    {
        UpstreamLoads loads;
        TimePoint receivedAt{};
    };

    const Clock &m_clock;
    const Duration m_peerTimeout;
    Loads m_own;
    std::map<std::string, Peer> m_peers;
};

} // namespace fordwood

#endif // FORDWOOD_LOAD_BOOK_HPP_INCLUDED
