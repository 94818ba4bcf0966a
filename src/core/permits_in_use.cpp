// SPDX-License-Identifier: MIT
#include "fordwood/permits_in_use.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// Distinguishes permit ids that this node created from those that owners assign.
constexpr std::uint64_t kTransferredPermitBit = 1ULL << 63;

} // namespace

void PermitsInUse::setView(std::shared_ptr<const FleetView> view)
{
    m_view = std::move(view);
    for (auto &[call, permit] : m_permits) {
        if (permit.isDirect || permit.owner.empty())
            continue;
        const Member *owner = ownerOf(permit);
        if (owner != nullptr && owner->name != permit.owner)
            transferTo(call, permit, *owner);
    }
}

void PermitsInUse::addGranted(const CallRequest &call, const std::string &owner,
                              std::uint64_t permitId, const std::string &upstream)
{
    m_permits[call.id] = PermitInUse{call.team, upstream, owner, permitId, false};
}

void PermitsInUse::addDirect(const CallRequest &call, const std::string &upstream)
{
    m_permits[call.id] = PermitInUse{call.team, upstream, {}, 0, true};
}

bool PermitsInUse::tryTakeLocal(const CallRequest &call, const UpstreamConfig &upstream)
{
    std::size_t &used = m_localSlotsInUse[upstream.name];
    if (used >= localSlots(upstream))
        return false;
    ++used;
    m_permits[call.id] = PermitInUse{call.team, upstream.name, {}, 0, false};
    return true;
}

bool PermitsInUse::isDirect(CallId call) const
{
    const auto it = m_permits.find(call);
    return it != m_permits.end() && it->second.isDirect;
}

void PermitsInUse::release(CallId call, double cost, bool pushedBack)
{
    const auto node = m_permits.extract(call);
    if (node.empty() || node.mapped().isDirect)
        return;
    const PermitInUse &permit = node.mapped();
    if (permit.permitId == 0)
        releaseLocalSlot(permit.upstream);
    else if (!permit.owner.empty())
        m_actions.emplace_back(
            ReleasePermit{permit.owner, permit.permitId, permit.upstream, cost, pushedBack});
}

void PermitsInUse::ownerLost(const std::string &owner)
{
    m_lostOwners.insert(owner);
    for (auto &[call, permit] : m_permits) {
        if (permit.owner == owner)
            permit.owner.clear();
    }
}

void PermitsInUse::announceHeldPermits(const Member &owner)
{
    if (m_lostOwners.erase(owner.name) == 0)
        return;
    for (auto &[call, permit] : m_permits) {
        if (permit.isDirect || !permit.owner.empty())
            continue;
        const Member *currentOwner = ownerOf(permit);
        if (currentOwner != nullptr && currentOwner->name == owner.name)
            transferTo(call, permit, owner);
    }
}

// The current owner of a permit's upstream; null if the upstream is gone or there are no members.
const Member *PermitsInUse::ownerOf(const PermitInUse &permit) const
{
    const auto &upstreams = m_view->configuration().upstreams;
    const auto it = upstreams.find(permit.upstream);
    return it == upstreams.end() ? nullptr : m_view->owner(it->second);
}

// Transfers a permit to another owner, or to a new process of the same owner.
void PermitsInUse::transferTo(CallId call, PermitInUse &permit, const Member &owner)
{
    if (permit.permitId == 0)
        releaseLocalSlot(permit.upstream);
    else if (!permit.owner.empty())
        m_actions.emplace_back(
            ReleasePermit{permit.owner, permit.permitId, permit.upstream, 0.0, false});
    permit.owner = owner.name;
    permit.permitId = kTransferredPermitBit | call;
    m_actions.emplace_back(AdoptPermit{owner.name, owner.controlAddress, permit.permitId,
                                       permit.upstream, permit.team});
}

void PermitsInUse::releaseLocalSlot(const std::string &upstream)
{
    std::size_t &used = m_localSlotsInUse[upstream];
    used -= used > 0 ? 1 : 0;
}

// The slots of an upstream, divided among the nodes of its failure domain.
std::size_t PermitsInUse::localSlots(const UpstreamConfig &upstream) const
{
    const auto &members = m_view->members();
    const auto peers = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const Member &it) {
            return it.failureDomain == upstream.failureDomain;
        }));
    return std::max<std::size_t>(1, upstream.slots / std::max<std::size_t>(1, peers));
}

} // namespace fordwood
