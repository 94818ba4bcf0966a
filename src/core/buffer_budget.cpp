// SPDX-License-Identifier: MIT
#include "fordwood/buffer_budget.hpp"

#include <utility>

namespace fordwood {

BufferBudget::Buffer::Buffer(Buffer &&other) noexcept
    : m_held(std::move(other.m_held)), m_team(std::move(other.m_team)),
      m_bytes(std::exchange(other.m_bytes, 0))
{ }

void BufferBudget::Buffer::resize(std::size_t bytes)
{
    if (m_held == nullptr || bytes == m_bytes)
        return;
    m_held->total = m_held->total - m_bytes + bytes;
    if (!m_team.empty()) {
        std::size_t &ofTeam = m_held->teams[m_team];
        ofTeam = ofTeam - m_bytes + bytes;
        if (ofTeam == 0)
            m_held->teams.erase(m_team);
    }
    m_bytes = bytes;
}

void BufferBudget::Buffer::setTeam(const std::string &team)
{
    if (m_held == nullptr || team == m_team)
        return;
    const std::size_t held = m_bytes;
    resize(0);
    m_team = team;
    resize(held);
}

bool BufferBudget::mayReadAnswer(const Buffer &buffer) const
{
    if (buffer.bytes() <= kAlwaysAllowed)
        return true;
    return buffer.bytes() <= m_limits.perChannel && isWithinLimits(buffer.m_team);
}

bool BufferBudget::mayHoldRequest(const Buffer &buffer) const
{
    return buffer.bytes() <= kAlwaysAllowed || isWithinLimits(buffer.m_team);
}

bool BufferBudget::isWithinLimits(const std::string &team) const
{
    if (m_held->total > m_limits.total)
        return false;
    const auto held = m_held->teams.find(team);
    return held == m_held->teams.end() || held->second <= m_limits.perTeam;
}

} // namespace fordwood
