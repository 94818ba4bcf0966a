// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIMIT_SHARE_HPP_INCLUDED
#define FORDWOOD_LIMIT_SHARE_HPP_INCLUDED

#include <cstddef>

namespace fordwood {

// How the limit of an overloaded upstream is divided: each of `senders` nodes sends an equal share
// of `perSecond`.
struct LimitShare
{
    std::size_t senders = 0;
    double perSecond = 0.0; // for all senders together

    bool operator==(const LimitShare &) const = default;
};

// Divides a limit of `perSecond` requests per second. An upstream tolerates 1.5 times its limit
// plus five requests in any four seconds. Each sender may have one request in flight when the
// others stop counting it, so a higher limit allows more senders. `isFleetComplete`: no node has
// disappeared recently. Otherwise the missing nodes may be partitioned off and divide the limit
// among themselves as well, so each side uses at most half of the capacity.
LimitShare shareOfLimit(double perSecond, bool isFleetComplete);

} // namespace fordwood

#endif // FORDWOOD_LIMIT_SHARE_HPP_INCLUDED
