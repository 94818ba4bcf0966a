// SPDX-License-Identifier: MIT
#include "fordwood/member_table.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// An incarnation is the boot and, in the low bits, the number of suspicions answered since.
constexpr unsigned kBootShift = 10;

} // namespace

MemberTable::MemberTable(std::string self, std::uint64_t boot)
    : m_self(std::move(self)), m_incarnation(boot << kBootShift)
{
    m_liveness.offer({m_self, m_incarnation, false});
}

std::optional<VmListDelta> MemberTable::take(const VmList &list)
{
    if (list.revision <= m_list.revision)
        return std::nullopt;
    VmListDelta delta = makeDelta(m_list, list);
    m_list = list;
    m_liveness.keepOnly(
        [this](const std::string &name) { return name == m_self || isListed(name); });
    return delta;
}

MemberTable::News MemberTable::take(const std::vector<LivenessRecord> &records)
{
    News news;
    for (const LivenessRecord &it : records) {
        if (it.member == m_self) {
            if (it.suspected && it.incarnation >= m_incarnation) {
                m_incarnation = it.incarnation;
                news.selfSuspected = true;
            }
            continue;
        }
        const bool before = m_liveness.isSuspected(it.member);
        if (!m_liveness.offer(it))
            continue;
        news.records.push_back(it);
        news.membersChanged = news.membersChanged || before != it.suspected;
    }
    return news;
}

LivenessRecord MemberTable::answerSuspicion()
{
    ++m_incarnation;
    LivenessRecord self{m_self, m_incarnation, false};
    m_liveness.offer(self);
    return self;
}

std::optional<LivenessRecord> MemberTable::suspicionOf(const std::string &member) const
{
    if (m_liveness.isSuspected(member) || !isListed(member))
        return std::nullopt;
    LivenessRecord record = m_liveness.of(member);
    record.suspected = true;
    return record;
}

std::uint64_t MemberTable::bootOf(const std::string &member) const
{
    return m_liveness.of(member).incarnation >> kBootShift;
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
