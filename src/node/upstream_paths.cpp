// SPDX-License-Identifier: MIT
#include "node/upstream_paths.hpp"

#include <utility>

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using State = UpstreamReach::State;

// Peers that are asked at the same time whether they reach an upstream: some may be cut off too.
constexpr std::size_t kProbedPeers = 3;

// Conclusions that are held back for one service. More failures say nothing new.
constexpr std::size_t kMaxHeldBack = 256;

std::string_view nameOf(State state)
{
    return state == State::CutOff ? "cut-off" : "doubtful";
}

} // namespace

UpstreamPaths::UpstreamPaths(const Clock &clock, std::string self, Parts parts)
    : m_parts(parts), m_self(std::move(self)), m_reach(clock),
      m_peers(std::make_shared<ProxyPeers>(clock, m_self))
{ }

std::optional<UpstreamRecord> UpstreamPaths::upstreamForPeer(const std::string &instanceId)
{
    const UpstreamRecord *record = m_parts.upstreams.find(instanceId);
    if (m_isStopping || record == nullptr || !m_parts.upstreams.takesNewWork(instanceId)
        || m_reach.state(record->service) != State::Reachable)
        return std::nullopt;
    return *record;
}

void UpstreamPaths::connected(const UpstreamRecord &upstream)
{
    m_parts.metrics.count("fordwood_upstream_connects_total");
    m_reach.connected(upstream.service);
    updateState(upstream.service, "");
}

void UpstreamPaths::connectFailed(const UpstreamRecord &upstream, const ErrorCode &cause)
{
    m_parts.metrics.count("fordwood_upstream_connect_failures_total");
    fail(upstream, cause.message());
}

bool UpstreamPaths::channelFailed(const UpstreamRecord &upstream)
{
    fail(upstream, "connection lost");
    return isCutOff(upstream.service);
}

void UpstreamPaths::fail(const UpstreamRecord &upstream, const std::string &cause)
{
    m_reach.failed(upstream.service, upstream.instanceId,
                   m_parts.upstreams.usable(upstream.service).size());
    updateState(upstream.service, cause);
    probe(upstream.service);
}

void UpstreamPaths::ifPathWorks(const std::string &service, std::function<void()> action)
{
    // Without peers nothing would tell that the path has failed.
    if (m_peers->isEmpty() || !m_reach.hasFailed(service)) {
        action();
        return;
    }
    std::vector<std::function<void()>> &actions = m_heldBack[service];
    if (actions.size() < kMaxHeldBack)
        actions.push_back(std::move(action));
}

bool UpstreamPaths::needsPeer(const std::string &service, bool isRetry) const
{
    return isCutOff(service) || (isRetry && m_reach.hasFailed(service));
}

// The peer and the upstream end a connection in the same way. A peer that stops, or has ended, does
// not connect any more.
void UpstreamPaths::ifPeerWorks(const std::string &peer, const UpstreamRecord &upstream,
                                std::function<void()> action)
{
    const auto found = m_peers->find(peer);
    if (!found)
        return;
    std::vector<std::function<void()>> &actions = m_peerChecks[peer];
    const bool isChecking = !actions.empty();
    if (actions.size() < kMaxHeldBack)
        actions.push_back(std::move(action));
    if (isChecking)
        return;
    openThrough(*found, upstream,
                [this, peer = *found, upstream](const std::shared_ptr<HttpChannel> &channel,
                                                ProxyResult result) {
                    m_parts.channels.discard(upstream.instanceId, channel);
                    const auto checked = m_peerChecks.extract(peer.name);
                    // That the upstream is unreachable says nothing against the peer here.
                    if (result == ProxyResult::PeerFailed) {
                        onProxyResult(peer, upstream, result);
                        return;
                    }
                    for (const std::function<void()> &it : checked.mapped())
                        it();
                });
}

void UpstreamPaths::connectThrough(const ProxyPeer &peer, const UpstreamRecord &upstream,
                                   ChannelPool::OnProxied onReady)
{
    openThrough(peer, upstream,
                [this, peer, upstream, onReady = std::move(onReady)](
                    const std::shared_ptr<HttpChannel> &channel, ProxyResult result) {
                    onProxyResult(peer, upstream, result);
                    onReady(channel, result);
                });
}

void UpstreamPaths::openThrough(const ProxyPeer &peer, const UpstreamRecord &upstream,
                                ChannelPool::OnProxied onReady)
{
    m_peers->opened(peer.name);
    // Counts the connection as closed when its channel is.
    const std::shared_ptr<void> use(
        nullptr, [peers = m_peers, name = peer.name](std::nullptr_t) { peers->closed(name); });
    m_parts.metrics.count("fordwood_proxied_connects_total");
    m_parts.channels.acquireThrough({peer.address, m_self, use}, upstream, std::move(onReady));
}

