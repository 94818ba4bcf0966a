// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_SHORT_PROMPT_GROUPS_HPP_INCLUDED
#define FORDWOOD_NODE_SHORT_PROMPT_GROUPS_HPP_INCLUDED

#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/engine_group_planner.hpp"
#include "fordwood/placement_ledger.hpp"
#include "fordwood/scheduler_ranking.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood::node {

class NodeState;

// The engines that a scheduler keeps for short prompts, for each service and shard. The ledger
// knows the short requests of a group by the group's name.
class ShortPromptGroups
{
public:
    ShortPromptGroups(NodeState &state, const PlacementLedger &ledger, const Clock &clock)
        : m_state(state), m_ledger(ledger), m_clock(clock)
    { }

    static std::string nameOf(const std::string &service, const EngineShard &shard);

    // The group's engines for a prompt that is placed now.
    const std::set<std::string> &engines(const EngineShard &shard, const ServicePool &pool);

    void promptPlaced(const std::string &group, const EngineGroupPlanner::PlacedPrompt &prompt);

    // An answer to a short prompt has ended. `hasPaused`: it paused longer than it may.
    void answerEnded(const std::string &group, bool hasPaused);

    // Follows the engines that come and go, and drops the groups of services without requests,
    // which may have another scheduler now.
    void update();

private:
    struct Group
    {
        Group(const Clock &clock, std::string serviceName, EngineShard engineShard)
            : service(std::move(serviceName)), shard(engineShard), planner(clock)
        { }

        std::string service;
        EngineShard shard;
        EngineGroupPlanner planner;
        std::size_t engineCount = 0; // in the shard
        std::set<std::string> engines;
    };

    std::vector<const UpstreamRecord *> shardEngines(const Group &group) const;
    std::size_t plannedSize(const std::string &name, Group &group, const ServicePool &pool);
    void select(Group &group, std::size_t size);

    NodeState &m_state;
    const PlacementLedger &m_ledger;
    const Clock &m_clock;
    std::map<std::string, Group> m_groups; // by name
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_SHORT_PROMPT_GROUPS_HPP_INCLUDED
