// SPDX-License-Identifier: MIT
#include "fordwood/team_admission.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

TeamAdmission::TeamAdmission(const Clock &clock, Duration ownerTimeout, Listener &listener,
                             std::vector<Action> &actions)
    : m_clock(clock), m_ownerTimeout(ownerTimeout), m_listener(listener), m_actions(actions),
      m_gate(clock, CeilingGate::Limits{})
{ }

void TeamAdmission::setView(std::shared_ptr<const FleetView> view)
{
    m_view = std::move(view);
    m_gate.setBases(m_view->ceilingBases());
}

// A call that finds no place waits for the answer of its team's owner, unless that has just said
// that there is no more.
void TeamAdmission::admit(CallId call, const std::string &team)
{
    if (m_gate.enter(team))
        return m_listener.entered(call);
    if (!m_gate.isAsking(team) && !m_gate.mayAsk(team))
        return m_listener.refused(call);
    m_waiting[team].push_back(call);
    if (!m_gate.isAsking(team))
        ask(team);
}

void TeamAdmission::leave(const std::string &team)
{
    m_gate.leave(team);
}

void TeamAdmission::withdraw(CallId call, const std::string &team)
{
    const auto waiting = m_waiting.find(team);
    if (waiting == m_waiting.end())
        return;
    std::erase(waiting->second, call);
    if (waiting->second.empty())
        m_waiting.erase(waiting);
}

void TeamAdmission::answered(const std::string &team, std::uint64_t askId,
                             const Allowance &allowance)
{
    m_gate.answered(team, askId, allowance);
    if (m_gate.isAsking(team))
        return; // it was the answer to an earlier ask
    m_asks.erase(team);
    settle(team);
}

void TeamAdmission::ownerLost(const std::string &owner)
{
    giveUp([&](const OpenAsk &it) { return it.owner == owner; });
}

void TeamAdmission::tick()
{
    const TimePoint now = m_clock.now();
    giveUp([&](const OpenAsk &it) { return it.until <= now; });
    for (const std::string &team : m_gate.due())
        ask(team);
}

void TeamAdmission::ask(const std::string &team)
{
    const auto waiting = m_waiting.find(team);
    const AllowanceAsk ask
        = m_gate.ask(team, waiting == m_waiting.end() ? 0 : waiting->second.size());
    const Member *owner = m_view->teamOwner(team);
    if (owner == nullptr) {
        m_gate.unanswered(team);
        return settle(team);
    }
    m_asks[team] = {owner->name, m_clock.now() + m_ownerTimeout};
    m_actions.emplace_back(RequestAllowance{owner->name, owner->controlAddress, ask});
}

// Goes on without the answers to the open asks that match.
template <typename Matches>
void TeamAdmission::giveUp(Matches matches)
{
    std::vector<std::string> teams;
    for (const auto &[team, it] : m_asks) {
        if (matches(it))
            teams.push_back(team);
    }
    for (const std::string &team : teams) {
        m_asks.erase(team);
        m_gate.unanswered(team);
        settle(team);
    }
}

// Lets waiting calls of a team begin as far as its ceiling allows. The others ask again if the
// owner gave all that was asked for before they came, and are refused if it did not.
void TeamAdmission::settle(const std::string &team)
{
    const auto waiting = m_waiting.extract(team);
    if (waiting.empty())
        return;
    for (const CallId it : waiting.mapped()) {
        if (m_gate.enter(team))
            m_listener.entered(it);
        else if (m_gate.mayAsk(team))
            m_waiting[team].push_back(it);
        else
            m_listener.refused(it);
    }
    if (m_waiting.count(team) != 0)
        ask(team);
}

} // namespace fordwood
