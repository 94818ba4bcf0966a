// SPDX-License-Identifier: MIT
#include "fordwood/full_read_turn.hpp"

#include <algorithm>
#include <bit>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

void FullReadTurn::setSources(std::vector<ReplicaSource> sources)
{
    m_sources = std::move(sources);
    if (!m_sources.empty() && !m_sourcesSince)
        m_sourcesSince = m_clock.now();
}

bool FullReadTurn::isDue() const
{
    return m_sources.empty() || m_clock.now() - *m_sourcesSince >= delay();
}

// The nodes are ranked by a hash of their names, since those that start do not know each other. As
// many as there are sources read first, then as many again after each step, doubled.
Duration FullReadTurn::delay() const
{
    const bool isSource = std::any_of(m_sources.begin(), m_sources.end(),
                                      [this](const auto &it) { return it.node == m_node; });
    if (isSource)
        return Duration::zero();
    std::size_t fleetSize = 0;
    for (const ReplicaSource &it : m_sources)
        fleetSize = std::max(fleetSize, it.fleetSize);
    const auto rank
        = static_cast<std::size_t>(hashFraction(stableHash("reads the store", stableHash(m_node)))
                                   * static_cast<double>(fleetSize));
    const auto steps = std::bit_width(rank / m_sources.size());
    return m_limits.sourcesWithin + m_limits.step * static_cast<std::int64_t>(steps);
}

} // namespace fordwood
