// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_LOAD_TRACKER_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_LOAD_TRACKER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/load_view.hpp"
#include "fordwood/upstream_load.hpp"
#include "fordwood/upstream_loads.hpp"

namespace fordwood {

// The load that one request adds to its upstream.
struct RequestLoad
{
    std::size_t tokensToCompute = 0;
    std::size_t tokensHeld = 0;
};

// Tracks the load of each upstream: exactly for this node's own requests, and for those of its
// peers as they last reported. The report of a peer counts until `peerTimeout` has passed.
class UpstreamLoadTracker : public LoadView
{
public:
    using Loads = std::map<std::string, UpstreamLoad>; // by instance id

    explicit UpstreamLoadTracker(const Clock &clock, Duration peerTimeout = std::chrono::seconds(2))
        : m_clock(clock), m_peerTimeout(peerTimeout)
    { }

    void begin(const std::string &instanceId, const RequestLoad &load);

    // The prompt has been computed: the first part of the answer has arrived.
    void promptComputed(const std::string &instanceId, const RequestLoad &load);

    // The request has ended. `wasComputed`: promptComputed() was called for it.
    void end(const std::string &instanceId, const RequestLoad &load, bool wasComputed);

    // Replaces the loads that a peer has reported for its own requests.
    void setPeerLoads(const std::string &peer, UpstreamLoads loads);

    UpstreamLoad total(const std::string &instanceId) const override;

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

#endif // FORDWOOD_UPSTREAM_LOAD_TRACKER_HPP_INCLUDED
