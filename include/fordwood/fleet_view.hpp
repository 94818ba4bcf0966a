// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_FLEET_VIEW_HPP_INCLUDED
#define FORDWOOD_FLEET_VIEW_HPP_INCLUDED

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "fordwood/configuration.hpp"
#include "fordwood/member.hpp"

namespace fordwood {

// A node's snapshot of the fleet: configuration, members and leaving upstreams. It is immutable, so
// threads can share it. It selects the upstreams for a request, in the order in which to try them,
// and the member that owns an upstream.
class FleetView
{
public:
    FleetView(std::uint64_t version, std::shared_ptr<const Configuration> configuration,
              std::vector<Member> members, std::set<std::string> leavingUpstreams,
              std::string ownFailureDomain, std::size_t listedMembers = 0);

    std::uint64_t version() const { return m_version; }
    const Configuration &configuration() const { return *m_configuration; }
    const std::vector<Member> &members() const { return m_members; }
    const std::string &ownFailureDomain() const { return m_ownFailureDomain; }
    const std::set<std::string> &leaving() const { return m_leaving; }

    // The upstreams that may serve a request, best first, at most `count`. Engines of the own
    // region come before those of other regions. Services of the own failure domain come first,
    // then those of the own region, then those of other regions. Upstreams at the same distance are
    // in rendezvous order by `prefixHash`.
    std::vector<const UpstreamConfig *> engines(const std::string &model, std::uint64_t prefixHash,
                                                std::size_t count) const;
    std::vector<const UpstreamConfig *> services(const std::string &service,
                                                 std::uint64_t prefixHash, std::size_t count) const;

    // The member that owns an upstream: the rendezvous winner among the members of the upstream's
    // failure domain, else of its region, else of all. Null when there are no members.
    const Member *owner(const UpstreamConfig &upstream) const;

    // The upstreams that a member owns. Much cheaper than calling owner() for each upstream,
    // because it skips other failure domains that have members of their own.
    std::vector<const UpstreamConfig *> ownedBy(const Member &member) const;

    // The member that decides whether a request with an idempotency key of the partition may run.
    // Null when there are no members.
    const Member *keyHolder(std::uint32_t partition) const;

    // The member that distributes a team's ceiling among the nodes. Null when there are no members.
    const Member *teamOwner(const std::string &team) const;

    // The base share of each team that has a ceiling: how many of the team's requests each node may
    // run without asking the team's owner. All base shares add up to at most half of the ceiling.
    std::map<std::string, std::size_t> ceilingBases() const;

    // How many requests the team's owner may grant: the rest of the ceiling, scaled by the fraction
    // of the listed members that are alive. If a network partition leaves two owners, the scaling
    // keeps the sum of their pools within the rest.
    std::size_t ceilingPool(const TeamConfig &team) const;

    // The member of that name; null when there is none.
    const Member *member(const std::string &name) const;

    // True when the VM list or the configuration forbids new work on the upstream.
    bool isLeaving(const std::string &upstream) const;

private:
    struct Candidates
    {
        std::vector<const UpstreamConfig *> upstreams;
        std::vector<std::uint64_t> hashes;
    };
    // By distance: own failure domain, own region, other regions.
    using CandidatesByProximity = std::array<Candidates, 3>;

    std::size_t ceilingBase(const TeamConfig &team) const;
    std::map<std::string, std::size_t> proximityByDomain() const;
    const std::string &regionOf(const std::string &failureDomain) const;
    static void addCandidate(Candidates &candidates, const UpstreamConfig &upstream);
    static std::vector<const UpstreamConfig *>
    selectBest(const std::map<std::string, CandidatesByProximity> &candidatesByName,
               const std::string &name, std::uint64_t prefixHash, std::size_t count);

    struct OwnerCandidates
    {
        std::vector<const Member *> members;
        std::vector<std::uint64_t> hashes;
    };

    std::uint64_t m_version;
    std::shared_ptr<const Configuration> m_configuration;
    std::vector<Member> m_members;
    std::set<std::string> m_leaving;
    std::string m_ownFailureDomain;
    std::size_t m_listedMembers; // on the platform's list, suspected or not
    std::map<std::string, CandidatesByProximity> m_engines;
    std::map<std::string, CandidatesByProximity> m_services;
    std::map<std::string, OwnerCandidates> m_ownersByDomain;
    std::map<std::string, OwnerCandidates> m_ownersByRegion;
    OwnerCandidates m_allOwners;
};

} // namespace fordwood

#endif // FORDWOOD_FLEET_VIEW_HPP_INCLUDED
