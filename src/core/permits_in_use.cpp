// SPDX-License-Identifier: MIT
#include "fordwood/permits_in_use.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// Marks permit ids that this node made itself, apart from those that owners give out.
constexpr std::uint64_t kMovedPermit = 1ULL << 63;

} // namespace

void PermitsInUse::setView(std::shared_ptr<const FleetView> view)
{
    m_view = std::move(view);
    for (auto &[call, held] : m_held) {
        if (held.direct || held.owner.empty())
            continue;
        const Member *owner = ownerOf(held);
        if (owner != nullptr && owner->name != held.owner)
            holdAt(call, held, *owner);
    }
}

void PermitsInUse::takeGranted(const CallRequest &call, const std::string &owner,
                               std::uint64_t permitId, const std::string &upstream)
{
    m_held[call.id] = Held{call.team, upstream, owner, permitId, false};
}

void PermitsInUse::takeDirect(const CallRequest &call, const std::string &upstream)
{
    m_held[call.id] = Held{call.team, upstream, {}, 0, true};
}

bool PermitsInUse::takeLocal(const CallRequest &call, const UpstreamConfig &upstream)
{
    std::size_t &used = m_localInUse[upstream.name];
    if (used >= localPlaces(upstream))
        return false;
    ++used;
    m_held[call.id] = Held{call.team, upstream.name, {}, 0, false};
    return true;
}

bool PermitsInUse::isDirect(CallId call) const
{
    const auto it = m_held.find(call);
    return it != m_held.end() && it->second.direct;
}

void PermitsInUse::release(CallId call, double cost, bool pushedBack)
{
    const auto node = m_held.extract(call);
    if (node.empty() || node.mapped().direct)
        return;
    const Held &held = node.mapped();
    if (held.permitId == 0)
        freeLocal(held.upstream);
    else if (!held.owner.empty())
        m_actions.emplace_back(
            ReleasePermit{held.owner, held.permitId, held.upstream, cost, pushedBack});
}

void PermitsInUse::ownerLost(const std::string &owner)
{
    m_lostOwners.insert(owner);
    for (auto &[call, held] : m_held) {
        if (held.owner == owner)
            held.owner.clear();
    }
}

void PermitsInUse::aboutToAsk(const Member &owner)
{
    if (m_lostOwners.erase(owner.name) == 0)
        return;
    for (auto &[call, held] : m_held) {
        if (held.direct || !held.owner.empty())
            continue;
        const Member *present = ownerOf(held);
        if (present != nullptr && present->name == owner.name)
            holdAt(call, held, owner);
    }
}

// Who owns the upstream of a permit now; null when it has gone or there are no members.
const Member *PermitsInUse::ownerOf(const Held &held) const
{
    const auto &upstreams = m_view->configuration().upstreams;
    const auto it = upstreams.find(held.upstream);
    return it == upstreams.end() ? nullptr : m_view->owner(it->second);
}

// Moves a permit to another owner, or to the next process of the same one.
void PermitsInUse::holdAt(CallId call, Held &held, const Member &owner)
{
    if (held.permitId == 0)
        freeLocal(held.upstream);
    else if (!held.owner.empty())
        m_actions.emplace_back(ReleasePermit{held.owner, held.permitId, held.upstream, 0.0, false});
    held.owner = owner.name;
    held.permitId = kMovedPermit | call;
    m_actions.emplace_back(
        AdoptPermit{owner.name, owner.controlAddress, held.permitId, held.upstream, held.team});
}

void PermitsInUse::freeLocal(const std::string &upstream)
{
    std::size_t &used = m_localInUse[upstream];
    used -= used > 0 ? 1 : 0;
}

// The places of an upstream, divided among the nodes of its failure domain.
std::size_t PermitsInUse::localPlaces(const UpstreamConfig &upstream) const
{
    const auto &members = m_view->members();
    const auto peers = static_cast<std::size_t>(
        std::count_if(members.begin(), members.end(), [&](const Member &it) {
            return it.failureDomain == upstream.failureDomain;
        }));
    return std::max<std::size_t>(1, upstream.slots / std::max<std::size_t>(1, peers));
}

} // namespace fordwood
