// SPDX-License-Identifier: MIT
#include "fordwood/weight_rollout.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Engines with version 1 of the weights, and a node that holds the lock.
class RolloutFixture
{
public:
    explicit RolloutFixture(int engines) : m_loads(m_clock), m_rollout(m_clock)
    {
        for (int n = 0; n < engines; ++n) {
            UpstreamRecord record;
            record.instanceId = "e" + std::to_string(n);
            record.weightVersions["m"] = 1;
            m_records.push_back(record);
        }
        setEngines();
    }

    void setEngines()
    {
        for (const UpstreamRecord &it : m_records)
            m_rollout.setEngine(it);
    }

    std::vector<RolloutAction> tick()
    {
        m_clock.advance(20ms);
        return m_rollout.tick(m_holding, m_loads);
    }

    // Ticks for `time`, answering each request for a report with `report`. Returns the orders.
    std::vector<OrderWeights> run(Duration time, const EngineReport &report)
    {
        std::vector<OrderWeights> orders;
        for (Duration passed{0}; passed < time; passed += 20ms) {
            for (const RolloutAction &it : tick()) {
                if (const auto *ask = std::get_if<FetchReport>(&it))
                    m_rollout.reportReceived(ask->instanceId, report);
                else
                    orders.push_back(std::get<OrderWeights>(it));
            }
        }
        return orders;
    }

    ManualClock m_clock;
    UpstreamLoadTracker m_loads;
    WeightRollout m_rollout;
    std::vector<UpstreamRecord> m_records;
    std::optional<FencedLock::Holding> m_holding
        = FencedLock::Holding{9, TimePoint{}, TimePoint{}, TimePoint::max()};
};

const EngineReport kOldReport{{{"m", 1}}, false, 0};

} // namespace

TEST_CASE("rollout: the number of engines that load at once is limited [weights]")
{
    RolloutFixture rollout(18);
    rollout.m_rollout.setTarget("m", 2);
    const auto orders = rollout.run(900ms, kOldReport);
    CHECK(orders.size() == 3);
    for (const OrderWeights &it : orders) {
        CHECK(it.fence == 9);
        CHECK(it.version == 2);
    }
    // As many again are drained meanwhile, so that they need not wait when their turn comes.
    CHECK(rollout.m_rollout.loading().size() == 6);
}

TEST_CASE("rollout: nothing is ordered without the lock or outside the time in which it may act "
          "[weights][lock]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    rollout.m_holding.reset();
    CHECK(rollout.run(1s, kOldReport).empty());
    rollout.m_holding = FencedLock::Holding{9, {}, rollout.m_clock.now() + 5s, TimePoint::max()};
    CHECK(rollout.run(4s, kOldReport).empty());
    rollout.m_holding = FencedLock::Holding{9, {}, {}, rollout.m_clock.now()};
    CHECK(rollout.run(1s, kOldReport).empty());
}

TEST_CASE("rollout: a report from before the order does not cause a second order [weights]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    auto orders = rollout.run(200ms, kOldReport);
    REQUIRE(orders.size() == 1);
    rollout.m_rollout.orderAnswered(orders.front().instanceId, OrderResult::Accepted);
    CHECK(rollout.run(700ms, kOldReport).empty()); // reports lag behind
}

TEST_CASE("rollout: an order without an answer is repeated only with the same count of orders "
          "[weights][lost-reply]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    auto orders = rollout.run(200ms, kOldReport);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().ordersTaken == 0);
    rollout.m_rollout.orderAnswered(orders.front().instanceId, OrderResult::Unknown);
    orders = rollout.run(3s, kOldReport);
    REQUIRE_FALSE(orders.empty());
    CHECK(orders.front().ordersTaken
          == 0); // the engine then rejects the first order if it arrives late
}

TEST_CASE("rollout: a version in a report counts at once, and the next engine follows [weights]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    auto orders = rollout.run(200ms, kOldReport);
    REQUIRE(orders.size() == 1);
    const std::string first = orders.front().instanceId;
    rollout.m_rollout.orderAnswered(first, OrderResult::Accepted);
    rollout.m_rollout.reportReceived(first, EngineReport{{{"m", 2}}, false, 1});
    CHECK(rollout.m_rollout.reportedVersions().at(first).at("m").version == 2);
    orders = rollout.run(400ms, kOldReport);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().instanceId != first);
}

TEST_CASE("rollout: a refused fence is reported once [weights][lock]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    const auto orders = rollout.run(200ms, kOldReport);
    REQUIRE(orders.size() == 1);
    rollout.m_rollout.orderAnswered(orders.front().instanceId, OrderResult::Fenced);
    CHECK(rollout.m_rollout.takeFenceRefused());
    CHECK_FALSE(rollout.m_rollout.takeFenceRefused());
}

TEST_CASE("rollout: a version that is named meanwhile is ordered instead of the previous one "
          "[weights]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    rollout.m_rollout.setTarget("m", 3);
    rollout.m_rollout.setTarget("m", 2);
    const auto orders = rollout.run(200ms, kOldReport);
    REQUIRE(orders.size() == 1);
    CHECK(orders.front().version == 3);
}

