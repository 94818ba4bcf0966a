// SPDX-License-Identifier: MIT
#include "fordwood/relay_role.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

std::size_t strengthRank(std::string_view task, const RelayCandidate &self,
                         const std::vector<RelayCandidate> &others)
{
    const auto order = [key = stableHash(task)](const RelayCandidate &it) {
        return std::pair(it.strength, rendezvousWeight(key, stableHash(it.node)));
    };
    const auto own = order(self);
    const auto before = std::count_if(others.begin(), others.end(),
                                      [&](const RelayCandidate &it) { return order(it) > own; });
    return static_cast<std::size_t>(before);
}

bool RelayRole::isNeeded(const Peers &peers) const
{
    if (peers.liveNodes <= std::min(m_limits.smallFleet, m_mostReaders))
        return true;
    return strengthRank("relay", m_self, peers.reachingInDomain) < m_limits.relaysPerDomain;
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
    m_followsContext = m_isRelay && strengthRank("relay", m_self, peers.relays) < m_mostReaders;
}

} // namespace fordwood
