// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_LIMIT_REPORTS_HPP_INCLUDED
#define FORDWOOD_NODE_LIMIT_REPORTS_HPP_INCLUDED

#include "fordwood/clock.hpp"
#include "node/fleet_update.hpp"
#include "node/peer_messages.hpp"
#include "node/round_robin_batcher.hpp"

namespace fordwood::node {

// Selects what the next message tells peers of limits and brittle upstreams. What has just changed
// is sent at once, the rest at intervals, since messages are sent more often than limits need to be
// repeated.
class LimitReports
{
public:
    explicit LimitReports(const Clock &clock) : m_clock(clock) { }

    // `isForwarder`: others get limits through this node, which therefore sends also those of
    // others.
    void addTo(Gossip &message, const OwnLoads &own, bool isForwarder);

private:
    const Clock &m_clock;
    TimePoint m_next{};
    RoundRobinBatcher<LimitGossip> m_limits;
    RoundRobinBatcher<LimitGossip> m_brittle;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_LIMIT_REPORTS_HPP_INCLUDED
