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

// The permits under which the calls of one entry node run, each with the owner that must hear of
// its end. Owners change and die while permits are in use: the next owner is told of them, so that
// it does not grant the same place again. No I/O and no threads.
class PermitsInUse
{
public:
    // Actions are added to `actions`.
    explicit PermitsInUse(std::vector<Action> &actions) : m_actions(actions) { }

    // Replaces the view of the fleet; owners that are new hear of the permits at their upstreams.
    void setView(std::shared_ptr<const FleetView> view);

    // The call runs under a permit that an owner granted.
    void addGranted(const CallRequest &call, const std::string &owner, std::uint64_t permitId,
                    const std::string &upstream);

    // The call is sent without asking, since places are not short.
    void addDirect(const CallRequest &call, const std::string &upstream);

    // The call takes one of the few places that a node may use while no owner answers. False when
    // they are all in use.
    bool tryTakeLocal(const CallRequest &call, const UpstreamConfig &upstream);

    bool isDirect(CallId call) const;

    // The call's permit is in use no more; without one, nothing happens. `cost`: what it used, or
    // zero if unknown; `pushedBack`: the upstream was full all the same.
    void release(CallId call, double cost, bool pushedBack = false);

    // The connection to an owner is gone, and its permits with it.
    void ownerLost(const std::string &owner);

    // An owner is about to be asked. One that had been lost may be another process, which knows of
    // nothing: it is told of the permits in use.
    void announceHeldPermits(const Member &owner);

private:
    struct PermitInUse
    {
        std::string team;
        std::string upstream;
        std::string owner; // empty: nobody needs to hear of it
        std::uint64_t permitId = 0; // zero: none was granted
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
    std::set<std::string> m_lostOwners; // that have not been asked since
};

} // namespace fordwood

#endif // FORDWOOD_PERMITS_IN_USE_HPP_INCLUDED
