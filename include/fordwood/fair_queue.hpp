// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_FAIR_QUEUE_HPP_INCLUDED
#define FORDWOOD_FAIR_QUEUE_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>

namespace fordwood {

// Start-time fair queueing over teams. Each entry has a cost; over time every team with waiting
// entries is served cost in proportion to its share. Work-conserving: the share of an idle team
// goes to the others, and an idle team accumulates no credit. Within a team higher priority goes
// first, then the older entry. Not thread-safe.
class FairQueue
{
public:
    using EntryId = std::uint64_t;

    // One waiting request. `cost` is positive, in any unit that is the same for all entries.
    struct Entry
    {
        EntryId id = 0;
        std::string team;
        double share = 1.0;
        double cost = 1.0;
        int priority = 0;
    };

    // Adds an entry; ids must be unique among the waiting entries.
    void push(const Entry &entry);

    // Removes and returns the entry whose team is furthest behind its share.
    std::optional<Entry> pop();

    // The entry that pop() would return.
    std::optional<Entry> next() const;

    // The sum of the shares of the teams that have waiting entries.
    double activeShare() const { return m_activeShare; }

    // Removes an entry that no longer waits. Returns false if there is no entry with that id.
    bool remove(EntryId id);

    // Charges a team for cost that it used without queueing.
    void charge(const std::string &team, double share, double cost);

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

    // The number of waiting entries of a team.
    std::size_t waiting(const std::string &team) const;

private:
    struct Order
    {
        int priority;
        std::uint64_t sequence;
        EntryId id;
        bool operator<(const Order &other) const
        {
            return priority != other.priority ? priority > other.priority
                                              : sequence < other.sequence;
        }
    };
    struct Team
    {
        std::set<Order> waiting;
        double share = 1.0;
        double tag = 0.0; // virtual time at which the team's next entry starts
    };
    struct Slot
    {
        Entry entry;
        Order order;
    };

    void removeSlot(const Slot &slot);

    std::map<std::string, Team> m_teams;
    std::set<std::pair<double, std::string>> m_active; // teams with waiting entries, by tag
    std::unordered_map<EntryId, Slot> m_entries;
    double m_activeShare = 0.0;
    double m_virtualTime = 0.0;
    std::uint64_t m_sequence = 0;
};

} // namespace fordwood

#endif // FORDWOOD_FAIR_QUEUE_HPP_INCLUDED
