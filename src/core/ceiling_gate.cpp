// SPDX-License-Identifier: MIT
#include "fordwood/ceiling_gate.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// A quarter of the allowance in use is requested on top, so that not every call needs a request to
// the owner.
constexpr std::size_t kHeadroomDivisor = 4;

} // namespace

void CeilingGate::setBases(const std::map<std::string, std::size_t> &bases)
{
    for (auto &[name, team] : m_teams)
        team.limited = false;
    for (const auto &[name, base] : bases) {
        Team &team = m_teams[name];
        team.limited = true;
        team.base = base;
    }
    std::erase_if(m_teams, [](const auto &it) {
        return !it.second.limited && it.second.running == 0 && !it.second.isPending;
    });
}

bool CeilingGate::enter(const std::string &name)
{
    Team &team = m_teams[name];
    if (team.limited && team.running >= ceiling(team))
        return false;
    ++team.running;
    return true;
}

void CeilingGate::leave(const std::string &name)
{
    const auto it = m_teams.find(name);
    if (it == m_teams.end() || it->second.running == 0)
        return;
    --it->second.running;
    if (!it->second.limited && it->second.running == 0 && !it->second.isPending)
        m_teams.erase(it);
}

bool CeilingGate::mayRequest(const std::string &name) const
{
    const auto it = m_teams.find(name);
    return it != m_teams.end() && it->second.limited && m_clock.now() >= it->second.retryAt;
}

AllowanceRequest CeilingGate::startRequest(const std::string &name, std::size_t waiting)
{
    Team &team = m_teams[name];
    const std::size_t used = team.running - std::min(team.running, team.base);
    team.wanted = used + waiting + std::max<std::size_t>(1, used / kHeadroomDivisor);
    team.requestedAt = m_clock.now();
    team.isPending = true;
    team.requestId = m_nextRequestId++;
    return {0, team.requestId, name, used, team.wanted};
}

bool CeilingGate::isRequestPending(const std::string &name) const
{
    const auto it = m_teams.find(name);
    return it != m_teams.end() && it->second.isPending;
}

void CeilingGate::onAnswer(const std::string &name, std::uint64_t requestId,
                           const Allowance &allowance)
{
    const auto it = m_teams.find(name);
    if (it == m_teams.end() || !it->second.isPending || it->second.requestId != requestId)
        return;
    Team &team = it->second;
    team.isPending = false;
    team.amount = allowance.amount;
    // Counted from the request, so that the allowance expires here before it expires at the owner.
    team.expiresAt = team.requestedAt + allowance.life;
    team.renewAt = team.requestedAt + allowance.life / 2;
    if (allowance.amount < team.wanted)
        team.retryAt = m_clock.now() + m_limits.retryDelay;
}

void CeilingGate::onNoAnswer(const std::string &name)
{
    const auto it = m_teams.find(name);
    if (it == m_teams.end() || !it->second.isPending)
        return;
    it->second.isPending = false;
    it->second.retryAt = m_clock.now() + m_limits.retryDelay;
}

std::vector<std::string> CeilingGate::dueForRenewal() const
{
    const TimePoint now = m_clock.now();
    std::vector<std::string> names;
    for (const auto &[name, team] : m_teams) {
        const bool inUse = team.limited && team.running > team.base;
        if (inUse && !team.isPending && now >= team.renewAt && now >= team.retryAt)
            names.push_back(name);
    }
    return names;
}

std::size_t CeilingGate::running(const std::string &name) const
{
    const auto it = m_teams.find(name);
    return it == m_teams.end() ? 0 : it->second.running;
}

std::size_t CeilingGate::ceiling(const Team &team) const
{
    return team.base + (m_clock.now() < team.expiresAt ? team.amount : 0);
}

} // namespace fordwood
