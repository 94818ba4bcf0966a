// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_DRAIN_REPORTS_HPP_INCLUDED
#define FORDWOOD_NODE_DRAIN_REPORTS_HPP_INCLUDED

#include <functional>
#include <string>
#include <vector>

#include "fordwood/upstream_directory.hpp"
#include "node/fleet_update.hpp"
#include "node/round_robin_batcher.hpp"

namespace fordwood::node {

// Reports between nodes of upstreams that say in their answers that they are draining. Without them
// each node sends one request more to each such upstream while the platform's store is away.
class DrainReports
{
public:
    using Publish = std::function<void(FleetUpdate)>;

    // `tell`: is given what the thread that serves requests does not know yet.
    DrainReports(UpstreamDirectory &upstreams, Publish publish)
        : m_upstreams(upstreams), m_publish(std::move(publish))
    { }

    // What the thread that serves requests knows. Whether one of them is new.
    bool addOwn(const std::vector<std::string> &instanceIds);

    // What a peer reports. Upstreams that this node does not know are passed over: the peer
    // repeats its report for as long as it knows them.
    bool addFromPeer(const std::string &peer, const std::vector<std::string> &instanceIds);

    // For the next message to peers.
    std::vector<std::string> nextBatch() { return m_batches.next(m_upstreams.reportedDraining()); }

private:
    std::vector<std::string> record(const std::vector<std::string> &instanceIds);

    UpstreamDirectory &m_upstreams;
    Publish m_publish;
    RoundRobinBatcher<std::string> m_batches;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DRAIN_REPORTS_HPP_INCLUDED
