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

// Who takes part in the fleet, by the platform's list, and who of them is alive, by what the nodes
// say of each other. No I/O, no threads, no time.
class MemberTable
{
public:
    // `boot`: names the start of this process; later starts have higher ones.
    MemberTable(std::string self, std::uint64_t boot);

    // Takes a newer list. The change from the one before it, or nothing when it is not newer.
    std::optional<VmListDelta> update(const VmList &list);
    const VmList &list() const { return m_list; }

    // What a set of records brought.
    struct MergeResult
    {
        std::vector<LivenessRecord> records; // those that said something new
        bool membersChanged = false; // somebody is suspected, or no more
        bool isSelfSuspected = false; // this process should answer with refuteSuspicion()
    };
    MergeResult update(const std::vector<LivenessRecord> &records);

    // The record that shows that this process lives, above any suspicion seen.
    LivenessRecord refuteSuspicion();

    // The record to spread about a member that has fallen silent. Empty when it is suspected
    // already, or not on the list.
    std::optional<LivenessRecord> makeSuspicion(const std::string &member) const;

    bool isSuspected(const std::string &member) const { return m_liveness.isSuspected(member); }
    std::vector<LivenessRecord> records() const { return m_liveness.all(); }

    // When the process of a member was started, as far as known; zero otherwise.
    std::uint64_t bootOf(const std::string &member) const;

    // The members to count on: listed and not suspected.
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