void UpstreamPaths::onProxyResult(const ProxyPeer &peer, const UpstreamRecord &upstream,
                                  ProxyResult result)
{
    switch (result) {
    case ProxyResult::Connected:
        m_peers->succeeded(peer.name);
        m_reach.reachedByPeer(upstream.service, upstream.instanceId);
        updateState(upstream.service, "");
        return;
    case ProxyResult::UpstreamUnreachable:
        m_peers->reportedUnreachable(peer.name);
        return;
    case ProxyResult::PeerFailed:
        m_parts.metrics.count("fordwood_proxy_failures_total");
        m_peers->failed(peer.name);
        return;
    }
}

void UpstreamPaths::addUser(const std::string &service, std::weak_ptr<PathUser> user)
{
    if (!m_peers->isEmpty())
        m_users[service].push_back(std::move(user));
}

void UpstreamPaths::notifyUsers()
{
    for (auto &[service, users] : m_users) {
        std::erase_if(users, [](const auto &it) { return it.expired(); });
        if (!isCutOff(service))
            continue;
        const std::vector<std::weak_ptr<PathUser>> current = users; // the calls may add users
        for (const auto &it : current) {
            if (const auto user = it.lock())
                user->onCutOff();
        }
    }
}

void UpstreamPaths::tick()
{
    notifyUsers();
    for (const std::string &it : m_reach.servicesWithFailures()) {
        updateState(it, "");
        probe(it);
    }
    m_parts.metrics.setGauge("fordwood_unreachable_services", static_cast<double>(m_states.size()));
}

void UpstreamPaths::updateState(const std::string &service, const std::string &cause)
{
    const State state = m_reach.state(service);
    if (!m_reach.hasFailed(service)) {
        const auto held = m_heldBack.extract(service);
        if (!held.empty()) {
            for (const std::function<void()> &it : held.mapped())
                it();
        }
    }
    const auto known = m_states.find(service);
    if (state == (known == m_states.end() ? State::Reachable : known->second))
        return;
    if (state == State::Reachable) {
        m_states.erase(known);
        logEvent(Event::UpstreamsReachable, {{"service", service}});
        return;
    }
    m_states[service] = state;
    logEvent(Event::UpstreamsUnreachable, {{"service", service},
                                           {"state", std::string(nameOf(state))},
                                           {"failed", m_reach.failedUpstreams(service).size()},
                                           {"upstreams", m_parts.upstreams.usable(service).size()},
                                           {"cause", cause}});
    if (state == State::CutOff)
        excuseUpstreams(service);
}

// The failures so far were not the upstreams' own, and the connections that are idle have probably
// failed as well.
void UpstreamPaths::excuseUpstreams(const std::string &service)
{
    m_heldBack.erase(service);
    for (const UpstreamRecord *it : m_parts.upstreams.usable(service)) {
        m_parts.health.excuse(it->instanceId);
        m_parts.channels.closeIdle(it->instanceId);
    }
}

void UpstreamPaths::probe(const std::string &service)
{
    if (m_peers->isEmpty())
        return;
    std::vector<std::string> ids;
    for (const UpstreamRecord *it : m_parts.upstreams.usable(service))
        ids.push_back(it->instanceId);
    const auto due = m_reach.takeProbe(service, ids);
    if (!due)
        return;
    if (due->direct)
        probeDirectly(*m_parts.upstreams.find(*due->direct));
    if (due->throughPeer)
        probeThroughPeers(*m_parts.upstreams.find(*due->throughPeer));
}

void UpstreamPaths::probeDirectly(const UpstreamRecord &upstream)
{
    m_parts.channels.acquireNew(
        upstream,
        [this, upstream](const std::shared_ptr<HttpChannel> &channel, const ErrorCode &ec) {
            if (ec) {
                m_parts.channels.discard(upstream.instanceId, channel);
                connectFailed(upstream, ec);
                return;
            }
            m_parts.channels.release(upstream.instanceId, channel, ChannelPool::kDefaultKeepAlive);
            connected(upstream);
        });
}

void UpstreamPaths::probeThroughPeers(const UpstreamRecord &upstream)
{
    ProxyPeers::Query query;
    query.upstreamDomain = upstream.failureDomain;
    for (std::size_t n = 0; n < kProbedPeers; ++n) {
        const auto peer = m_peers->choose(query);
        if (!peer)
            return;
        query.excluded.insert(peer->name);
        connectThrough(*peer, upstream,
                       [this, upstream](const std::shared_ptr<HttpChannel> &channel, ProxyResult) {
                           m_parts.channels.discard(upstream.instanceId, channel);
                       });
    }
}

} // namespace fordwood::node
