// SPDX-License-Identifier: MIT
// An engine's weights went back, and no node believed it: a late order of older weights had been
// carried out after the engine had started again under its id, since its count of orders had begun
// anew. Its record said version 1; the nodes kept the highest version that they had ever heard of.
// From then on the engine turned every request away (421), each of which cost its caller a send,
// and it was never ordered again, since the lock's holder took it to be done: in the run below no
// order in 60 s, and version 2 believed for good.
#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/weight_rollout.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// One engine, what a node believes of it, and the orders that it gives while it holds the lock.
class EngineFleet
{
public:
    EngineFleet() : m_loads(m_clock), m_upstreams(m_clock, {}), m_rollout(m_clock)
    {
        m_rollout.setTarget("m", 2);
        writeRecord(1);
    }

    // The engine's record says so, whatever it runs.
    void writeRecord(std::uint64_t version)
    {
        UpstreamRecord record;
        record.instanceId = "e";
        record.service = "models";
        record.weightVersions["m"] = version;
        m_upstreams.put(record);
        m_rollout.setEngines(m_upstreams.stayingEngines());
    }

    // The engine runs this version, and tells it when asked.
    void setRuns(std::uint64_t version) { m_runs = version; }

    // Loads what it is ordered, at once. Gives the orders.
    std::size_t run(Duration time)
    {
        std::size_t orders = 0;
        for (Duration passed{0}; passed < time; passed += 20ms) {
            m_clock.advance(20ms);
            m_upstreams.tick();
            for (const RolloutAction &it : m_rollout.tick(m_holding, m_loads)) {
                if (std::holds_alternative<FetchReport>(it)) {
                    m_rollout.reportReceived("e", EngineReport{{{"m", m_runs}}, false, m_taken});
                    continue;
                }
                ++orders;
                ++m_taken;
                m_runs = std::get<OrderWeights>(it).version;
                m_rollout.orderAnswered("e", OrderResult::Accepted);
            }
            takeShown();
        }
        return orders;
    }

    std::uint64_t believed() const { return m_upstreams.find("e")->weightVersions.at("m"); }
    bool isLoading() const { return !m_rollout.loading().empty(); }
    void setStoreReachable(bool reachable) { m_upstreams.setStoreReachable(reachable); }

private:
    void takeShown()
    {
        for (const auto &[id, models] : m_rollout.reportedVersions()) {
            for (const auto &[model, weights] : models)
                m_upstreams.setWeightVersion(id, model, weights);
        }
        if (m_upstreams.takeWeightsChanged())
            m_rollout.setEngines(m_upstreams.stayingEngines());
    }

    ManualClock m_clock;
    UpstreamLoadTracker m_loads;
    UpstreamDirectory m_upstreams;
    WeightRollout m_rollout;
    std::uint64_t m_runs = 1;
    std::int64_t m_taken = 0;
    std::optional<FencedLock::Holding> m_holding
        = FencedLock::Holding{9, TimePoint{}, TimePoint{}, TimePoint::max()};
};

} // namespace

TEST_CASE("engine versions: one whose weights have gone back is believed and ordered again "
          "[weights]")
{
    EngineFleet fleet;
    CHECK(fleet.run(2s) == 1);
    CHECK(fleet.believed() == 2);
    fleet.writeRecord(2);
    CHECK(fleet.run(1s) == 0);
    fleet.setRuns(1);
    fleet.writeRecord(1);
    CHECK(fleet.run(1s) == 1);
    fleet.writeRecord(2);
    CHECK(fleet.believed() == 2);
    CHECK_FALSE(fleet.isLoading());
}

TEST_CASE("engine versions: what an answer has shown holds until the engine had time to write it "
          "[weights]")
{
    EngineFleet fleet;
    CHECK(fleet.run(2s) == 1);
    SUBCASE("its record lags")
    {
        fleet.writeRecord(1);
        CHECK(fleet.run(1s) == 0);
        CHECK(fleet.believed() == 2);
        CHECK_FALSE(fleet.isLoading());
    }
    SUBCASE("the store is away and nothing can be written")
    {
        fleet.setStoreReachable(false);
        CHECK(fleet.run(30s) == 0);
        CHECK(fleet.believed() == 2);
        fleet.setStoreReachable(true);
        CHECK(fleet.run(2s) == 0);
        CHECK(fleet.believed() == 2);
        fleet.writeRecord(2);
        CHECK(fleet.run(30s) == 0);
    }
}

TEST_CASE("engine versions: weights that went back before the engine wrote anything are found "
          "[weights]")
{
    EngineFleet fleet;
    CHECK(fleet.run(2s) == 1);
    fleet.setRuns(1); // between two of its records: the store has version 1 throughout
    CHECK(fleet.run(6s) == 1);
}

