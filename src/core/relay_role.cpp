// SPDX-License-Identifier: MIT
#include "fordwood/relay_role.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

bool RelayRole::isNeeded(const Peers &peers) const
{
    if (peers.liveNodes <= std::min(m_limits.smallFleet, m_mostReaders))
        return true;
    const std::size_t before = rendezvousRank(stableHash("relay"), m_node, peers.reachingInDomain);
    return before < m_limits.relaysPerDomain;
}

void RelayRole::update(const Peers &peers)
{
    if (isNeeded(peers)) {
        m_isRelay = true;
        m_notNeededSince.reset();
    } else {
        if (!m_notNeededSince)
            m_notNeededSince = m_clock.now();
        if (m_clock.now() - *m_notNeededSince >= m_limits.stepDown)
            m_isRelay = false;
    }
    const std::size_t before = rendezvousRank(stableHash("follows context"), m_node, peers.relays);
    m_followsContext = m_isRelay && before < m_mostReaders;
}

} // namespace fordwood
