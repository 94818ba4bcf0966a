// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPSTREAM_PATHS_HPP_INCLUDED
#define FORDWOOD_NODE_UPSTREAM_PATHS_HPP_INCLUDED

#include <map>
#include <string>

#include "adapters/observe/metrics.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_reach.hpp"
#include "fordwood/upstream_record.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// Records which upstreams this node reaches, and logs when that changes.
class UpstreamPaths
{
public:
    UpstreamPaths(const Clock &clock, const UpstreamDirectory &upstreams,
                  adapters::Metrics &metrics);

    // A new connection to the upstream was opened, or could not be.
    void connected(const UpstreamRecord &upstream);
    void connectFailed(const UpstreamRecord &upstream, const ErrorCode &cause);

    // A connection to the upstream has failed during a request.
    void channelFailed(const UpstreamRecord &upstream);

    // Periodic work.
    void tick();

private:
    void fail(const UpstreamRecord &upstream, const std::string &cause);
    void updateState(const std::string &service, const std::string &cause);

    const UpstreamDirectory &m_upstreams;
    adapters::Metrics &m_metrics;
    UpstreamReach m_reach;
    std::map<std::string, UpstreamReach::State> m_states; // other than Reachable, by service
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPSTREAM_PATHS_HPP_INCLUDED
