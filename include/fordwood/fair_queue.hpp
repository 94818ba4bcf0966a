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

// Start-time fair queueing over teams. Each entry carries a cost; over time every team with waiting
// entries gets cost in proportion to its share. Work-conserving: an idle team's part goes to the
// others, and an idle team saves up nothing. Within a team the higher priority goes first, then the
// older entry. Not thread-safe.
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

    // Adds an entry; ids must be unique among the waiting ones.
    void push(const Entry &entry);

    // Takes out the entry whose team is furthest behind its share.
    std::optional<Entry> pop();

    // The entry that pop() would take.
    std::optional<Entry> next() const;

    // The sum of the shares of the teams that have waiting entries.
    double activeShare() const { return m_activeShare; }

    // Takes out an entry that no longer waits. False when there is none of that id.
    bool remove(EntryId id);

    // Counts cost that a team used without waiting, so that it is charged all the same.
    void charge(const std::string &team, double share, double cost);

    std::size_t size() const { return m_entries.size(); }
    bool empty() const { return m_entries.empty(); }

    // How many entries of one team wait.
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
