// SPDX-License-Identifier: MIT
#include "fordwood/distribution_tree.hpp"

#include <algorithm>
#include <map>
#include <set>
#include <string_view>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

using RankedNames = std::vector<std::string>;
using NamesByDomain = std::map<std::string, std::set<std::string_view>>;

constexpr std::size_t kExtraLinks = 2; // links of a relay besides the one to the next domain

// The members of a domain, sorted by rank.
RankedNames rankMembers(const std::string &domain, const std::set<std::string_view> &names)
{
    const std::vector<std::string_view> nameList(names.begin(), names.end());
    std::vector<std::uint64_t> hashes;
    hashes.reserve(nameList.size());
    for (const std::string_view it : nameList)
        hashes.push_back(stableHash(it));
    RankedNames result;
    for (const std::size_t it :
         rendezvousOrder(stableHash("relay/" + domain), hashes, nameList.size()))
        result.emplace_back(nameList[it]);
    return result;
}

std::size_t firstParent(std::size_t rank)
{
    return (rank - kRelaysPerDomain) / kFanOut;
}

// Ranks form pairs (0 and 1, 2 and 3 ...); the second parent is the other one of the pair.
std::size_t secondParent(std::size_t rank)
{
    return firstParent(rank) ^ 1U;
}

// The relays link the domains in a ring with some additional links across it, so that a domain that
// cannot reach the platform still receives changes over several paths.
std::vector<std::string> neighboursOf(const std::string &self, const std::string &ownDomain,
                                      const NamesByDomain &domains)
{
    std::vector<std::string> names;
    names.reserve(domains.size());
    for (const auto &[name, members] : domains)
        names.push_back(name);
    std::set<std::string> chosen;
    const auto ownIndex = std::find(names.begin(), names.end(), ownDomain) - names.begin();
    chosen.insert(names[(static_cast<std::size_t>(ownIndex) + 1) % names.size()]);
    std::vector<std::uint64_t> hashes;
    hashes.reserve(names.size());
    for (const std::string &it : names)
        hashes.push_back(stableHash(it));
    for (const std::size_t it : rendezvousOrder(stableHash(self), hashes, kExtraLinks))
        chosen.insert(names[it]);
    chosen.erase(ownDomain);
    std::vector<std::string> neighbours;
    for (const std::string &it : chosen) {
        const RankedNames rankedNames = rankMembers(it, domains.at(it));
        const std::size_t pick = stableHash(self) % std::min(kRelaysPerDomain, rankedNames.size());
        neighbours.push_back(rankedNames[pick]);
    }
    return neighbours;
}

} // namespace

TreePosition treePosition(const std::string &self, const std::string &ownFailureDomain,
                          const std::vector<Member> &members)
{
    NamesByDomain domains;
    for (const Member &it : members)
        domains[it.failureDomain].insert(it.name);
    domains[ownFailureDomain].insert(self);
    // neighboursOf() ranks the members of other domains only where it links to them.
    const RankedNames ownRanking = rankMembers(ownFailureDomain, domains[ownFailureDomain]);
    const auto rank = static_cast<std::size_t>(std::find(ownRanking.begin(), ownRanking.end(), self)
                                               - ownRanking.begin());
    TreePosition position;
    position.isRelay = rank < kRelaysPerDomain;
    if (position.isRelay) {
        position.neighbours = neighboursOf(self, ownFailureDomain, domains);
        // The two relays of a domain are also neighbours; the second one opens the link.
        if (rank == 1)
            position.neighbours.push_back(ownRanking[0]);
    } else {
        position.parents = {ownRanking[firstParent(rank)], ownRanking[secondParent(rank)]};
    }
    for (std::size_t it = kRelaysPerDomain; it < ownRanking.size(); ++it) {
        if (firstParent(it) == rank || secondParent(it) == rank)
            position.children.push_back(ownRanking[it]);
        if (firstParent(it) == rank)
            position.firstChildren.push_back(ownRanking[it]);
    }
    return position;
}

} // namespace fordwood
