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

// A node's request for a share of a team's ceiling.
struct AllowanceRequest
{
    std::uint64_t holder = 0; // identifies the node's connection
    std::uint64_t requestId = 0; // repeated in the answer
    std::string team;
    std::size_t used = 0; // requests of the team that run on the node beyond its base share
    std::size_t wanted = 0; // requests that the node wants to run beyond its base share
};

// The number of a team's requests that a node may run beyond its base share, and for how long.
struct Allowance
{
    std::size_t amount = 0;
    Duration life{0}; // counted from the time of the node's request
};

// Divides the ceilings of teams among nodes, for the teams that this node owns. An allowance
// expires by itself, at its holder never later than here, because the holder counts from the time
// of its request. The sum of a team's unexpired allowances never exceeds the team's pool, even if
// messages are lost, repeated or late; a reduced pool takes effect as older allowances expire. When
// nodes want more than the pool holds, each gets an equal share, and what a node does not want goes
// to the others. No I/O and no threads.
class AllowanceAllocator
{
public:
    struct Limits
    {
        Duration life = std::chrono::seconds(3);
        // Minimum interval between sweeps over all holders of a team with many holders.
        Duration sweepEvery = std::chrono::milliseconds(100);
        std::size_t alwaysSweepUpTo = 16; // with this many holders or fewer, every request sweeps
    };

    AllowanceAllocator(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Replaces the pools, by team. A new team gets nothing for the lifetime of an allowance,
    // because its previous owner may have just granted the whole pool.
    void setPools(const std::map<std::string, std::size_t> &pools);

    // Answers immediately. An unknown team gets nothing.
    Allowance allocate(const AllowanceRequest &request);

    // The sum of a team's unexpired allowances.
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
        std::vector<Grant> grants; // newest last; all unexpired grants count
        std::size_t used = 0;
        std::size_t wanted = 0;
    };
    struct Pool
    {
        std::size_t size = 0;
        TimePoint closedUntil{};
        std::map<std::uint64_t, Holder> holders;
        std::size_t committed = 0; // over all holders; at least the sum of unexpired grants
        std::size_t shareLimit = 0; // per holder, as of the last sweep
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
