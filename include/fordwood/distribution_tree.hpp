// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_DISTRIBUTION_TREE_HPP_INCLUDED
#define FORDWOOD_DISTRIBUTION_TREE_HPP_INCLUDED

#include <string>
#include <vector>

#include "fordwood/member.hpp"

namespace fordwood {

// The position of a node in the tree over which changes are distributed. Every node computes its
// own position from its view of the members. Differing views only cost an additional link or two.
struct TreePosition
{
    bool isRelay = false; // reads the platform for its failure domain
    std::vector<std::string> parents; // first and second; none for relays
    std::vector<std::string> children; // nodes that have this node as first or second parent
    std::vector<std::string> firstChildren; // nodes that have this node as first parent
    std::vector<std::string> neighbours; // relays, mostly of other domains, that it links to
};

// Relays of each failure domain: the members that rank highest by rendezvous hash.
constexpr std::size_t kRelaysPerDomain = 2;
// Children that have the same node as first parent.
constexpr std::size_t kFanOut = 4;

// Computes the position of `self` among the members; `self` counts as one even if it is not listed.
// Leaving members are included until they are gone.
TreePosition treePosition(const std::string &self, const std::string &ownFailureDomain,
                          const std::vector<Member> &members);

} // namespace fordwood

#endif // FORDWOOD_DISTRIBUTION_TREE_HPP_INCLUDED
