// SPDX-License-Identifier: MIT
// The part of ControlLoop that exchanges messages with peers.
#include "node/control_loop.hpp"

#include "node/control_limits.hpp"

namespace fordwood::node {

namespace {

// Key for the summed load of all other nodes, where relays sum up loads.
constexpr std::string_view kAllOtherNodes = "others";

} // namespace

bool ControlLoop::usesLoadSums() const
{
    return m_settings.mechanisms.relays && m_settings.mechanisms.loadSums
           && m_peers.roster().size() >= kSmallFleet;
}

void ControlLoop::onGossip(const Gossip &message)
{
    m_exchange.handle(message, m_role.isRelay());
    if (message.leaving || !message.isRelay)
        m_relayWatch.forget(message.node);
    else if (message.failureDomain == m_settings.node.failureDomain)
        m_relayWatch.received(message.node,
                              message.scope == LoadScope::Fleet ? message.reportNumber : 0);
    // In a large fleet nodes receive messages only from relays, so relays must forward.
    m_quarantine.addFromPeer(message.quarantineUpdates, usesLoadSums() && m_role.isRelay());
    if (message.leaving) {
        // The store may tell it much later.
        m_nodesChanged = true;
        m_loads.setPeerLoads(message.node, {});
        publish(PeerLoads{message.node, {}, 0, {}});
        publish(EnginesLoading{message.node, {}});
        return;
    }
    if (!usesLoadSums() && message.scope == LoadScope::Node) {
        m_loads.setPeerLoads(message.node, message.load.loads);
        publish(PeerLoads{message.node, message.load.loads, message.load.shortContextTokens,
                          message.load.contextsSent});
    }
    if (!message.limits.empty() || !message.brittle.empty())
        publish(PeerLimits{message.node, message.limits, message.brittle});
    if (m_drainReports.addFromPeer(message.node, message.draining))
        updateEngines();
    handleOrderReport(message.node, message.orders);
    for (const auto &[node, report] : message.forwardedOrders) {
        if (node != m_settings.node.name)
            handleOrderReport(node, report);
    }
    m_weightNamings.recordFromPeer(message.node, message.namingAges);
    if (message.copyAge)
        m_freshness.peerWasComplete(message.version, *message.copyAge,
                                    ReplicaFreshness::Evidence::Store);
    if (message.forwardedCopyAge)
        m_freshness.peerWasComplete(message.version, *message.forwardedCopyAge,
                                    ReplicaFreshness::Evidence::Peer);
}

void ControlLoop::setOthersLoad(LoadReport others)
{
    m_loads.setPeerLoads(std::string(kAllOtherNodes), others.loads);
    publish(PeerLoads{std::string(kAllOtherNodes), std::move(others.loads),
                      others.shortContextTokens, std::move(others.contextsSent)});
}

void ControlLoop::handleOrderReport(const std::string &node, const OrderReport &report)
{
    if (!m_orderReports.record(node, report))
        return;
    publish(EnginesLoading{node, report.enginesLoading});
    for (const auto &[id, models] : report.observedVersions) {
        for (const auto &[model, observed] : models)
            publishObservedVersion(id, model,
                                   {observed.version, m_clock.now() - report.age - observed.age});
    }
}

void ControlLoop::publishObservedVersion(const std::string &instanceId, const std::string &model,
                                         const ObservedWeights &weights)
{
    if (m_upstreams.setWeightVersion(instanceId, model, weights))
        publish(WeightsObserved{instanceId, model, weights});
}

void ControlLoop::handleOwnLoads(OwnLoads own)
{
    // A relay sends its sums often enough without this.
    const bool isUrgent = own.isUrgent && !(usesLoadSums() && m_role.isRelay());
    m_hasNews = m_hasNews || isUrgent;
    m_lastOwnLoads = std::move(own);
    if (m_drainReports.addOwn(m_lastOwnLoads.draining))
        updateEngines();
    if (isMessageDue())
        gossip();
}

bool ControlLoop::isMessageDue() const
{
    if (usesLoadSums())
        return m_exchange.isDue(m_role.isRelay(), m_hasNews);
    const Duration pause = m_hasNews ? kMinGossipInterval : m_settings.peers.gossipEvery;
    return m_clock.now() - m_lastGossip >= pause;
}

Gossip ControlLoop::ownMessage() const
{
    Gossip message;
    message.node = m_settings.node.name;
    message.failureDomain = m_settings.node.failureDomain;
    message.gossipAddress = m_settings.peers.gossipListen;
    message.replicaAddress = m_settings.peers.listen;
    message.version = m_replica.version();
    message.storeReachable = reachesStore() && !m_replica.isEmpty();
    message.strength = vmStrength(m_settings.vm);
    message.isRelay = m_role.isRelay();
    message.followsContext = m_role.followsContext();
    message.leaving = m_isLeaving;
    message.load = {1, UpstreamLoads(m_lastOwnLoads.loads), m_lastOwnLoads.shortContextTokens,
                    m_lastOwnLoads.contextsSent};
    message.orders = ownOrderReport();
    message.namingAges = m_weightNamings.agesForPeers();
    if (const auto age = m_freshness.ageFromStore())
        message.copyAge = std::chrono::ceil<std::chrono::milliseconds>(*age);
    return message;
}

OrderReport ControlLoop::ownOrderReport() const
{
    const auto ageOf = [this](TimePoint when) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - when);
    };
    OrderReport report;
    if (m_rolloutExecutor.lastOrder())
        report.lastOrder = ageOf(*m_rolloutExecutor.lastOrder());
    report.enginesLoading = m_rolloutExecutor.rollout().loading();
    for (const auto &[id, models] : m_rolloutExecutor.rollout().reportedVersions()) {
        for (const auto &[model, weights] : models)
            report.observedVersions[id][model] = {weights.version, ageOf(weights.seen)};
    }
    return report;
}

