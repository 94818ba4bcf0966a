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

// Lets calls begin as far as the ceilings of their teams allow. A call above the node's own part
// waits for the answer of its team's owner, or until that owner is silent for too long. Asks go out
// as actions; what becomes of a call is told to the listener. No I/O and no threads.
class TeamAdmission
{
public:
    // Hears of each call that came in by admit(), once; possibly before admit() returns.
    class Listener
    {
    public:
        virtual ~Listener() = default;
        virtual void onAdmitted(CallId call) = 0; // it counts until leave()
        virtual void onRefused(CallId call) = 0; // its team runs as much as it may
    };

    // `ownerTimeout`: how long an owner may take to answer. Actions are added to `actions`.
    TeamAdmission(const Clock &clock, Duration ownerTimeout, Listener &listener,
                  std::vector<Action> &actions);

    void setView(std::shared_ptr<const FleetView> view);

    // A call of a team would like to begin.
    void admit(CallId call, const std::string &team);

    // A call that had entered has ended.
    void leave(const std::string &team);

    // A call that still waits will not begin any more; unknown calls are passed over.
    void withdraw(CallId call, const std::string &team);

    // The owner of a team has answered an ask.
    void onAnswer(const std::string &team, std::uint64_t requestId, const Allowance &allowance);

    // An owner is gone, and with it the asks that are open there.
    void ownerLost(const std::string &owner);

    // Gives up asks that no one answers, and renews allowances in use.
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
