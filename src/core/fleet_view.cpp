// SPDX-License-Identifier: MIT
#include "fordwood/fleet_view.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"
#include "fordwood/tenure.hpp"

namespace fordwood {

namespace {

constexpr std::size_t kOwnDomain = 0;
constexpr std::size_t kOwnRegion = 1;
constexpr std::size_t kOtherRegion = 2;

} // namespace

FleetView::FleetView(std::uint64_t version, std::shared_ptr<const Configuration> configuration,
                     std::vector<Member> members, std::set<std::string> leavingUpstreams,
                     std::string ownFailureDomain, std::size_t listedMembers)
    : m_version(version), m_configuration(std::move(configuration)), m_members(std::move(members)),
      m_leaving(std::move(leavingUpstreams)), m_ownFailureDomain(std::move(ownFailureDomain)),
      m_listedMembers(std::max(listedMembers, m_members.size()))
{
    const auto proximities = proximityByDomain();
    for (const auto &[name, it] : m_configuration->upstreams) {
        if (it.leaving || m_leaving.count(name) != 0)
            continue;
        const auto domain = proximities.find(it.failureDomain);
        const std::size_t proximity = domain == proximities.end() ? kOtherRegion : domain->second;
        // Cached context is found again only if all nodes of a region select the same engine. To
        // compute a prompt again costs a thousand times more than a request to another failure
        // domain.
        const std::size_t engineProximity = proximity == kOtherRegion ? kOtherRegion : kOwnRegion;
        for (const std::string &model : it.models)
            addCandidate(m_engines[model][engineProximity], it);
        if (it.kind == UpstreamKind::Service)
            addCandidate(m_services[it.service][proximity], it);
    }
    const auto addOwner = [](OwnerCandidates &owners, const Member &member) {
        owners.members.push_back(&member);
        owners.hashes.push_back(stableHash(member.name));
    };
    for (const Member &it : m_members) {
        if (it.leaving)
            continue;
        addOwner(m_ownersByDomain[it.failureDomain], it);
        addOwner(m_ownersByRegion[it.region], it);
        addOwner(m_allOwners, it);
    }
}

std::vector<const UpstreamConfig *>
FleetView::engines(const std::string &model, std::uint64_t prefixHash, std::size_t count) const
{
    return selectBest(m_engines, model, prefixHash, count);
}

std::vector<const UpstreamConfig *>
FleetView::services(const std::string &service, std::uint64_t prefixHash, std::size_t count) const
{
    return selectBest(m_services, service, prefixHash, count);
}

const Member *FleetView::owner(const UpstreamConfig &upstream) const
{
    const std::uint64_t key = stableHash(upstream.name);
    const auto winner = [&](const OwnerCandidates &owners) -> const Member * {
        const int index = rendezvousWinner(key, owners.hashes);
        return index < 0 ? nullptr : owners.members[static_cast<std::size_t>(index)];
    };
    const auto domain = m_ownersByDomain.find(upstream.failureDomain);
    if (domain != m_ownersByDomain.end())
        return winner(domain->second);
    const auto region = m_ownersByRegion.find(regionOf(upstream.failureDomain));
    if (region != m_ownersByRegion.end())
        return winner(region->second);
    return winner(m_allOwners);
}

std::vector<const UpstreamConfig *> FleetView::ownedBy(const Member &member) const
{
    std::vector<const UpstreamConfig *> owned;
    for (const auto &[name, it] : m_configuration->upstreams) {
        const bool elsewhere = it.failureDomain != member.failureDomain;
        if (elsewhere && m_ownersByDomain.count(it.failureDomain) != 0)
            continue;
        const Member *winner = owner(it);
        if (winner != nullptr && winner->name == member.name)
            owned.push_back(&it);
    }
    return owned;
}

const Member *FleetView::keyHolder(std::uint32_t partition) const
{
    const int index = keyHolderIndex(partition, m_allOwners.hashes);
    return index < 0 ? nullptr : m_allOwners.members[static_cast<std::size_t>(index)];
}

const Member *FleetView::teamOwner(const std::string &team) const
{
    const int index = rendezvousWinner(stableHash(team), m_allOwners.hashes);
    return index < 0 ? nullptr : m_allOwners.members[static_cast<std::size_t>(index)];
}

std::map<std::string, std::size_t> FleetView::ceilingBases() const
{
    std::map<std::string, std::size_t> bases;
    for (const auto &[name, it] : m_configuration->teams) {
        if (it.maxRunning > 0)
            bases[name] = ceilingBase(it);
    }
    return bases;
}

std::size_t FleetView::ceilingBase(const TeamConfig &team) const
{
    return static_cast<std::size_t>(team.maxRunning) / 2
           / std::max<std::size_t>(1, m_listedMembers);
}

std::size_t FleetView::ceilingPool(const TeamConfig &team) const
{
    const std::size_t listed = std::max<std::size_t>(1, m_listedMembers);
    const std::size_t rest = static_cast<std::size_t>(team.maxRunning) - listed * ceilingBase(team);
    return rest * m_members.size() / listed;
}

const Member *FleetView::member(const std::string &name) const
{
    const auto it = std::find_if(m_members.begin(), m_members.end(),
                                 [&](const Member &candidate) { return candidate.name == name; });
    return it == m_members.end() ? nullptr : &*it;
}

bool FleetView::isLeaving(const std::string &upstream) const
{
    if (m_leaving.count(upstream) != 0)
        return true;
    const auto it = m_configuration->upstreams.find(upstream);
    return it == m_configuration->upstreams.end() || it->second.leaving;
}

// The distance of each failure domain from this node's own.
std::map<std::string, std::size_t> FleetView::proximityByDomain() const
{
    const std::string &ownRegion = regionOf(m_ownFailureDomain);
    std::map<std::string, std::size_t> proximities;
    for (const auto &[name, it] : m_configuration->failureDomains)
        proximities[name] = it.region == ownRegion ? kOwnRegion : kOtherRegion;
    proximities[m_ownFailureDomain] = kOwnDomain;
    return proximities;
}

const std::string &FleetView::regionOf(const std::string &failureDomain) const
{
    static const std::string kNone;
    const auto it = m_configuration->failureDomains.find(failureDomain);
    return it == m_configuration->failureDomains.end() ? kNone : it->second.region;
}

void FleetView::addCandidate(Candidates &candidates, const UpstreamConfig &upstream)
{
    candidates.upstreams.push_back(&upstream);
    candidates.hashes.push_back(stableHash(upstream.name));
}

std::vector<const UpstreamConfig *>
FleetView::selectBest(const std::map<std::string, CandidatesByProximity> &candidatesByName,
                      const std::string &name, std::uint64_t prefixHash, std::size_t count)
{
    std::vector<const UpstreamConfig *> result;
    const auto byProximity = candidatesByName.find(name);
    if (byProximity == candidatesByName.end())
        return result;
    for (const Candidates &it : byProximity->second) {
        if (result.size() >= count)
            break;
        for (const std::size_t index :
             rendezvousOrder(prefixHash, it.hashes, count - result.size()))
            result.push_back(it.upstreams[index]);
    }
    return result;
}

} // namespace fordwood
