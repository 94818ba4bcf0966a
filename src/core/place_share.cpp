// SPDX-License-Identifier: MIT
#include "fordwood/place_share.hpp"

#include "fordwood/even_share.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

std::size_t placeShare(std::uint64_t upstream, std::size_t slots, const std::string &self,
                       const std::vector<std::string> &otherNodes)
{
    return evenShare(slots, otherNodes.size() + 1, rendezvousRank(upstream, self, otherNodes));
}

} // namespace fordwood
