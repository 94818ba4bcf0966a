// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_VM_LIST_HPP_INCLUDED
#define FORDWOOD_VM_LIST_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "fordwood/member.hpp"

namespace fordwood {

// The parts of the platform's VM list that this system uses. The list lags behind the actual VMs.
struct VmList
{
    std::uint64_t revision = 0; // grows with every change of the list; zero: not read yet
    std::vector<Member> entryVms; // VMs that run this system, sorted by name
    std::set<std::string> leavingUpstreams;

    bool operator==(const VmList &) const = default;
};

// The change from one list to a later one.
struct VmListDelta
{
    std::uint64_t fromRevision = 0; // zero: the delta is the whole list
    std::uint64_t toRevision = 0;
    std::vector<Member> changed;
    std::vector<std::string> removed;
    std::vector<std::string> leavingAdded;
    std::vector<std::string> leavingRemoved;
};

VmListDelta makeDelta(const VmList &before, const VmList &after);

// Empty when the delta does not start from this list.
std::optional<VmList> applyDelta(const VmList &before, const VmListDelta &delta);

} // namespace fordwood

#endif // FORDWOOD_VM_LIST_HPP_INCLUDED
