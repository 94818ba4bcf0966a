// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ALLOWANCE_ALLOCATOR_HPP_INCLUDED
#define FORDWOOD_ALLOWANCE_ALLOCATOR_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// A node's wish for a part of a team's ceiling.
struct AllowanceRequest
{
    std::uint64_t holder = 0; // names the node's connection
    std::uint64_t requestId = 0; // comes back with the answer
    std::string team;
    std::size_t used = 0; // of the team's requests that run on the node beyond its base part
    std::size_t wanted = 0; // that it would like to run beyond its base part
};

// What a node may run of a team's requests beyond its base part, and for how long.
struct Allowance
{
    std::size_t amount = 0;
    Duration life{0}; // from the moment at which the node asked
};

// Divides the ceilings of teams among nodes, for the teams that this node owns. An allowance runs
// out by itself, at its holder never later than here, since the holder counts from its ask. The sum
// of the allowances of a team that have not run out never passes the team's pool, whatever is lost,
// repeated or late; a pool that has shrunk is kept to as the old allowances run out. When nodes
// want more than there is, each gets an equal part, and what one does not want goes to the others.
// No I/O and no threads.
class AllowanceAllocator
{
public:
    struct Limits
    {
        Duration life = std::chrono::seconds(3);
        // A team that many nodes use is gone through as a whole only so often.
        Duration sweepEvery = std::chrono::milliseconds(100);
        std::size_t alwaysSweepUpTo = 16; // with so many or fewer it is done at each ask
    };

    AllowanceAllocator(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Replaces the pools, by team. A team that is new to this book gets nothing for the life of an
    // allowance: its last owner may have given all of it away just now.
    void setPools(const std::map<std::string, std::size_t> &pools);

    // Answers at once. An unknown team gets nothing.
    Allowance allocate(const AllowanceRequest &request);

    // The sum of a team's allowances that have not run out.
    std::size_t granted(const std::string &team) const;

    std::size_t teams() const { return m_pools.size(); }

private:
    struct Grant
    {
        std::size_t amount;
        TimePoint until;
    };
    struct Holder
    {
        std::vector<Grant> grants; // the newest last; all that have not run out count
        std::size_t used = 0;
        std::size_t wanted = 0;
    };
    struct Pool
    {
        std::size_t size = 0;
        TimePoint closedUntil{};
        std::map<std::uint64_t, Holder> holders;
        std::size_t committed = 0; // over all holders; never less than what has not run out
        std::size_t equalShareSize = 0; // equal part, as of the last sweep
        TimePoint nextSweep{};
    };

    void sweep(Pool &pool) const;
    void dropExpired(Holder &holder) const;
    static std::size_t largestGrant(const Holder &holder);
    static std::size_t committedTo(const Holder &holder);
    static std::size_t equalShare(const Pool &pool);

    const Clock &m_clock;
    Limits m_limits;
    std::map<std::string, Pool> m_pools;
};

} // namespace fordwood

#endif // FORDWOOD_ALLOWANCE_ALLOCATOR_HPP_INCLUDED
