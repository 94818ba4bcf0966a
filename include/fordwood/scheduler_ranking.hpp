// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SCHEDULER_RANKING_HPP_INCLUDED
#define FORDWOOD_SCHEDULER_RANKING_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// A part of a service's engines. All nodes assign an engine to the same shard.
struct EngineShard
{
    std::size_t count = 1; // shards of the service
    std::size_t index = 0;

    bool operator==(const EngineShard &) const = default;

    bool contains(std::uint64_t engineHash) const { return shardIndex(engineHash, count) == index; }

    // The shard of an engine or context, by consistent hashing: another shard takes its part from
    // each of the others, and everything else stays where its context has been computed.
    static std::size_t shardIndex(std::uint64_t hash, std::size_t count);
};

// The shard for prompts with this context. Shards keep a scheduler's work the same in a fleet of
// any size.
EngineShard shardFor(std::uint64_t contextHash, std::size_t engines);

// A node that may schedule.
struct SchedulerNode
{
    std::string name;
    std::string address; // for placement messages (UDP)
    double strength = 0.0; // of its VM; see vmStrength()
    std::string failureDomain = {};

    bool operator==(const SchedulerNode &) const = default;
};

// Selects the node that schedules a shard of a service: among the strongest VMs, the first by
// rendezvous hash that answers. All nodes that know the same nodes select the same one, without an
// election. Serves fleets in which schedulers die, are suspended or are cut off: a scheduler that
// misses replies is passed over for a while.
class SchedulerRanking
{
public:
    struct Limits
    {
        // A few lost datagrams are no reason to pass over a scheduler: the next one knows nothing
        // of the requests that it has placed.
        std::size_t missesAllowed = 2;
        Duration passOver = std::chrono::seconds(1);
    };

    explicit SchedulerRanking(const Clock &clock) : SchedulerRanking(clock, Limits{}) { }
    SchedulerRanking(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void setNodes(std::vector<SchedulerNode> nodes);

    // Null if there is no node, or the first two candidates do not answer.
    // `except`: the name of a node that is not to be asked.
    const SchedulerNode *schedulerFor(const std::string &service, const EngineShard &shard,
                                      const std::string &except = {}) const;

    // The node that is asked first and the one that takes over from it, also while passed over.
    std::vector<const SchedulerNode *> candidatesFor(const std::string &service,
                                                     const EngineShard &shard) const;

    // Returns whether the node is passed over from now on.
    bool recordMiss(const std::string &node);
    // Returns whether the node was passed over until now.
    bool recordReply(const std::string &node);

private:
    struct Misses
    {
        std::size_t inARow = 0;
        TimePoint passedOverUntil{};
    };

    bool isPassedOver(const std::string &node) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::vector<SchedulerNode> m_nodes; // of the strongest VMs
    std::vector<std::uint64_t> m_hashes; // of their names
    std::map<std::string, Misses> m_misses; // by node
};

} // namespace fordwood

#endif // FORDWOOD_SCHEDULER_RANKING_HPP_INCLUDED
