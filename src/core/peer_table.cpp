// SPDX-License-Identifier: MIT
#include "fordwood/peer_table.hpp"

#include <iterator>
#include <utility>

namespace fordwood {

void PeerTable::addLink(const std::string &peer)
{
    m_links[peer] = Link{m_clock.now(), m_clock.now(), 0, 0};
    m_unlinkedSince.erase(peer);
}

bool PeerTable::removeLink(const std::string &peer)
{
    if (m_links.erase(peer) == 0)
        return false;
    if (m_expected.count(peer) != 0)
        m_unlinkedSince.try_emplace(peer, m_clock.now());
    return true;
}

void PeerTable::closedByPeer(const std::string &peer)
{
    m_links.erase(peer);
    m_unlinkedSince.erase(peer);
}

PeerTable::Link *PeerTable::find(const std::string &peer)
{
    const auto it = m_links.find(peer);
    return it == m_links.end() ? nullptr : &it->second;
}

std::string PeerTable::roundRobin(std::size_t n) const
{
    if (m_links.empty())
        return "";
    return std::next(m_links.begin(), static_cast<std::ptrdiff_t>(n % m_links.size()))->first;
}

void PeerTable::setExpected(std::set<std::string> peers)
{
    m_expected = std::move(peers);
    std::erase_if(m_unlinkedSince,
                  [this](const auto &it) { return m_expected.count(it.first) == 0; });
    for (const std::string &it : m_expected) {
        if (!has(it))
            m_unlinkedSince.try_emplace(it, m_clock.now());
    }
}

std::vector<std::string> PeerTable::silentFor(Duration span) const
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> silent;
    for (const auto &[peer, since] : m_unlinkedSince) {
        if (now - since >= span)
            silent.push_back(peer);
    }
    for (const auto &[peer, link] : m_links) {
        if (m_expected.count(peer) != 0 && now - link.lastReceived >= span)
            silent.push_back(peer);
    }
    return silent;
}

std::vector<std::string> PeerTable::sentNothingFor(Duration span) const
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> due;
    for (const auto &[peer, link] : m_links) {
        if (now - link.lastSent >= span)
            due.push_back(peer);
    }
    return due;
}

} // namespace fordwood
