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

// A call beyond the ceiling waits for the answer of its team's owner, unless the owner has just
// granted less than requested.
void TeamAdmission::admit(CallId call, const std::string &team)
{
    if (m_gate.enter(team))
        return m_listener.onAdmitted(call);
    if (!m_gate.isRequestPending(team) && !m_gate.mayRequest(team))
        return m_listener.onRefused(call);
    m_waiting[team].push_back(call);
    if (!m_gate.isRequestPending(team))
        requestAllowance(team);
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

void TeamAdmission::onAnswer(const std::string &team, std::uint64_t requestId,
                             const Allowance &allowance)
{
    m_gate.onAnswer(team, requestId, allowance);
    if (m_gate.isRequestPending(team))
        return; // the answer to an earlier request
    m_pendingRequests.erase(team);
    processWaiting(team);
}

void TeamAdmission::ownerLost(const std::string &owner)
{
    abandonRequests([&](const PendingRequest &it) { return it.owner == owner; });
}

void TeamAdmission::tick()
{
    const TimePoint now = m_clock.now();
    abandonRequests([&](const PendingRequest &it) { return it.until <= now; });
    for (const std::string &team : m_gate.dueForRenewal())
        requestAllowance(team);
}

void TeamAdmission::requestAllowance(const std::string &team)
{
    const auto waiting = m_waiting.find(team);
    const AllowanceRequest request
        = m_gate.startRequest(team, waiting == m_waiting.end() ? 0 : waiting->second.size());
    const Member *owner = m_view->teamOwner(team);
    if (owner == nullptr) {
        m_gate.onNoAnswer(team);
        return processWaiting(team);
    }
    m_pendingRequests[team] = {owner->name, m_clock.now() + m_ownerTimeout};
    m_actions.emplace_back(RequestAllowance{owner->name, owner->controlAddress, request});
}

// Processes the waiting calls of all matching pending requests without an answer.
template <typename Matches>
void TeamAdmission::abandonRequests(Matches matches)
{
    std::vector<std::string> teams;
    for (const auto &[team, it] : m_pendingRequests) {
        if (matches(it))
            teams.push_back(team);
    }
    for (const std::string &team : teams) {
        m_pendingRequests.erase(team);
        m_gate.onNoAnswer(team);
        processWaiting(team);
    }
}

// Admits waiting calls of a team as far as its ceiling allows. If the owner granted all that was
// requested before the remaining calls arrived, they make another request; otherwise they are
// refused.
void TeamAdmission::processWaiting(const std::string &team)
{
    const auto waiting = m_waiting.extract(team);
    if (waiting.empty())
        return;
    for (const CallId it : waiting.mapped()) {
        if (m_gate.enter(team))
            m_listener.onAdmitted(it);
        else if (m_gate.mayRequest(team))
            m_waiting[team].push_back(it);
        else
            m_listener.onRefused(it);
    }
    if (m_waiting.count(team) != 0)
        requestAllowance(team);
}

} // namespace fordwood
