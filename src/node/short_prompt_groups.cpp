// SPDX-License-Identifier: MIT
#include "node/short_prompt_groups.hpp"

#include <iterator>

#include "adapters/observe/event_log.hpp"
#include "fordwood/engine_groups.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/node_state.hpp"

namespace fordwood::node {

std::string ShortPromptGroups::nameOf(const std::string &service, const EngineShard &shard)
{
    return service + '#' + std::to_string(shard.index) + '/' + std::to_string(shard.count);
}

const std::set<std::string> &ShortPromptGroups::engines(const EngineShard &shard,
                                                        const ServicePool &pool)
{
    const std::string name = nameOf(pool.name, shard);
    const auto [it, isNew] = m_groups.try_emplace(name, m_clock, pool.name, shard);
    Group &group = it->second;
    if (isNew)
        group.engineCount = shardEngines(group).size();
    const std::size_t size = plannedSize(name, group, pool);
    if (size != group.engines.size())
        select(group, size);
    return group.engines;
}

void ShortPromptGroups::promptPlaced(const std::string &group,
                                     const EngineGroupPlanner::PlacedPrompt &prompt)
{
    const auto it = m_groups.find(group);
    if (it != m_groups.end())
        it->second.planner.promptPlaced(prompt);
}

void ShortPromptGroups::answerEnded(const std::string &group, bool hasPaused)
{
    const auto it = m_groups.find(group);
    if (it != m_groups.end())
        it->second.planner.answerEnded(hasPaused);
}

std::vector<const UpstreamRecord *> ShortPromptGroups::shardEngines(const Group &group) const
{
    std::vector<const UpstreamRecord *> engines = m_state.upstreams().usable(group.service);
    std::erase_if(engines, [&](const UpstreamRecord *it) {
        return !group.shard.contains(stableHash(it->instanceId));
    });
    return engines;
}

std::size_t ShortPromptGroups::plannedSize(const std::string &name, Group &group,
                                           const ServicePool &pool)
{
    return group.planner.size(
        {group.engineCount, *pool.engine, m_state.pace(group.service).tokensPerSecond()},
        m_ledger.runningShort(name));
}

void ShortPromptGroups::select(Group &group, std::size_t size)
{
    const std::size_t before = group.engines.size();
    const auto engines = shardEngines(group);
    group.engineCount = engines.size();
    group.engines = selectShortPromptEngines(engines, size);
    if (group.engines.size() != before)
        adapters::logEvent(adapters::Event::EngineGroupChanged,
                           {{"service", group.service},
                            {"engines", group.engines.size()},
                            {"of", engines.size()},
                            {"reason", name(group.planner.reason())}});
}

void ShortPromptGroups::update()
{
    std::map<std::string, std::size_t> sizes; // by service
    for (auto it = m_groups.begin(); it != m_groups.end();) {
        Group &group = it->second;
        const ServicePool *pool
            = m_state.table() ? m_state.table()->findService(group.service) : nullptr;
        const bool hasEngines = pool != nullptr && pool->engine;
        select(group, hasEngines ? plannedSize(it->first, group, *pool) : 0);
        sizes[group.service] += group.engines.size();
        it = hasEngines && group.planner.hasLoad() ? std::next(it) : m_groups.erase(it);
    }
    for (const auto &[service, size] : sizes)
        m_state.metrics().setGauge("fordwood_short_prompt_engines", static_cast<double>(size),
                                   {{"service", service}});
}

} // namespace fordwood::node
