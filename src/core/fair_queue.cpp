// SPDX-License-Identifier: MIT
#include "fordwood/fair_queue.hpp"

#include <algorithm>

namespace fordwood {

void FairQueue::push(const Entry &entry)
{
    Team &team = m_teams[entry.team];
    const Order order{entry.priority, m_sequence++, entry.id};
    if (team.waiting.empty()) {
        team.share = entry.share;
        team.tag = std::max(team.tag, m_virtualTime);
        m_active.emplace(team.tag, entry.team);
        m_activeShare += entry.share;
    }
    team.waiting.insert(order);
    m_entries.emplace(entry.id, Slot{entry, order});
}

std::optional<FairQueue::Entry> FairQueue::pop()
{
    if (m_active.empty())
        return std::nullopt;
    const auto [tag, name] = *m_active.begin();
    m_virtualTime = std::max(m_virtualTime, tag);
    Team &team = m_teams[name];
    const Slot slot = m_entries.at(team.waiting.begin()->id);
    charge(slot.entry.team, slot.entry.share, slot.entry.cost);
    removeSlot(slot);
    return slot.entry;
}

std::optional<FairQueue::Entry> FairQueue::next() const
{
    if (m_active.empty())
        return std::nullopt;
    const Team &team = m_teams.at(m_active.begin()->second);
    return m_entries.at(team.waiting.begin()->id).entry;
}

bool FairQueue::remove(EntryId id)
{
    const auto it = m_entries.find(id);
    if (it == m_entries.end())
        return false;
    removeSlot(Slot(it->second));
    return true;
}

void FairQueue::charge(const std::string &team, double share, double cost)
{
    Team &entry = m_teams[team];
    const bool active = !entry.waiting.empty();
    if (active)
        m_active.erase({entry.tag, team});
    entry.tag = std::max(entry.tag, m_virtualTime) + cost / std::max(share, 1e-9);
    if (active)
        m_active.emplace(entry.tag, team);
    // Without waiting entries no team is behind its share, so all teams restart from the same
    // virtual time.
    if (m_active.empty())
        m_virtualTime = std::max(m_virtualTime, entry.tag);
}

std::size_t FairQueue::waiting(const std::string &team) const
{
    const auto it = m_teams.find(team);
    return it == m_teams.end() ? 0 : it->second.waiting.size();
}

void FairQueue::removeSlot(const Slot &slot)
{
    Team &team = m_teams[slot.entry.team];
    team.waiting.erase(slot.order);
    if (team.waiting.empty()) {
        m_active.erase({team.tag, slot.entry.team});
        m_activeShare = m_active.empty() ? 0.0 : m_activeShare - team.share;
    }
    m_entries.erase(slot.entry.id);
}

} // namespace fordwood
