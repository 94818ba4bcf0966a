// SPDX-License-Identifier: MIT
#include "fordwood/scheduler_ranking.hpp"

#include <algorithm>
#include <set>

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Six strong VMs among weak ones.
std::vector<SchedulerNode> mixedNodes()
{
    constexpr std::size_t kNodes = 59;
    std::vector<SchedulerNode> nodes;
    nodes.reserve(kNodes);
    for (std::size_t n = 0; n < kNodes; ++n)
        nodes.push_back({"n" + std::to_string(n), "10.0.0." + std::to_string(n) + ":8085",
                         n % 10 == 0 ? 0.5 : 0.12});
    return nodes;
}

// The names of the schedulers of many services; empty names where there is none.
std::vector<std::string> schedulersOf(const SchedulerRanking &ranking)
{
    std::vector<std::string> names;
    for (int n = 0; n < 200; ++n) {
        const SchedulerNode *node = ranking.schedulerFor("s" + std::to_string(n), {});
        names.push_back(node != nullptr ? node->name : "");
    }
    return names;
}

class RankingFixture
{
public:
    RankingFixture() : m_ranking(m_clock) { m_ranking.setNodes(mixedNodes()); }

    std::string scheduler() const
    {
        const SchedulerNode *node = m_ranking.schedulerFor("s", {});
        return node != nullptr ? node->name : "";
    }

    // Misses three replies of the current scheduler. Returns its name.
    std::string loseScheduler()
    {
        std::string lost = scheduler();
        CHECK_FALSE(m_ranking.recordMiss(lost));
        CHECK_FALSE(m_ranking.recordMiss(lost));
        CHECK(m_ranking.recordMiss(lost));
        return lost;
    }

    ManualClock m_clock;
    SchedulerRanking m_ranking;
};

} // namespace

// Guards against two nodes that choose engines for the same service without each other's sends.
TEST_CASE("scheduler: all nodes select the same one, in whatever order they know the nodes "
          "[placement]")
{
    const ManualClock clock;
    SchedulerRanking one(clock);
    SchedulerRanking other(clock);
    std::vector<SchedulerNode> nodes = mixedNodes();
    one.setNodes(nodes);
    std::reverse(nodes.begin(), nodes.end());
    other.setNodes(nodes);
    CHECK(schedulersOf(one) == schedulersOf(other));
}

TEST_CASE("scheduler: only nodes on the strongest VMs are selected, and all of them [placement]")
{
    const RankingFixture it;
    std::set<std::string> selected;
    for (const std::string &name : schedulersOf(it.m_ranking))
        selected.insert(name);
    CHECK(selected == std::set<std::string>{"n0", "n10", "n20", "n30", "n40", "n50"});
}

TEST_CASE("scheduler: without nodes there is none [placement]")
{
    const ManualClock clock;
    SchedulerRanking ranking(clock);
    CHECK(ranking.schedulerFor("s", {}) == nullptr);
    ranking.setNodes({});
    CHECK(ranking.schedulerFor("s", {}) == nullptr);
}

TEST_CASE("scheduler: two missed replies change nothing, three select the second candidate for a "
          "second [placement]")
{
    RankingFixture it;
    const std::string first = it.scheduler();
    CHECK_FALSE(it.m_ranking.recordMiss(first));
    CHECK_FALSE(it.m_ranking.recordMiss(first));
    CHECK(it.scheduler() == first);
    CHECK_FALSE(it.m_ranking.recordReply(first)); // it was not passed over
    CHECK_FALSE(it.m_ranking.recordMiss(first)); // not three in a row
    CHECK_FALSE(it.m_ranking.recordMiss(first));
    CHECK(it.scheduler() == first);
    CHECK(it.m_ranking.recordMiss(first));
    const std::string second = it.scheduler();
    CHECK(second != first);
    CHECK_FALSE(second.empty());
    it.m_clock.advance(999ms);
    CHECK(it.scheduler() == second);
    it.m_clock.advance(1ms);
    CHECK(it.scheduler() == first);
}

TEST_CASE("scheduler: one that still does not answer is passed over again after one miss "
          "[placement]")
{
    RankingFixture it;
    const std::string first = it.loseScheduler();
    it.m_clock.advance(1s);
    CHECK_FALSE(it.m_ranking.recordMiss(first)); // already reported as lost
    CHECK(it.scheduler() != first);
    it.m_clock.advance(1s);
    CHECK(it.scheduler() == first);
    CHECK(it.m_ranking.recordReply(first));
    CHECK_FALSE(it.m_ranking.recordMiss(first));
    CHECK(it.scheduler() == first);
}

