// SPDX-License-Identifier: MIT
#include "fordwood/proxy_peers.hpp"

#include <algorithm>
#include <tuple>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

ProxyPeers::ProxyPeers(const Clock &clock, const std::string &self, Limits limits)
    : m_clock(clock), m_self(stableHash(self)), m_limits(limits)
{ }

void ProxyPeers::setPeers(std::vector<ProxyPeer> peers)
{
    m_peers = std::move(peers);
    std::set<std::string> names;
    for (const ProxyPeer &it : m_peers)
        names.insert(it.name);
    std::erase_if(m_states,
                  [&](const auto &it) { return !names.contains(it.first) && it.second.open == 0; });
}

std::optional<ProxyPeer> ProxyPeers::find(const std::string &name) const
{
    const auto it = std::find_if(m_peers.begin(), m_peers.end(),
                                 [&](const ProxyPeer &peer) { return peer.name == name; });
    return it == m_peers.end() ? std::nullopt : std::optional(*it);
}

std::size_t ProxyPeers::effectiveLoad(const State &state) const
{
    return state.open + (state.hasSucceeded ? 0 : m_limits.handicapOfUnknown);
}

std::optional<ProxyPeer> ProxyPeers::choose(const Query &query) const
{
    const std::uint64_t chooser = rendezvousWeight(m_self, query.hash);
    const ProxyPeer *best = nullptr;
    std::tuple<std::size_t, bool, std::uint64_t> bestRank;
    for (const ProxyPeer &it : m_peers) {
        const auto found = m_states.find(it.name);
        const State state = found == m_states.end() ? State{} : found->second;
        if (query.excluded.contains(it.name) || m_clock.now() < state.pausedUntil
            || (query.mayPass && !query.mayPass(it.failureDomain)))
            continue;
        // A peer in the upstream's failure domain adds no traffic between domains.
        const std::tuple rank(effectiveLoad(state), it.failureDomain != query.upstreamDomain,
                              rendezvousWeight(chooser, stableHash(it.name)));
        if (best != nullptr && bestRank <= rank)
            continue;
        best = &it;
        bestRank = rank;
    }
    return best == nullptr ? std::nullopt : std::optional(*best);
}

void ProxyPeers::opened(const std::string &peer)
{
    m_states[peer].open += 1;
}

void ProxyPeers::closed(const std::string &peer)
{
    State &state = m_states[peer];
    state.open -= std::min<std::size_t>(state.open, 1);
}

void ProxyPeers::succeeded(const std::string &peer)
{
    State &state = m_states[peer];
    state.hasSucceeded = true;
    state.failures = 0;
    state.unreachableReports = 0;
    state.pausedUntil = {};
}

void ProxyPeers::failed(const std::string &peer)
{
    constexpr unsigned kMaxDoublings = 10; // the pause has reached its maximum before that
    State &state = m_states[peer];
    const unsigned doublings = std::min(state.failures, kMaxDoublings);
    const Duration pause = std::min(m_limits.initialPause * (1U << doublings), m_limits.maxPause);
    state.hasSucceeded = false;
    state.failures += 1;
    state.pausedUntil = std::max(state.pausedUntil, m_clock.now() + pause);
}

void ProxyPeers::reportedUnreachable(const std::string &peer)
{
    State &state = m_states[peer];
    state.unreachableReports += 1;
    if (state.unreachableReports > m_limits.unreachableReportsAllowed)
        failed(peer);
}

} // namespace fordwood
