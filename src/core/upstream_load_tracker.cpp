// SPDX-License-Identifier: MIT
#include "fordwood/upstream_load_tracker.hpp"

#include <algorithm>

namespace fordwood {

namespace {

void subtract(std::size_t &from, std::size_t amount)
{
    from -= std::min(from, amount);
}

} // namespace

UpstreamLoad &UpstreamLoad::operator+=(const UpstreamLoad &other)
{
    running += other.running;
    tokensToCompute += other.tokensToCompute;
    tokensHeld += other.tokensHeld;
    return *this;
}

UpstreamLoad &UpstreamLoad::operator-=(const UpstreamLoad &other)
{
    subtract(running, other.running);
    subtract(tokensToCompute, other.tokensToCompute);
    subtract(tokensHeld, other.tokensHeld);
    return *this;
}

void UpstreamLoadTracker::begin(const std::string &instanceId, const RequestLoad &load)
{
    m_own[instanceId] += {1, load.tokensToCompute, load.tokensHeld};
}

void UpstreamLoadTracker::promptComputed(const std::string &instanceId, const RequestLoad &load)
{
    subtract(m_own[instanceId].tokensToCompute, load.tokensToCompute);
}

void UpstreamLoadTracker::end(const std::string &instanceId, const RequestLoad &load,
                              bool wasComputed)
{
    const auto it = m_own.find(instanceId);
    if (it == m_own.end())
        return;
    UpstreamLoad &own = it->second;
    subtract(own.running, 1);
    subtract(own.tokensHeld, load.tokensHeld);
    if (!wasComputed)
        subtract(own.tokensToCompute, load.tokensToCompute);
    if (own.running == 0)
        m_own.erase(it);
}

void UpstreamLoadTracker::setPeerLoads(const std::string &peer, UpstreamLoads loads)
{
    m_peers[peer] = {std::move(loads), m_clock.now()};
}

UpstreamLoad UpstreamLoadTracker::ownLoad(const std::string &instanceId) const
{
    const auto it = m_own.find(instanceId);
    return it == m_own.end() ? UpstreamLoad{} : it->second;
}

UpstreamLoad UpstreamLoadTracker::total(const std::string &instanceId) const
{
    UpstreamLoad sum = ownLoad(instanceId);
    const std::uint64_t key = UpstreamLoads::keyOf(instanceId);
    for (const auto &[name, peer] : m_peers) {
        if (m_clock.now() - peer.receivedAt <= m_peerTimeout)
            sum += peer.loads.at(key);
    }
    return sum;
}

} // namespace fordwood
