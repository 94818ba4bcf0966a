// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIVENESS_HPP_INCLUDED
#define FORDWOOD_LIVENESS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace fordwood {

// What is said about one member's life. Of two records about a member the one with the higher
// incarnation holds; with the same incarnation, suspicion holds. A member that hears of its own
// suspicion answers with a higher incarnation. The scheme is that of SWIM (Das, Gupta, Motivala).
struct LivenessRecord
{
    std::string member;
    std::uint64_t incarnation
        = 0; // the start of the member's process, in ms of calendar time, or later
    bool suspected = false;

    bool operator==(const LivenessRecord &) const = default;
};

// The records that a node holds about all members.
class LivenessTable
{
public:
    // Takes a record if it says something new. True when it did.
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

    // The record about a member; of incarnation zero when there is none.
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

    // Drops records of members that the platform no longer lists.
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
