// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PLACE_SHARE_HPP_INCLUDED
#define FORDWOOD_PLACE_SHARE_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fordwood {

// The places of an upstream that a node may use while it reaches no lender. The slots are divided
// among all nodes of the fleet, since those that are out of reach may send as well. Where there are
// fewer slots than nodes, each upstream has other nodes that may send. `upstream`: hash of its
// instance id.
std::size_t placeShare(std::uint64_t upstream, std::size_t slots, const std::string &self,
                       const std::vector<std::string> &otherNodes);

} // namespace fordwood

#endif // FORDWOOD_PLACE_SHARE_HPP_INCLUDED