void ControlLoop::gossip()
{
    Gossip message = ownMessage();
    const bool isRelay = m_role.isRelay();
    // A message without these is a sum for some of the nodes.
    const bool reachesAll = !usesLoadSums() || m_exchange.isMessageDue(isRelay, m_hasNews);
    if (reachesAll)
        addReports(message);
    publish(EnginesLoading{message.node, message.orders.enginesLoading});
    m_lastGossip = m_clock.now();
    if (usesLoadSums()) {
        m_exchange.setOwn(message.load);
        if (isRelay) {
            message.getsStoreChanges
                = message.storeReachable || !m_peers.roster().peersReachingStore().empty();
            message.forwardedOrders = m_orderReports.toForward();
            if (const auto age = m_freshness.ageFromReader())
                message.forwardedCopyAge = std::chrono::ceil<std::chrono::milliseconds>(*age);
        }
        m_exchange.send(std::move(message), isRelay, m_hasNews);
    } else {
        m_peers.sendAll(message);
    }
    if (reachesAll)
        m_hasNews = false;
    m_metrics.setGauge("fordwood_peer_datagrams", static_cast<double>(m_peers.datagramsSent()));
    m_metrics.setGauge("fordwood_peer_datagrams_failed",
                       static_cast<double>(m_peers.datagramsFailed()));
    m_metrics.setGauge("fordwood_reporting_nodes",
                       static_cast<double>(m_exchange.reportingNodes()));
}

// Adds what this node has learned of requests, limits and draining upstreams.
void ControlLoop::addReports(Gossip &message)
{
    message.quarantineUpdates = m_quarantine.nextBatch();
    // Where relays forward limits, the other nodes send only their own.
    m_limitReports.addTo(message, m_lastOwnLoads, !usesLoadSums() || m_role.isRelay());
    message.draining = m_drainReports.nextBatch();
}

} // namespace fordwood::node
