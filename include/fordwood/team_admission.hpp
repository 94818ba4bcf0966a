// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TEAM_ADMISSION_HPP_INCLUDED
#define FORDWOOD_TEAM_ADMISSION_HPP_INCLUDED

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/ceiling_gate.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/fleet_view.hpp"

namespace fordwood {

// Admits calls as far as the ceilings of their teams allow. A call beyond the node's base share
// waits for the answer of its team's owner, or until the owner times out. Requests to owners are
// emitted as actions; the outcome of each call goes to the listener. No I/O and no threads.
class TeamAdmission
{
public:
    // Receives the outcome of each admit() once, possibly before admit() returns.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        virtual void onAdmitted(CallId call) = 0; // it counts as running until leave()
        virtual void onRefused(CallId call) = 0; // its team has reached its ceiling
    };

    // `ownerTimeout`: how long an owner may take to answer. Actions are appended to `actions`.
    TeamAdmission(const Clock &clock, Duration ownerTimeout, Listener &listener,
                  std::vector<Action> &actions);

    void setView(std::shared_ptr<const FleetView> view);

    // Asks to start a call of the team.
    void admit(CallId call, const std::string &team);

    // An admitted call has ended.
    void leave(const std::string &team);

    // A waiting call will not start any more; unknown calls are ignored.
    void withdraw(CallId call, const std::string &team);

    // The owner of a team has answered a request.
    void onAnswer(const std::string &team, std::uint64_t requestId, const Allowance &allowance);

    // The connection to an owner is lost, and with it the requests pending there.
    void ownerLost(const std::string &owner);

    // Gives up requests that have timed out, and renews allowances in use.
    void tick();

private:
    struct PendingRequest
    {
        std::string owner;
        TimePoint until;
    };

    void requestAllowance(const std::string &team);
    void processWaiting(const std::string &team);
    template <typename Matches>
    void abandonRequests(Matches matches);

    const Clock &m_clock;
    const Duration m_ownerTimeout;
    Listener &m_listener;
    std::vector<Action> &m_actions;
    std::shared_ptr<const FleetView> m_view;
    CeilingGate m_gate;
    std::map<std::string, PendingRequest> m_pendingRequests; // by team
    std::map<std::string, std::vector<CallId>> m_waiting; // by team, in order
};

} // namespace fordwood

#endif // FORDWOOD_TEAM_ADMISSION_HPP_INCLUDED