TEST_CASE(
    "engine versions: the word of a peer ends with the time that a record takes however often "
    "it is repeated [weights]")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    UpstreamRecord record;
    record.instanceId = "e";
    record.weightVersions["m"] = 1;
    upstreams.put(record);
    const auto believed = [&] { return upstreams.find("e")->weightVersions.at("m"); };
    const TimePoint seen = clock.now();
    for (Duration passed{0}; passed < 4s; passed += 200ms) {
        upstreams.setWeightVersion("e", "m", {2, seen});
        upstreams.tick();
        CHECK(believed() == 2);
        clock.advance(200ms);
    }
    for (Duration passed{0}; passed < 20s; passed += 200ms) {
        clock.advance(200ms);
        upstreams.setWeightVersion("e", "m", {2, seen});
        upstreams.tick();
    }
    CHECK(believed() == 1);
    SUBCASE("what was seen anew is believed")
    {
        CHECK(upstreams.setWeightVersion("e", "m", {2, clock.now()}));
        CHECK(believed() == 2);
    }
    SUBCASE("a node that starts while nothing can be written believes an old word")
    {
        UpstreamDirectory started(clock, {});
        started.setStoreReachable(false);
        started.put(record);
        CHECK(started.setWeightVersion("e", "m", {2, seen}));
        clock.advance(1h);
        started.tick();
        CHECK(started.find("e")->weightVersions.at("m") == 2);
    }
}

TEST_CASE("engine versions: of words about an engine the one that was seen last holds [weights]")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    UpstreamRecord record;
    record.instanceId = "e";
    record.weightVersions["m"] = 2;
    const TimePoint before = clock.now();
    clock.advance(100ms);
    upstreams.put(record);
    const auto believed = [&] { return upstreams.find("e")->weightVersions.at("m"); };
    CHECK_FALSE(upstreams.setWeightVersion("e", "m", {1, before})); // replaced since
    CHECK(believed() == 2);
    clock.advance(100ms);
    const TimePoint first = clock.now();
    clock.advance(100ms);
    CHECK(upstreams.setWeightVersion("e", "m", {1, clock.now()})); // it has gone back
    CHECK(believed() == 1);
    CHECK_FALSE(upstreams.setWeightVersion("e", "m", {3, first})); // overtaken on its way
    CHECK(believed() == 1);
    clock.advance(100ms);
    upstreams.put(record); // loaded anew
    CHECK(believed() == 2);
    CHECK_FALSE(upstreams.isAhead("e", "m", 2));
    CHECK_FALSE(upstreams.setWeightVersion("gone", "m", {3, clock.now()}));
    clock.advance(100ms);
    CHECK_FALSE(upstreams.setWeightVersion("e", "m", {0, clock.now()})); // there is no such version
    CHECK(believed() == 2);
}

TEST_CASE(
    "engine versions: none is believed of an engine that turned the last one down until more is "
    "known [weights]")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    UpstreamRecord record;
    record.instanceId = "e";
    record.service = "models";
    record.weightVersions["m"] = 2;
    upstreams.put(record);
    const TimePoint before = clock.now();
    clock.advance(100ms);
    const auto isKnown = [&] { return upstreams.find("e")->weightVersions.contains("m"); };
    CHECK_FALSE(upstreams.doubtWeights("e", "m", {2, before})); // as old as the record
    CHECK_FALSE(upstreams.doubtWeights("e", "m", {1, clock.now()})); // no more believed
    REQUIRE(isKnown());
    REQUIRE(upstreams.doubtWeights("e", "m", {2, clock.now()}));
    CHECK_FALSE(isKnown());
    CHECK(upstreams.usable("models").size() == 1); // its other models are
    clock.advance(100ms);
    SUBCASE("a record")
    {
        upstreams.put(record);
        CHECK(isKnown());
    }
    SUBCASE("an answer")
    {
        CHECK(upstreams.setWeightVersion("e", "m", {3, clock.now()}));
        CHECK(upstreams.find("e")->weightVersions.at("m") == 3);
    }
    SUBCASE("an answer from before tells nothing")
    {
        CHECK_FALSE(upstreams.setWeightVersion("e", "m", {3, before}));
        CHECK_FALSE(isKnown());
    }
    SUBCASE("the time in which a record would say so, also while the store is away")
    {
        upstreams.setStoreReachable(false);
        clock.advance(4s);
        upstreams.tick();
        CHECK_FALSE(isKnown());
        clock.advance(1s);
        upstreams.tick();
        CHECK(upstreams.find("e")->weightVersions.at("m") == 2);
    }
}
