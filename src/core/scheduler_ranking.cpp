// SPDX-License-Identifier: MIT
#include "fordwood/scheduler_ranking.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A scheduler compares all engines of its shard for each prompt, which takes about a microsecond
// for each of them.
constexpr std::size_t kEnginesPerShard = 128;

// The first candidate, and the one that takes over from it.
constexpr std::size_t kCandidates = 2;

} // namespace

// Jump consistent hash (Lamping and Veach, 2014): constant memory, a few steps for each hash.
std::size_t EngineShard::shardIndex(std::uint64_t hash, std::size_t count)
{
    constexpr std::uint64_t kMultiplier = 2'862'933'555'777'941'757ULL;
    constexpr double kRange = 2'147'483'648.0; // of the upper 31 bits, plus one
    std::size_t index = 0;
    double next = 0.0;
    while (next < static_cast<double>(count)) {
        index = static_cast<std::size_t>(next);
        hash = hash * kMultiplier + 1;
        next = static_cast<double>(index + 1) * (kRange / static_cast<double>((hash >> 33) + 1));
    }
    return index;
}

EngineShard shardFor(std::uint64_t contextHash, std::size_t engines)
{
    EngineShard shard;
    shard.count = std::max<std::size_t>(1, (engines + kEnginesPerShard - 1) / kEnginesPerShard);
    shard.index = EngineShard::shardIndex(contextHash, shard.count);
    return shard;
}

void SchedulerRanking::setNodes(std::vector<SchedulerNode> nodes)
{
    double strongest = 0.0;
    for (const SchedulerNode &it : nodes)
        strongest = std::max(strongest, it.strength);
    std::erase_if(nodes, [&](const SchedulerNode &it) { return it.strength < strongest; });
    m_nodes = std::move(nodes);
    m_hashes.clear();
    for (const SchedulerNode &it : m_nodes)
        m_hashes.push_back(stableHash(it.name));
    std::erase_if(m_misses, [&](const auto &it) {
        return std::none_of(m_nodes.begin(), m_nodes.end(),
                            [&](const SchedulerNode &node) { return node.name == it.first; });
    });
}

std::vector<const SchedulerNode *> SchedulerRanking::candidatesFor(const std::string &service,
                                                                   const EngineShard &shard) const
{
    const std::uint64_t key = stableHash(service, shard.index);
    std::vector<const SchedulerNode *> candidates;
    for (const std::size_t it : rendezvousOrder(key, m_hashes, kCandidates))
        candidates.push_back(&m_nodes[it]);
    return candidates;
}

const SchedulerNode *SchedulerRanking::schedulerFor(const std::string &service,
                                                    const EngineShard &shard,
                                                    const std::string &except) const
{
    for (const SchedulerNode *it : candidatesFor(service, shard)) {
        if (it->name != except && !isPassedOver(it->name))
            return it;
    }
    return nullptr;
}

bool SchedulerRanking::isPassedOver(const std::string &node) const
{
    const auto it = m_misses.find(node);
    return it != m_misses.end() && m_clock.now() < it->second.passedOverUntil;
}

bool SchedulerRanking::recordMiss(const std::string &node)
{
    Misses &misses = m_misses[node];
    misses.inARow += 1;
    if (misses.inARow <= m_limits.missesAllowed)
        return false;
    misses.passedOverUntil = m_clock.now() + m_limits.passOver;
    return misses.inARow == m_limits.missesAllowed + 1;
}

bool SchedulerRanking::recordReply(const std::string &node)
{
    const auto it = m_misses.find(node);
    if (it == m_misses.end())
        return false;
    const bool wasPassedOver = it->second.inARow > m_limits.missesAllowed;
    m_misses.erase(it);
    return wasPassedOver;
}

} // namespace fordwood
