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
                if (std::holds_alternative<AskReport>(it)) {
                    m_rollout.reportRead("e", EngineReport{{{"m", m_runs}}, false, m_taken});
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
        for (const auto &[id, versions] : m_rollout.shown()) {
            for (const auto &[model, version] : versions)
                m_upstreams.setWeightVersion(id, model, version);
        }
    }

    ManualClock m_clock;
    LoadBook m_loads;
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
    CHECK(fleet.run(60s) >= 1);
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
    CHECK(fleet.run(60s) >= 1);
}
