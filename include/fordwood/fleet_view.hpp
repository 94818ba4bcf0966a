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

// What one node knows of the fleet at a moment: configuration, members, leaving upstreams.
// Immutable once built, so that threads may share it. Answers which upstreams serve a request, in
// which order to try them, and which member owns an upstream.
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

    // The upstreams that may take a request, best first, at most `count`: rendezvous order by
    // `prefixHash`, of engines within the own region and then elsewhere, of services within the own
    // failure domain, then within the own region, then elsewhere.
    std::vector<const UpstreamConfig *> engines(const std::string &model, std::uint64_t prefixHash,
                                                std::size_t count) const;
    std::vector<const UpstreamConfig *> services(const std::string &service,
                                                 std::uint64_t prefixHash, std::size_t count) const;

    // The member that owns an upstream: the rendezvous winner among the members of the upstream's
    // failure domain, else of its region, else of all. Null when there are no members.
    const Member *owner(const UpstreamConfig &upstream) const;

    // The upstreams that a member owns. Much cheaper than owner() for each: those of domains that
    // have members of their own are passed over.
    std::vector<const UpstreamConfig *> ownedBy(const Member &member) const;

    // The member that is asked whether a key of a partition may run. Null when there are no
    // members.
    const Member *keyHolder(std::uint32_t partition) const;

    // The member that divides a team's ceiling among the nodes. Null when there are no members.
    const Member *teamOwner(const std::string &team) const;

    // The base parts of the teams that have a ceiling: what every node may run of a team's requests
    // without asking. All base parts together are at most half of the ceiling.
    std::map<std::string, std::size_t> ceilingBases() const;

    // What the team's owner may give away: the rest of the ceiling, in the proportion of the listed
    // members that are alive. Where a partition leaves two owners, their pools together are at most
    // the rest.
    std::size_t ceilingPool(const TeamConfig &team) const;

    // A member by its name; null when it is none.
    const Member *member(const std::string &name) const;

    // True when an upstream must get no new work, by the VM list or by the configuration.
    bool isLeaving(const std::string &upstream) const;

private:
    struct Candidates
    {
        std::vector<const UpstreamConfig *> upstreams;
        std::vector<std::uint64_t> hashes;
    };
    // Near before far: own failure domain, own region, elsewhere.
    using CandidatesByProximity = std::array<Candidates, 3>;

    std::size_t ceilingBase(const TeamConfig &team) const;
    std::map<std::string, std::size_t> proximityByDomain() const;
    const std::string &regionOf(const std::string &failureDomain) const;
    static void addCandidate(Candidates &candidates, const UpstreamConfig &upstream);
    static std::vector<const UpstreamConfig *>
    selectBest(const std::map<std::string, CandidatesByProximity> &from, const std::string &name,
               std::uint64_t prefixHash, std::size_t count);

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
    std::size_t m_listedMembers; // by the platform, dead or alive
    std::map<std::string, CandidatesByProximity> m_engines;
    std::map<std::string, CandidatesByProximity> m_services;
    std::map<std::string, OwnerCandidates> m_ownersByDomain;
    std::map<std::string, OwnerCandidates> m_ownersByRegion;
    OwnerCandidates m_allOwners;
};

} // namespace fordwood

#endif // FORDWOOD_FLEET_VIEW_HPP_INCLUDED
