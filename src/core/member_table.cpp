// SPDX-License-Identifier: MIT
#include "fordwood/member_table.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// An incarnation is the boot number and, in the low bits, the number of suspicions refuted since.
constexpr unsigned kBootShift = 10;

} // namespace

MemberTable::MemberTable(std::string self, std::uint64_t boot)
    : m_self(std::move(self)), m_incarnation(boot << kBootShift)
{
    m_liveness.merge({m_self, m_incarnation, false});
}

std::optional<VmListDelta> MemberTable::update(const VmList &list)
{
    if (list.revision <= m_list.revision)
        return std::nullopt;
    VmListDelta delta = makeDelta(m_list, list);
    m_list = list;
    m_liveness.keepOnly(
        [this](const std::string &name) { return name == m_self || isListed(name); });
    return delta;
}

MemberTable::MergeResult MemberTable::update(const std::vector<LivenessRecord> &records)
{
    MergeResult result;
    for (const LivenessRecord &it : records) {
        if (it.member == m_self) {
            if (it.suspected && it.incarnation >= m_incarnation) {
                m_incarnation = it.incarnation;
                result.isSelfSuspected = true;
            }
            continue;
        }
        const bool wasSuspected = m_liveness.isSuspected(it.member);
        if (!m_liveness.merge(it))
            continue;
        result.records.push_back(it);
        result.membersChanged = result.membersChanged || wasSuspected != it.suspected;
    }
    return result;
}

LivenessRecord MemberTable::refuteSuspicion()
{
    ++m_incarnation;
    LivenessRecord self{m_self, m_incarnation, false};
    m_liveness.merge(self);
    return self;
}

std::optional<LivenessRecord> MemberTable::makeSuspicion(const std::string &member) const
{
    if (m_liveness.isSuspected(member) || !isListed(member))
        return std::nullopt;
    LivenessRecord record = m_liveness.recordOf(member);
    record.suspected = true;
    return record;
}

std::uint64_t MemberTable::bootOf(const std::string &member) const
{
    return m_liveness.recordOf(member).incarnation >> kBootShift;
}

std::vector<Member> MemberTable::members() const
{
    std::vector<Member> members;
    for (const Member &it : m_list.entryVms) {
        if (!m_liveness.isSuspected(it.name) || it.name == m_self)
            members.push_back(it);
    }
    return members;
}

bool MemberTable::isListed(const std::string &member) const
{
    const auto &vms = m_list.entryVms;
    const auto it
        = std::lower_bound(vms.begin(), vms.end(), member,
                           [](const Member &vm, const std::string &key) { return vm.name < key; });
    return it != vms.end() && it->name == member;
}

} // namespace fordwood
