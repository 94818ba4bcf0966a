// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_MEMBER_TABLE_HPP_INCLUDED
#define FORDWOOD_MEMBER_TABLE_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/liveness.hpp"
#include "fordwood/member.hpp"
#include "fordwood/vm_list.hpp"

namespace fordwood {

// The members of the fleet according to the platform's list, and their liveness according to the
// records that the nodes exchange. No I/O, no threads, no clock.
class MemberTable
{
public:
    // `boot` identifies the start of this process; later starts have higher numbers.
    MemberTable(std::string self, std::uint64_t boot);

    // Replaces the list by a newer one. Returns the change, or nothing when it is not newer.
    std::optional<VmListDelta> update(const VmList &list);
    const VmList &list() const { return m_list; }

    // The effect of a set of records.
    struct MergeResult
    {
        std::vector<LivenessRecord> records; // those that were new
        bool membersChanged = false; // a suspicion was added or removed
        bool isSelfSuspected = false; // the caller should send refuteSuspicion()
    };
    MergeResult update(const std::vector<LivenessRecord> &records);

    // A record that this process is alive, which overrides every suspicion received so far.
    LivenessRecord refuteSuspicion();

    // The record to send when a member no longer responds. Empty when the member is already
    // suspected or not on the list.
    std::optional<LivenessRecord> makeSuspicion(const std::string &member) const;

    bool isSuspected(const std::string &member) const { return m_liveness.isSuspected(member); }
    std::vector<LivenessRecord> records() const { return m_liveness.all(); }

    // The boot number of a member's process; zero if it is not known.
    std::uint64_t bootOf(const std::string &member) const;

    // The members that are listed and not suspected.
    std::vector<Member> members() const;

private:
    bool isListed(const std::string &member) const;

    const std::string m_self;
    std::uint64_t m_incarnation;
    VmList m_list;
    LivenessTable m_liveness;
};

} // namespace fordwood

#endif // FORDWOOD_MEMBER_TABLE_HPP_INCLUDED
