// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_VM_LIST_HPP_INCLUDED
#define FORDWOOD_VM_LIST_HPP_INCLUDED

#include <set>
#include <string>
#include <vector>

#include "fordwood/member.hpp"

namespace fordwood {

// The platform's lagging list of VMs, as far as the system uses it.
struct VmList
{
    std::vector<Member> entryVms; // those that run this system
    std::set<std::string> leavingUpstreams;

    bool operator==(const VmList &) const = default;
};

} // namespace fordwood

#endif // FORDWOOD_VM_LIST_HPP_INCLUDED
