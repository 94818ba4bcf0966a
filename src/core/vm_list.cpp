// SPDX-License-Identifier: MIT
#include "fordwood/vm_list.hpp"

#include <algorithm>
#include <map>

namespace fordwood {

VmListDelta makeDelta(const VmList &before, const VmList &after)
{
    VmListDelta delta;
    delta.fromRevision = before.revision;
    delta.toRevision = after.revision;
    std::map<std::string, const Member *> old;
    for (const Member &it : before.entryVms)
        old[it.name] = &it;
    for (const Member &it : after.entryVms) {
        const auto known = old.find(it.name);
        if (known == old.end() || *known->second != it)
            delta.changed.push_back(it);
        if (known != old.end())
            old.erase(known);
    }
    for (const auto &[name, member] : old)
        delta.removed.push_back(name);
    std::set_difference(after.leavingUpstreams.begin(), after.leavingUpstreams.end(),
                        before.leavingUpstreams.begin(), before.leavingUpstreams.end(),
                        std::back_inserter(delta.leavingAdded));
    std::set_difference(before.leavingUpstreams.begin(), before.leavingUpstreams.end(),
                        after.leavingUpstreams.begin(), after.leavingUpstreams.end(),
                        std::back_inserter(delta.leavingRemoved));
    return delta;
}

std::optional<VmList> applyDelta(const VmList &before, const VmListDelta &delta)
{
    if (delta.fromRevision != 0 && delta.fromRevision != before.revision)
        return std::nullopt;
    VmList after;
    after.revision = delta.toRevision;
    std::map<std::string, Member> members;
    if (delta.fromRevision != 0) {
        after.leavingUpstreams = before.leavingUpstreams;
        for (const Member &it : before.entryVms)
            members[it.name] = it;
    }
    for (const std::string &it : delta.removed)
        members.erase(it);
    for (const Member &it : delta.changed)
        members[it.name] = it;
    for (const std::string &it : delta.leavingRemoved)
        after.leavingUpstreams.erase(it);
    after.leavingUpstreams.insert(delta.leavingAdded.begin(), delta.leavingAdded.end());
    for (auto &[name, member] : members)
        after.entryVms.push_back(std::move(member));
    return after;
}

} // namespace fordwood
