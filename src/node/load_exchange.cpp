// SPDX-License-Identifier: MIT
#include "node/load_exchange.hpp"

#include <algorithm>
#include <utility>

namespace fordwood::node {

namespace {

// Nodes hear two relays, so that the newest sum is half as old on average: less than a long prompt
// takes to be computed.
constexpr Duration kSumsEvery = std::chrono::milliseconds(100);

// A weak VM that has become a relay sends less often rather than crowd out its own answers.
constexpr double kLinkPart = 0.25;
constexpr Duration kSumsAtLeastEvery = std::chrono::milliseconds(500);

} // namespace

void LoadExchange::take(const Gossip &message, bool isRelay)
{
    const PeerRoster::Self &self = m_peers.roster().self();
    const bool isNear = message.failureDomain == self.failureDomain;
    if (message.leaving) {
        m_sums.removeNode(message.node);
        return;
    }
    switch (message.scope) {
    case LoadScope::Node:
        if (isNear)
            m_sums.setNode(message.node, message.number, message.load);
        return;
    case LoadScope::Domain:
        if (!isNear)
            m_sums.setDomain(message.failureDomain, message.load);
        return;
    case LoadScope::Fleet:
        if (!isNear || isRelay)
            return;
        const auto number = message.numbers.find(self.name);
        noteOthers(m_sent.withoutOwn(message.load, number == message.numbers.end()
                                                       ? std::nullopt
                                                       : std::optional(number->second)));
        return;
    }
}

void LoadExchange::noteOthers(LoadReport others)
{
    m_liveNodes = others.nodes + 1;
    m_others(std::move(others));
}

Duration LoadExchange::send(Gossip message, bool isRelay)
{
    if (!isRelay) {
        report(std::move(message));
        return m_pace.reportEvery;
    }
    report(message);
    return tellSums(std::move(message));
}

void LoadExchange::report(Gossip message)
{
    message.scope = LoadScope::Node;
    message.load = m_sums.own();
    message.number = m_sent.add(message.load);
    m_peers.sendToRelays(message);
}

Duration LoadExchange::tellSums(Gossip message)
{
    message.scope = LoadScope::Domain;
    message.load = m_sums.domainSum();
    std::size_t bytes = m_peers.sendAcross(message);
    LoadReport others = m_sums.othersSum();
    message.scope = LoadScope::Fleet;
    message.load = others;
    message.load += m_sums.own();
    message.numbers = m_sums.reportNumbers();
    bytes += m_peers.sendNear(message);
    noteOthers(std::move(others));
    const std::chrono::duration<double> onLink(static_cast<double>(bytes)
                                               / (kLinkPart * m_pace.linkBytesPerSecond));
    return std::clamp(std::chrono::duration_cast<Duration>(onLink), kSumsEvery, kSumsAtLeastEvery);
}

} // namespace fordwood::node
