// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PERMITS_IN_USE_HPP_INCLUDED
#define FORDWOOD_PERMITS_IN_USE_HPP_INCLUDED

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fordwood/call.hpp"
#include "fordwood/fleet_view.hpp"

namespace fordwood {

// The permits that the calls of one entry node hold, each with the owner that must be notified of
// its end. When the owner of an upstream changes or dies while permits are in use, the next owner
// is told about them, so that it does not grant the same slots again. No I/O and no threads.
class PermitsInUse
{
public:
    // Actions are appended to `actions`.
    explicit PermitsInUse(std::vector<Action> &actions) : m_actions(actions) { }

    // Replaces the view of the fleet. Permits are transferred to the new owners of their upstreams.
    void setView(std::shared_ptr<const FleetView> view);

    // The call holds a permit that an owner granted.
    void addGranted(const CallRequest &call, const std::string &owner, std::uint64_t permitId,
                    const std::string &upstream);

    // The call is sent without a permit, because its upstream has free slots.
    void addDirect(const CallRequest &call, const std::string &upstream);

    // The call takes one of the few slots that a node may use while no owner answers. Returns false
    // if all of them are in use.
    bool tryTakeLocal(const CallRequest &call, const UpstreamConfig &upstream);

    bool isDirect(CallId call) const;

    // Releases the call's permit, if it has one. `cost`: the actual cost of the call, or zero if
    // unknown; `pushedBack`: the upstream rejected the call because it was full.
    void release(CallId call, double cost, bool pushedBack = false);

    // The connection to an owner is lost, and its permits with it.
    void ownerLost(const std::string &owner);

    // Called before a request to an owner. If the connection to it was lost, a new process may
    // answer, which has no record of the permits in use; they are announced to it.
    void announceHeldPermits(const Member &owner);

private:
    struct PermitInUse
    {
        std::string team;
        std::string upstream;
        std::string owner; // empty: no owner to notify
        std::uint64_t permitId = 0; // zero: not granted by an owner
        bool isDirect = false;
    };

    const Member *ownerOf(const PermitInUse &permit) const;
    void transferTo(CallId call, PermitInUse &permit, const Member &owner);
    void releaseLocalSlot(const std::string &upstream);
    std::size_t localSlots(const UpstreamConfig &upstream) const;

    std::vector<Action> &m_actions;
    std::shared_ptr<const FleetView> m_view;
    std::map<CallId, PermitInUse> m_permits;
    std::map<std::string, std::size_t> m_localSlotsInUse; // by upstream
    std::set<std::string> m_lostOwners; // without a request since the loss
};

} // namespace fordwood

#endif // FORDWOOD_PERMITS_IN_USE_HPP_INCLUDED
