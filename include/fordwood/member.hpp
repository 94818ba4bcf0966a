// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_MEMBER_HPP_INCLUDED
#define FORDWOOD_MEMBER_HPP_INCLUDED

#include <string>

namespace fordwood {

// An entry VM as other nodes see it.
struct Member
{
    std::string name;
    std::string failureDomain;
    std::string region;
    std::string controlAddress; // IP:port of its controld
    bool leaving = false;

    bool operator==(const Member &) const = default;
};

} // namespace fordwood

#endif // FORDWOOD_MEMBER_HPP_INCLUDED
