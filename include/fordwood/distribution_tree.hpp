// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_DISTRIBUTION_TREE_HPP_INCLUDED
#define FORDWOOD_DISTRIBUTION_TREE_HPP_INCLUDED

#include <string>
#include <vector>

#include "fordwood/member.hpp"

namespace fordwood {

// The place of one node in the paths by which changes spread. Every node computes it from its own
// view of the members; two views that differ cost a link or two and nothing else.
struct TreePosition
{
    bool relay = false; // reads the platform for its failure domain
    std::vector<std::string> parents; // first and second; none for relays
    std::vector<std::string> children; // whose first or second parent this node is
    std::vector<std::string> firstChildren; // those whose first parent it is
    std::vector<std::string> neighbours; // relays of other domains that this relay links to
};

// Relays of each failure domain: the two members that rank highest by rendezvous hash.
constexpr std::size_t kRelaysPerDomain = 2;
// Children that name one node as their first parent.
constexpr std::size_t kFanOut = 4;

// Computes the place of `self` among the members (self included, whether listed or not). Members
// that are leaving take part like the others until they are gone.
TreePosition treePosition(const std::string &self, const std::string &ownFailureDomain,
                          const std::vector<Member> &members);

} // namespace fordwood

#endif // FORDWOOD_SPREADING_TREE_HPP_INCLUDED
