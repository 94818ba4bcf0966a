// SPDX-License-Identifier: MIT
#include "node/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace fordwood::node {

namespace {

// Nodes receive sums from two relays, which halves the average age of the newest sum. It is then
// less than the time to compute a long prompt.
constexpr Duration kMinSumInterval = std::chrono::milliseconds(100);

// A relay on a weak VM sends less often, so that sums leave enough bandwidth for its answers.
constexpr double kLinkShare = 0.25;
constexpr Duration kMaxSumInterval = std::chrono::milliseconds(500);

} // namespace

void LoadExchange::handle(const Gossip &message, bool isRelay)
{
    const PeerRoster::Self &self = m_peers.roster().self();
    const bool isInOwnDomain = message.failureDomain == self.failureDomain;
    if (message.leaving) {
        m_sums.removeNode(message.node);
        return;
    }
    switch (message.scope) {
    case LoadScope::Node:
        if (isInOwnDomain)
            m_sums.setNode(message.node, message.reportNumber, message.load);
        return;
    case LoadScope::Domain:
        if (!isInOwnDomain)
            m_sums.setDomain(message.failureDomain, message.load);
        return;
    case LoadScope::Fleet:
        if (!isInOwnDomain || isRelay)
            return;
        publishOthers(
            m_sent.withoutOwn(message.load, findReportNumber(message.reportNumbers, self.name)));
        return;
    }
}

void LoadExchange::publishOthers(LoadReport others)
{
    m_liveNodes = others.nodes + 1;
    m_onOthersLoad(std::move(others));
}

Duration LoadExchange::send(Gossip message, bool isRelay)
{
    if (!isRelay) {
        report(std::move(message));
        return m_pace.reportEvery;
    }
    report(message);
    return sendSums(std::move(message));
}

void LoadExchange::report(Gossip message)
{
    message.scope = LoadScope::Node;
    message.load = m_sums.own();
    message.reportNumber = m_sent.add(message.load);
    m_peers.sendToRelays(message);
}

Duration LoadExchange::sendSums(Gossip message)
{
    message.scope = LoadScope::Domain;
    message.load = m_sums.domainSum();
    std::size_t bytes = m_peers.sendToOtherDomains(message);
    LoadReport others = m_sums.othersSum();
    message.scope = LoadScope::Fleet;
    message.load = others;
    message.load += m_sums.own();
    message.reportNumbers = m_sums.reportNumbers();
    message.reportNumber = ++m_lastSum;
    const std::size_t domainBytes = m_peers.sendToDomain(message);
    bytes += domainBytes;
    m_traffic.addSums(bytes,
                      domainBytes / std::max<std::size_t>(m_peers.roster().domainPeers().size(), 1),
                      message.load.loads.rows().size());
    m_traffic.tick();
    publishOthers(std::move(others));
    const std::chrono::duration<double> linkTime(static_cast<double>(bytes)
                                                 / (kLinkShare * m_pace.linkBytesPerSecond));
    return std::clamp(std::chrono::duration_cast<Duration>(linkTime), kMinSumInterval,
                      kMaxSumInterval);
}

} // namespace fordwood::node
