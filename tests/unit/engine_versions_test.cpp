// SPDX-License-Identifier: MIT
// Guards against nodes that do not notice when an engine goes back to older weights. An engine
// restarted under its id and then executed a late order of older weights, as its count of orders
// had begun anew. Its record listed version 1, but the nodes kept the highest version that they had
// seen. From then on the engine rejected every request (421), each of which cost its caller a send,
// and it got no new order, as the lock holder considered it up to date. In the run below that meant
// no order in 60 s, and version 2 assumed for good.
#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/weight_rollout.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// One engine, a node's knowledge of it, and the orders that the node gives while it holds the lock.
class EngineFleet
{
public:
    EngineFleet() : m_loads(m_clock), m_upstreams(m_clock, {}), m_rollout(m_clock)
    {
        m_rollout.setTarget("m", 2);
        writeRecord(1);
    }

    // Writes a record with this version, whatever the engine runs.
    void writeRecord(std::uint64_t version)
    {
        UpstreamRecord record;
        record.instanceId = "e";
        record.service = "models";
        record.weightVersions["m"] = version;
        m_upstreams.put(record);
        m_rollout.update(m_upstreams);
    }

    // Sets the version that the engine runs and reports when asked.
    void setRunningVersion(std::uint64_t version) { m_runningVersion = version; }

    // Runs the fleet; the engine loads ordered weights at once. Returns the number of orders.
    std::size_t run(Duration time)
    {
        std::size_t orders = 0;
        for (Duration passed{0}; passed < time; passed += 20ms) {
            m_clock.advance(20ms);
            m_upstreams.tick();
            for (const RolloutAction &it : m_rollout.tick(m_holding, m_loads)) {
                if (std::holds_alternative<FetchReport>(it)) {
                    m_rollout.reportReceived(
                        "e", EngineReport{{{"m", m_runningVersion}}, false, m_ordersTaken});
                    continue;
                }
                ++orders;
                ++m_ordersTaken;
                m_runningVersion = std::get<OrderWeights>(it).version;
                m_rollout.orderAnswered("e", OrderResult::Accepted);
            }
            applyObserved();
        }
        return orders;
    }

    std::uint64_t assumedVersion() const { return m_upstreams.find("e")->weightVersions.at("m"); }
    bool isLoading() const { return !m_rollout.loading().empty(); }
    void setStoreReachable(bool reachable) { m_upstreams.setStoreReachable(reachable); }

private:
    void applyObserved()
    {
        for (const auto &[id, models] : m_rollout.reportedVersions()) {
            for (const auto &[model, weights] : models)
                m_upstreams.setWeightVersion(id, model, weights);
        }
        m_rollout.update(m_upstreams);
    }

    ManualClock m_clock;
    UpstreamLoadTracker m_loads;
    UpstreamDirectory m_upstreams;
    WeightRollout m_rollout;
    std::uint64_t m_runningVersion = 1;
    std::int64_t m_ordersTaken = 0;
    std::optional<FencedLock::Holding> m_holding
        = FencedLock::Holding{9, TimePoint{}, TimePoint{}, TimePoint::max()};
};

} // namespace

TEST_CASE("engine versions: an engine that went back to older weights is noticed and ordered again "
          "[weights]")
{
    EngineFleet fleet;
    CHECK(fleet.run(2s) == 1);
    CHECK(fleet.assumedVersion() == 2);
    fleet.writeRecord(2);
    CHECK(fleet.run(1s) == 0);
    fleet.setRunningVersion(1);
    fleet.writeRecord(1);
    CHECK(fleet.run(1s) == 1);
    fleet.writeRecord(2);
    CHECK(fleet.assumedVersion() == 2);
    CHECK_FALSE(fleet.isLoading());
}

TEST_CASE("engine versions: an observed version is used until the record should list it [weights]")
{
    EngineFleet fleet;
    CHECK(fleet.run(2s) == 1);
    SUBCASE("its record lags")
    {
        fleet.writeRecord(1);
        CHECK(fleet.run(1s) == 0);
        CHECK(fleet.assumedVersion() == 2);
        CHECK_FALSE(fleet.isLoading());
    }
    SUBCASE("the store is unreachable and nothing can be written")
    {
        fleet.setStoreReachable(false);
        CHECK(fleet.run(30s) == 0);
        CHECK(fleet.assumedVersion() == 2);
        fleet.setStoreReachable(true);
        CHECK(fleet.run(2s) == 0);
        CHECK(fleet.assumedVersion() == 2);
        fleet.writeRecord(2);
        CHECK(fleet.run(30s) == 0);
    }
}

