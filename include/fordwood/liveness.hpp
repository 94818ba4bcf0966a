// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIVENESS_HPP_INCLUDED
#define FORDWOOD_LIVENESS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fordwood {

// Liveness of one member, as in the SWIM protocol (Das, Gupta, Motivala). Of two records of a
// member the one with the higher incarnation wins; with equal incarnations, suspicion wins. A
// member that learns that it is suspected refutes this with a higher incarnation.
struct LivenessRecord
{
    std::string member;
    std::uint64_t incarnation
        = 0; // the start of the member's process, in ms of calendar time, or later
    bool suspected = false;

    bool operator==(const LivenessRecord &) const = default;
};

// The newest liveness records of all members.
class LivenessTable
{
public:
    // Stores a record if it overrides the current one. Returns whether it did.
    bool merge(const LivenessRecord &record)
    {
        const auto [it, inserted] = m_records.try_emplace(record.member, record);
        if (inserted)
            return true;
        LivenessRecord &current = it->second;
        const bool newer = record.incarnation > current.incarnation
                           || (record.incarnation == current.incarnation && record.suspected
                               && !current.suspected);
        if (newer)
            current = record;
        return newer;
    }

    bool isSuspected(const std::string &member) const
    {
        const auto it = m_records.find(member);
        return it != m_records.end() && it->second.suspected;
    }

    // The record of a member; its incarnation is zero when there is none.
    LivenessRecord recordOf(const std::string &member) const
    {
        const auto it = m_records.find(member);
        return it == m_records.end() ? LivenessRecord{member, 0, false} : it->second;
    }

    std::vector<LivenessRecord> all() const
    {
        std::vector<LivenessRecord> records;
        records.reserve(m_records.size());
        for (const auto &[member, it] : m_records)
            records.push_back(it);
        return records;
    }

    // Drops the records of members for which `keep` is false.
    template <typename Keep>
    void keepOnly(const Keep &keep)
    {
        std::erase_if(m_records, [&](const auto &it) { return !keep(it.first); });
    }

private:
    std::map<std::string, LivenessRecord> m_records;
};

} // namespace fordwood

#endif // FORDWOOD_LIVENESS_HPP_INCLUDED