// The third candidate would see the requests of few nodes only.
TEST_CASE("scheduler: none while both candidates are silent [placement]")
{
    RankingFixture it;
    const std::string first = it.loseScheduler();
    it.m_clock.advance(500ms);
    const std::string second = it.loseScheduler();
    CHECK(second != first);
    CHECK(it.scheduler().empty());
    it.m_clock.advance(500ms);
    CHECK(it.scheduler() == first);
}

TEST_CASE("scheduler: a removed node is not selected, and the others keep their services "
          "[placement]")
{
    RankingFixture it;
    const std::vector<std::string> before = schedulersOf(it.m_ranking);
    std::vector<SchedulerNode> nodes = mixedNodes();
    std::erase_if(nodes, [](const SchedulerNode &node) { return node.name == "n20"; });
    it.m_ranking.setNodes(nodes);
    const std::vector<std::string> after = schedulersOf(it.m_ranking);
    for (std::size_t n = 0; n < before.size(); ++n) {
        CHECK(after[n] != "n20");
        if (before[n] != "n20")
            CHECK(after[n] == before[n]);
    }
}

// Guards against a node that starts again and is passed over for the silence of its last process.
TEST_CASE("scheduler: the misses of a removed node are forgotten, those of others are not "
          "[placement]")
{
    RankingFixture it;
    const std::string first = it.loseScheduler();
    it.m_ranking.setNodes(mixedNodes());
    CHECK(it.scheduler() != first);
    std::vector<SchedulerNode> nodes = mixedNodes();
    std::erase_if(nodes, [&](const SchedulerNode &node) { return node.name == first; });
    it.m_ranking.setNodes(nodes);
    it.m_ranking.setNodes(mixedNodes());
    CHECK(it.scheduler() == first);
}

TEST_CASE("shards: at most 128 engines on average, and every engine in exactly one [placement]")
{
    CHECK(shardFor(1, 0).count == 1);
    CHECK(shardFor(1, 128).count == 1);
    CHECK(shardFor(1, 129).count == 2);
    CHECK(shardFor(1, 2'956).count == 24);
    std::vector<int> sizes(24);
    for (int n = 0; n < 2'956; ++n) {
        const std::uint64_t hash = stableHash("e" + std::to_string(n));
        int owners = 0;
        for (std::size_t shard = 0; shard < sizes.size(); ++shard) {
            if (EngineShard{sizes.size(), shard}.contains(hash)) {
                owners += 1;
                sizes[shard] += 1;
            }
        }
        CHECK(owners == 1);
    }
    // 123 on average; a shard is within four standard deviations.
    CHECK(*std::min_element(sizes.begin(), sizes.end()) > 79);
    CHECK(*std::max_element(sizes.begin(), sizes.end()) < 167);
}

// Guards against one more engine that moves nearly all contexts to engines that have to compute
// them again, as a remainder by the number of shards did.
TEST_CASE("shards: few contexts and engines move when engines are added [placement]")
{
    constexpr int kContexts = 4'000;
    for (std::size_t shards = 2; shards < 24; ++shards) {
        int moved = 0;
        for (int n = 0; n < kContexts; ++n) {
            const std::uint64_t hash = stableHash("c" + std::to_string(n));
            const EngineShard before = shardFor(hash, shards * 128);
            const EngineShard after = shardFor(hash, shards * 128 + 1);
            REQUIRE(after.count == before.count + 1);
            CHECK(before.contains(hash));
            CHECK(after.contains(hash));
            if (after.index == before.index)
                continue;
            CHECK(after.index == shards); // only to the new one
            moved += 1;
        }
        CHECK(moved < 1.25 * kContexts / static_cast<double>(shards + 1));
        CHECK(moved > 0);
    }
}

TEST_CASE("shards: a shard keeps its scheduler when others are added [placement]")
{
    const RankingFixture it;
    for (std::size_t shard = 0; shard < 8; ++shard)
        CHECK(it.m_ranking.schedulerFor("s", {8, shard})->name
              == it.m_ranking.schedulerFor("s", {9, shard})->name);
}
