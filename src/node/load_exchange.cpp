// SPDX-License-Identifier: MIT
#include "node/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace fordwood::node {

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

bool LoadExchange::isDue(bool isRelay, bool hasNews) const
{
    return isMessageDue(isRelay, hasNews) || (isRelay && m_relayPace.isSumDue());
}

bool LoadExchange::isMessageDue(bool isRelay, bool hasNews) const
{
    if (isRelay)
        return m_relayPace.isMessageDue(hasNews);
    return !m_lastReport
           || m_clock.now() - *m_lastReport >= (hasNews ? m_minReportPause : m_reportEvery);
}

void LoadExchange::send(Gossip message, bool isRelay, bool hasNews)
{
    if (isRelay) {
        sendAsRelay(message, hasNews);
        return;
    }
    m_lastReport = m_clock.now();
    m_peers.sendToRelays(reportIn(std::move(message)));
}

Gossip LoadExchange::reportIn(Gossip message)
{
    message.scope = LoadScope::Node;
    message.load = m_sums.own();
    message.reportNumber = m_sent.add(message.load);
    return message;
}

void LoadExchange::sendAsRelay(const Gossip &message, bool hasNews)
{
    const bool isMessageDue = m_relayPace.isMessageDue(hasNews);
    const bool reachesAll = m_relayPace.isSumDue() && startFleetSum(message);
    if (isMessageDue || reachesAll) {
        const Gossip report = reportIn(message);
        std::size_t bytes = 0;
        // Whoever got a sum needs no report besides, unless it adds up the reports.
        if (reachesAll)
            m_peers.sendToRelays(report);
        else
            bytes += m_peers.sendToDomain(report);
        bytes += sendDomainSum(message);
        m_relayPace.messagesSent(bytes);
        m_traffic.addMessages(bytes);
    }
    m_traffic.tick();
}

std::size_t LoadExchange::sendDomainSum(Gossip message)
{
    message.scope = LoadScope::Domain;
    message.load = m_sums.domainSum();
    return m_peers.sendToOtherDomains(message);
}

// Computes a new sum for the nodes of this domain. Returns whether it could be sent to all of them.
bool LoadExchange::startFleetSum(Gossip message)
{
    LoadReport others = m_sums.othersSum();
    message.scope = LoadScope::Fleet;
    message.load = others;
    message.load += m_sums.own();
    message.reportNumbers = m_sums.reportNumbers();
    message.reportNumber = ++m_lastSum;
    m_fleetSum = PeerLinks::encodeDirect(message);
    m_fleetSumRows = message.load.loads.rows().size();
    m_sumReceivers = m_peers.roster().domainPeers().size();
    m_relayPace.sumComputed();
    continueFleetSum();
    publishOthers(std::move(others));
    return m_sumReceivers == 0;
}

void LoadExchange::continueFleetSum()
{
    if (m_sumReceivers == 0)
        return;
    const std::size_t admitted = m_relayPace.admitSums(m_sumReceivers, m_fleetSum.size());
    m_peers.sendToNextInDomain(m_fleetSum, admitted);
    m_sumReceivers -= admitted;
    m_traffic.addSums(admitted, m_fleetSum.size(), m_fleetSumRows);
}

} // namespace fordwood::node
