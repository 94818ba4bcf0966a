// SPDX-License-Identifier: MIT
#include "node/limit_reports.hpp"

namespace fordwood::node {

namespace {

// A node stops sending to a rate-limited upstream if its peers have not named it for a second. At
// this interval a few messages may be lost.
constexpr Duration kInterval = std::chrono::milliseconds(200);

} // namespace

void LimitReports::addTo(Gossip &message, const OwnLoads &own, bool isForwarder)
{
    const TimePoint now = m_clock.now();
    if (!own.isUrgent && now < m_next)
        return;
    m_next = now + kInterval;
    message.limits = m_limits.next(isForwarder ? own.limits.all : own.limits.own);
    message.brittle = m_brittle.next(own.limits.brittle);
}

} // namespace fordwood::node
