// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIMIT_SHARE_HPP_INCLUDED
#define FORDWOOD_LIMIT_SHARE_HPP_INCLUDED

#include <cstddef>

namespace fordwood {

// How nodes divide what an overloaded upstream takes: so many of them send to it, each the same
// part of so many requests a second.
struct LimitShare
{
    std::size_t senders = 0;
    double perSecond = 0.0; // of all of them together

    bool operator==(const LimitShare &) const = default;
};

// The division of a limit of `perSecond` requests a second. An upstream bears one and a half times
// its limit and five requests more in any four seconds. Each sender may have one request on its
// way when the others stop counting it, so that there are more senders the more the upstream takes.
// `isFleetComplete`: no node has fallen silent of late. Otherwise those that are silent may be
// cut off, and divide the limit among themselves as well: each side then keeps to half of what the
// upstream bears.
LimitShare shareOfLimit(double perSecond, bool isFleetComplete);

} // namespace fordwood

#endif // FORDWOOD_LIMIT_SHARE_HPP_INCLUDED
