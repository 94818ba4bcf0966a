// SPDX-License-Identifier: MIT
#include "fordwood/place_share.hpp"

#include "fordwood/rendezvous.hpp"

namespace fordwood {

std::size_t placeShare(std::uint64_t upstream, std::size_t slots, const std::string &self,
                       const std::vector<std::string> &otherNodes)
{
    const std::size_t nodes = otherNodes.size() + 1;
    const std::size_t rank = rendezvousRank(upstream, self, otherNodes);
    return slots / nodes + (rank < slots % nodes ? 1 : 0);
}

} // namespace fordwood