TEST_CASE("rollout: engines with the oldest weights load first, even if the others are idle "
          "[weights]")
{
    RolloutFixture rollout(10);
    for (int n = 0; n < 4; ++n)
        rollout.m_records[static_cast<std::size_t>(n)].weightVersions["m"] = 2;
    rollout.setEngines();
    for (int n = 4; n < 10; ++n)
        rollout.m_loads.begin("e" + std::to_string(n), {0, 0}); // those with version 1 are busy
    rollout.m_rollout.setTarget("m", 3);
    const auto orders = rollout.run(2s, {{{"m", 1}}, false, 0});
    REQUIRE(!orders.empty());
    for (const OrderWeights &it : orders)
        CHECK_MESSAGE(it.instanceId >= "e4", it.instanceId);
}

TEST_CASE("rollout: an engine that loaded a version that was replaced meanwhile waits for its turn "
          "[weights]")
{
    RolloutFixture rollout(10);
    rollout.m_rollout.setTarget("m", 2);
    const auto first = rollout.run(200ms, {{{"m", 1}}, false, 0});
    REQUIRE(first.size() == 2);
    for (const OrderWeights &it : first)
        rollout.m_rollout.orderAnswered(it.instanceId, OrderResult::Accepted);
    rollout.m_rollout.setTarget("m", 3);
    // The two engines that were ordered report version 2, the others version 1.
    std::vector<OrderWeights> next;
    for (Duration passed{0}; passed < 2s; passed += 20ms) {
        for (const RolloutAction &it : rollout.tick()) {
            const auto *ask = std::get_if<FetchReport>(&it);
            if (ask == nullptr) {
                next.push_back(std::get<OrderWeights>(it));
                continue;
            }
            const bool loaded
                = ask->instanceId == first[0].instanceId || ask->instanceId == first[1].instanceId;
            rollout.m_rollout.reportReceived(
                ask->instanceId, EngineReport{{{"m", loaded ? 2U : 1U}}, false, loaded});
        }
    }
    REQUIRE(next.size() == 2);
    for (const OrderWeights &it : next) {
        CHECK(it.version == 3);
        CHECK(it.instanceId != first[0].instanceId);
        CHECK(it.instanceId != first[1].instanceId);
    }
}

TEST_CASE("rollout: a loading engine keeps its turn when a report is missed [weights]")
{
    RolloutFixture rollout(3);
    rollout.m_rollout.setTarget("m", 2);
    const auto orders = rollout.run(200ms, kOldReport);
    REQUIRE(orders.size() == 1);
    const std::string first = orders.front().instanceId;
    rollout.m_rollout.orderAnswered(first, OrderResult::Accepted);
    rollout.m_rollout.reportReceived(first, std::nullopt);
    CHECK(rollout.run(800ms, {{{"m", 1}}, true, 1}).empty());
    CHECK(rollout.m_rollout.loading().contains(first));
}

TEST_CASE("rollout: engines that a previous holder ordered count as loading [weights][lock]")
{
    RolloutFixture rollout(9);
    rollout.m_rollout.setTarget("m", 2);
    for (Duration passed{0}; passed < 1s; passed += 20ms) {
        for (const RolloutAction &it : rollout.tick()) {
            const auto *ask = std::get_if<FetchReport>(&it);
            REQUIRE(ask != nullptr);
            const bool busy = ask->instanceId == "e0" || ask->instanceId == "e1";
            rollout.m_rollout.reportReceived(ask->instanceId, EngineReport{{{"m", 1}}, busy, busy});
        }
    }
    CHECK(rollout.m_rollout.loading().size() == 4); // two load and two are drained
}

TEST_CASE("rollout: shows for each engine with outdated weights what it waits for [weights][sight]")
{
    RolloutFixture rollout(6);
    rollout.m_rollout.setTarget("m", 2);
    const auto behind = [&] { return rollout.m_rollout.outdatedEngines(*rollout.m_holding); };
    const auto waitOf = [&](const std::string &id) { return behind().at(id).waitsFor; };

    rollout.m_holding = FencedLock::Holding{9, {}, rollout.m_clock.now() + 1s, TimePoint::max()};
    CHECK(behind().at("e0") == OutdatedEngine{"m", 1, 2, RolloutWait::QuietTime});
    rollout.m_holding->actFrom = TimePoint{};

    rollout.tick();
    CHECK(waitOf("e0") == RolloutWait::Report);
    CHECK(waitOf("e3") == RolloutWait::Turn);
    rollout.m_rollout.reportReceived("e0", kOldReport);
    rollout.m_rollout.reportReceived("e1", kOldReport);
    rollout.m_rollout.reportReceived("e2", std::nullopt);
    CHECK(waitOf("e0") == RolloutWait::Drain);
    CHECK(waitOf("e2") == RolloutWait::Silent);

    rollout.run(100ms, kOldReport);
    CHECK(waitOf("e0") == RolloutWait::Load);
    rollout.m_rollout.orderAnswered("e0", OrderResult::Unknown);
    CHECK(waitOf("e0") == RolloutWait::Answer);
    rollout.m_rollout.orderAnswered("e1", OrderResult::Refused);
    CHECK(waitOf("e1") == RolloutWait::Pause);
    rollout.m_rollout.reportReceived("e0", EngineReport{{{"m", 2}}, false, 1});
    CHECK_FALSE(behind().contains("e0"));
}
