// SPDX-License-Identifier: MIT
#include "fordwood/cold_gate.hpp"

#include <algorithm>
#include <cstdint>

#include "fordwood/even_share.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// The two sides of a partition may each choose their own senders, so each side uses half of the
// upstream's capacity.
constexpr double kShareOfEachSide = 0.5;

constexpr std::size_t kNotASender = SIZE_MAX;

} // namespace

ColdGate::ColdGate(const Clock &clock, Limits limits, const std::string &self)
    : m_clock(clock), m_limits(limits), m_self(stableHash(self)), m_nodesChangedAt(clock.now())
{ }

void ColdGate::setNodes(const std::vector<std::string> &others)
{
    const TimePoint now = m_clock.now();
    // While changes arrive in quick succession, the list from before all of them remains the
    // previous one, because a node that was selected by it may have sent a moment ago.
    if (now - m_nodesChangedAt >= m_limits.window)
        m_previousNodes = std::move(m_nodes);
    NodeHashes &nodes = m_nodes.emplace();
    for (const std::string &it : others)
        nodes.push_back(stableHash(it));
    m_nodesChangedAt = now;
    m_nodesVersion += 1;
}

void ColdGate::setCold(const std::string &instanceId, Duration remaining)
{
    const auto known = m_upstreams.find(instanceId);
    if (remaining <= Duration::zero() && known == m_upstreams.end())
        return;
    m_upstreams[instanceId].coldUntil = m_clock.now() + remaining;
}

void ColdGate::suspectRestart(const std::string &instanceId, Duration coldStart)
{
    if (coldStart > Duration::zero())
        m_upstreams[instanceId].suspectUntil = m_clock.now() + coldStart;
}

bool ColdGate::isCold(const Upstream &upstream) const
{
    return m_clock.now() < std::max(upstream.coldUntil, upstream.suspectUntil);
}

bool ColdGate::isCold(const std::string &instanceId) const
{
    const auto it = m_upstreams.find(instanceId);
    return it != m_upstreams.end() && isCold(it->second);
}

std::size_t ColdGate::coldUpstreams() const
{
    return static_cast<std::size_t>(
        std::count_if(m_upstreams.begin(), m_upstreams.end(),
                      [this](const auto &it) { return isCold(it.second); }));
}

// Requests that all nodes with the same view may send within a window. Never more than the
// configured rate; the rest of the capacity is a reserve for nodes with another view.
std::size_t ColdGate::totalQuota(double requestsPerSecond) const
{
    const double capacity = requestsPerSecond * m_limits.overshoot + m_limits.slack;
    const double total = std::min(requestsPerSecond, kShareOfEachSide * capacity);
    return std::max<std::size_t>(1, static_cast<std::size_t>(total));
}

std::size_t ColdGate::rankAmong(const std::optional<NodeHashes> &others,
                                std::uint64_t upstream) const
{
    return others ? rendezvousRank(upstream, m_self, *others) : kNotASender;
}

std::size_t ColdGate::ownQuota(Upstream &upstream, const std::string &instanceId, std::size_t total)
{
    if (upstream.rankedForVersion != m_nodesVersion) {
        const std::uint64_t hash = stableHash(instanceId);
        upstream.rankedForVersion = m_nodesVersion;
        upstream.rank = rankAmong(m_nodes, hash);
        upstream.previousRank = rankAmong(m_previousNodes, hash);
    }
    const std::size_t nodes = m_nodes ? m_nodes->size() + 1 : 1;
    const std::size_t senders = std::min({m_limits.senders, total, nodes});
    const bool isSettled = m_clock.now() - m_nodesChangedAt >= m_limits.window;
    const std::size_t quota = evenShare(total, senders, upstream.rank);
    return isSettled ? quota : std::min(quota, evenShare(total, senders, upstream.previousRank));
}

bool ColdGate::maySend(const std::string &instanceId, double requestsPerSecond)
{
    const auto it = m_upstreams.find(instanceId);
    if (requestsPerSecond <= 0.0 || it == m_upstreams.end() || !isCold(it->second))
        return true;
    Upstream &upstream = it->second;
    const TimePoint oldest = m_clock.now() - m_limits.window;
    while (!upstream.sends.empty() && upstream.sends.front() <= oldest)
        upstream.sends.pop_front();
    return upstream.sends.size() < ownQuota(upstream, instanceId, totalQuota(requestsPerSecond));
}

void ColdGate::recordSend(const std::string &instanceId)
{
    const auto it = m_upstreams.find(instanceId);
    if (it != m_upstreams.end() && isCold(it->second))
        it->second.sends.push_back(m_clock.now());
}

} // namespace fordwood