TEST_CASE("engine versions: older weights are noticed before any record is written [weights]")
{
    EngineFleet fleet;
    CHECK(fleet.run(2s) == 1);
    fleet.setRunningVersion(1); // between two records: the store lists version 1 throughout
    CHECK(fleet.run(6s) == 1);
}

TEST_CASE("engine versions: a version reported by a peer expires even if the report is repeated "
          "[weights]")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    UpstreamRecord record;
    record.instanceId = "e";
    record.weightVersions["m"] = 1;
    upstreams.put(record);
    const auto assumedVersion = [&] { return upstreams.find("e")->weightVersions.at("m"); };
    const TimePoint seen = clock.now();
    for (Duration passed{0}; passed < 4s; passed += 200ms) {
        upstreams.setWeightVersion("e", "m", {2, seen});
        upstreams.tick();
        CHECK(assumedVersion() == 2);
        clock.advance(200ms);
    }
    for (Duration passed{0}; passed < 20s; passed += 200ms) {
        clock.advance(200ms);
        upstreams.setWeightVersion("e", "m", {2, seen});
        upstreams.tick();
    }
    CHECK(assumedVersion() == 1);
    SUBCASE("a new observation is used")
    {
        CHECK(upstreams.setWeightVersion("e", "m", {2, clock.now()}));
        CHECK(assumedVersion() == 2);
    }
    SUBCASE("a node that starts while nothing can be written uses an old report")
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

TEST_CASE("engine versions: the latest observation of an engine is used [weights]")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    UpstreamRecord record;
    record.instanceId = "e";
    record.weightVersions["m"] = 2;
    const TimePoint before = clock.now();
    clock.advance(100ms);
    upstreams.put(record);
    const auto assumedVersion = [&] { return upstreams.find("e")->weightVersions.at("m"); };
    CHECK_FALSE(upstreams.setWeightVersion("e", "m", {1, before})); // older than the record
    CHECK(assumedVersion() == 2);
    clock.advance(100ms);
    const TimePoint first = clock.now();
    clock.advance(100ms);
    CHECK(upstreams.setWeightVersion("e", "m", {1, clock.now()})); // it went back to version 1
    CHECK(assumedVersion() == 1);
    CHECK_FALSE(upstreams.setWeightVersion("e", "m", {3, first})); // overtaken by a newer one
    CHECK(assumedVersion() == 1);
    clock.advance(100ms);
    upstreams.put(record); // loaded again
    CHECK(assumedVersion() == 2);
    CHECK_FALSE(upstreams.isAheadOfRecord("e", "m", 2));
    CHECK_FALSE(upstreams.setWeightVersion("gone", "m", {3, clock.now()}));
    clock.advance(100ms);
    CHECK_FALSE(upstreams.setWeightVersion("e", "m", {0, clock.now()})); // version 0 does not exist
    CHECK(assumedVersion() == 2);
}

TEST_CASE("engine versions: none is assumed after an engine rejected the last one, until more is "
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
    const auto hasVersion = [&] { return upstreams.find("e")->weightVersions.contains("m"); };
    CHECK_FALSE(upstreams.rejectWeights("e", "m", {2, before})); // older than the record
    CHECK_FALSE(upstreams.rejectWeights("e", "m", {1, clock.now()})); // not the assumed version
    REQUIRE(hasVersion());
    REQUIRE(upstreams.rejectWeights("e", "m", {2, clock.now()}));
    CHECK_FALSE(hasVersion());
    CHECK(upstreams.usable("models").size() == 1); // it is usable for other models
    clock.advance(100ms);
    SUBCASE("a record")
    {
        upstreams.put(record);
        CHECK(hasVersion());
    }
    SUBCASE("an answer")
    {
        CHECK(upstreams.setWeightVersion("e", "m", {3, clock.now()}));
        CHECK(upstreams.find("e")->weightVersions.at("m") == 3);
    }
    SUBCASE("an older answer changes nothing")
    {
        CHECK_FALSE(upstreams.setWeightVersion("e", "m", {3, before}));
        CHECK_FALSE(hasVersion());
    }
    SUBCASE("the time limit of a record update, even while the store is unreachable")
    {
        upstreams.setStoreReachable(false);
        clock.advance(4s);
        upstreams.tick();
        CHECK_FALSE(hasVersion());
        clock.advance(1s);
        upstreams.tick();
        CHECK(upstreams.find("e")->weightVersions.at("m") == 2);
    }
}
