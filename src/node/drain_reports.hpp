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

// Shares with other nodes which upstreams announced in their answers that they are draining.
// Without these reports, each node sends one more request to each such upstream while the
// platform's store is unreachable.
class DrainReports
{
public:
    using Publish = std::function<void(FleetUpdate)>;

    // `publish` receives the reports that are new to the thread that serves requests.
    DrainReports(UpstreamDirectory &upstreams, Publish publish)
        : m_upstreams(upstreams), m_publish(std::move(publish))
    { }

    // Adds the draining upstreams known to the thread that serves requests. Returns whether one of
    // them is new.
    bool addOwn(const std::vector<std::string> &instanceIds);

    // Adds a peer's reports. Returns whether one of them is new. Ignores upstreams that this node
    // does not know: the peer repeats its report as long as it knows them.
    bool addFromPeer(const std::string &peer, const std::vector<std::string> &instanceIds);

    // The reports for the next message to peers.
    std::vector<std::string> nextBatch() { return m_batches.next(m_upstreams.reportedDraining()); }

private:
    std::vector<std::string> record(const std::vector<std::string> &instanceIds);

    UpstreamDirectory &m_upstreams;
    Publish m_publish;
    RoundRobinBatcher<std::string> m_batches;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_DRAIN_REPORTS_HPP_INCLUDED
