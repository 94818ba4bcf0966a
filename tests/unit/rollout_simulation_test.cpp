// SPDX-License-Identifier: MIT
// Guards against slow rollouts: engines did not reach new weights within 16 s. They were ordered
// one at a time, 1.0 to 1.5 s apart, although two loads at once do not slow each other down. An
// order without an answer (given up as unknown 0.7 s after it was sent, at 29.48 s) blocked all
// others until its repeat was answered at 31.03 s. Engines that were down also took the slots of
// others.
#include <algorithm>
#include <random>

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/weight_rollout.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr Duration kStep = 20ms;
constexpr Duration kAnswerTime = 10ms;
constexpr Duration kReportTimeout = 700ms;
constexpr Duration kOrderTimeout = 500ms;
constexpr Duration kReportLag = 100ms;
constexpr Duration kLoadTime = 900ms;

// Loads take longer if more engines than this load at the same time.
std::size_t maxUnslowedLoads(std::size_t engines)
{
    return std::max<std::size_t>(2, engines / 5);
}

// An order that reaches the engine after the wait for its answer has ended.
struct DelayedOrder
{
    TimePoint due{};
    std::int64_t ordersTaken = 0;
    std::uint64_t version = 0;
};

struct SimulatedState
{
    std::uint64_t version = 1;
    std::int64_t ordersTaken = 0;
    bool busy = false;
};

struct SimulatedEngine
{
    SimulatedState current;
    SimulatedState previous; // the state in reports until the last change is kReportLag ago
    TimePoint changedAt{};
    TimePoint loadEnd{};
    std::uint64_t loadingVersion = 0;
    std::vector<DelayedOrder> delayedOrders;
    TimePoint downFrom = TimePoint::max();
    TimePoint downUntil = TimePoint::max();
    bool hasRequests = true;
    std::optional<TimePoint> requestsEnd;

    bool isDown(TimePoint now) const { return now >= downFrom && now < downUntil; }

    void change(TimePoint now, const SimulatedState &next)
    {
        previous = current;
        current = next;
        changedAt = now;
    }
};

struct Outcome
{
    std::optional<Duration>
        untilAllUpdated; // from the naming until all engines have the new weights
    Duration untilRunningUpdated{0}; // from the naming until all engines that are up have them
    Duration idleTime{0}; // total time of engines that get no requests and do not load
    std::size_t maxLoads = 0; // at the same time
    std::size_t maxKeptFree = 0; // engines without requests at the same time, loading or not
    std::size_t reports = 0;
    std::size_t orders = 0;
};

// Simulates a holder of the lock and its engines from the naming of version 2 on.
class Simulation
{
public:
    Simulation(std::size_t engines, double unanswered, unsigned seed)
        : m_unanswered(unanswered), m_random(seed), m_upstreamLoads(m_clock), m_rollout(m_clock)
    {
        for (std::size_t n = 0; n < engines; ++n) {
            UpstreamRecord record;
            record.instanceId = "e" + std::to_string(n);
            record.weightVersions["m"] = 1;
            m_records.push_back(record);
            m_engines[record.instanceId] = {};
            m_upstreamLoads.begin(record.instanceId, {0, 0});
        }
        for (const UpstreamRecord &it : m_records)
            m_rollout.setEngine(it);
        m_rollout.setTarget("m", 2);
    }

    SimulatedEngine &engine(std::size_t n) { return m_engines.at("e" + std::to_string(n)); }
    TimePoint start() const { return m_start; }

    // The first engines that load fail permanently while they do so.
    void failDuringLoad(std::size_t engines) { m_failuresDuringLoad = engines; }

    // Newer weights are named during the rollout; all times count from the first naming.
    void nameNewerVersion(Duration after) { m_nextNaming = m_start + after; }

    Outcome run(Duration limit)
    {
        while (m_clock.now() < m_start + limit && !m_outcome.untilAllUpdated)
            step();
        return m_outcome;
    }

private:
    struct Answer
    {
        TimePoint due{};
        std::string instanceId;
        std::optional<OrderResult> order; // empty: the answer is a report
        std::optional<EngineReport> report;
    };

    Duration randomDuration(Duration least, Duration most)
    {
        std::uniform_int_distribution<std::int64_t> draw(least.count(), most.count());
        return Duration(draw(m_random));
    }

    void step()
    {
        m_clock.advance(kStep);
        if (m_nextNaming && m_clock.now() >= *m_nextNaming) {
            m_nextNaming.reset();
            m_newest += 1;
            m_rollout.setTarget("m", m_newest);
        }
        for (auto &[id, engine] : m_engines)
            advance(id, engine);
        deliverAnswers();
        for (const RolloutAction &it : m_rollout.tick(m_holding, m_upstreamLoads)) {
            if (const auto *asked = std::get_if<FetchReport>(&it))
                requestReport(asked->instanceId);
            else
                sendOrder(std::get<OrderWeights>(it));
        }
        updateRequests();
        measure();
    }

    void advance(const std::string &id, SimulatedEngine &engine)
    {
        const TimePoint now = m_clock.now();
        if (engine.current.busy && engine.isDown(now))
            engine.change(now, {engine.current.version, 0, false});
        if (engine.current.busy && now >= engine.loadEnd)
            engine.change(now, {engine.loadingVersion, engine.current.ordersTaken, false});
        for (const DelayedOrder &it : engine.delayedOrders) {
            if (now >= it.due && !engine.isDown(now))
                takeOrder(engine, it);
        }
        std::erase_if(engine.delayedOrders, [&](const DelayedOrder &it) { return now >= it.due; });
        if (engine.requestsEnd && now >= *engine.requestsEnd) {
            m_upstreamLoads.end(id, {0, 0}, true);
            engine.requestsEnd.reset();
            engine.hasRequests = false;
        }
    }

    OrderResult takeOrder(SimulatedEngine &engine, const DelayedOrder &order)
    {
        if (engine.current.busy || engine.current.ordersTaken != order.ordersTaken)
            return OrderResult::Conflict;
        if (engine.current.version >= order.version)
            return OrderResult::AlreadyDone;
        const std::size_t loads = countLoads() + 1;
        const std::size_t maxUnslowed = maxUnslowedLoads(m_engines.size());
        const double slower
            = std::max(1.0, static_cast<double>(loads) / static_cast<double>(maxUnslowed));
        engine.loadingVersion = order.version;
        engine.loadEnd = m_clock.now() + std::chrono::duration_cast<Duration>(slower * kLoadTime);
        engine.change(m_clock.now(), {engine.current.version, order.ordersTaken + 1, true});
        if (m_failuresDuringLoad > 0) {
            m_failuresDuringLoad -= 1;
            engine.downFrom = m_clock.now() + kLoadTime / 2;
        }
        return OrderResult::Accepted;
    }

    void requestReport(const std::string &id)
    {
        m_outcome.reports += 1;
        const SimulatedEngine &engine = m_engines.at(id);
        const TimePoint now = m_clock.now();
        if (engine.isDown(now)) {
            m_answers.push_back({now + kReportTimeout, id, {}, {}});
            return;
        }
        const SimulatedState &reported
            = now - engine.changedAt < kReportLag ? engine.previous : engine.current;
        const EngineReport report{{{"m", reported.version}}, reported.busy, reported.ordersTaken};
        m_answers.push_back({now + kAnswerTime, id, {}, report});
    }

    void sendOrder(const OrderWeights &order)
    {
        m_outcome.orders += 1;
        SimulatedEngine &engine = m_engines.at(order.instanceId);
        const TimePoint now = m_clock.now();
        DelayedOrder taken{now, order.ordersTaken, order.version};
        if (engine.isDown(now) || std::bernoulli_distribution(m_unanswered)(m_random)) {
            taken.due = now + randomDuration(2s, 12s);
            engine.delayedOrders.push_back(taken);
            m_answers.push_back({now + kOrderTimeout, order.instanceId, OrderResult::Unknown, {}});
            return;
        }
        m_answers.push_back({now + kAnswerTime, order.instanceId, takeOrder(engine, taken), {}});
    }

    void deliverAnswers()
    {
        std::vector<Answer> due;
        std::erase_if(m_answers, [&](const Answer &it) {
            if (it.due > m_clock.now())
                return false;
            due.push_back(it);
            return true;
        });
        for (const Answer &it : due) {
            if (it.order)
                m_rollout.orderAnswered(it.instanceId, *it.order);
            else
                m_rollout.reportReceived(it.instanceId, it.report);
        }
    }

    // Running requests of an engine end some time after the nodes stopped sending it new ones.
    void updateRequests()
    {
        const auto keptFree = m_rollout.loading();
        for (auto &[id, engine] : m_engines) {
            if (keptFree.contains(id) && engine.hasRequests && !engine.requestsEnd)
                engine.requestsEnd = m_clock.now() + randomDuration(100ms, 1500ms);
            if (!keptFree.contains(id) && !engine.hasRequests) {
                m_upstreamLoads.begin(id, {0, 0});
                engine.hasRequests = true;
            }
        }
    }

    std::size_t countLoads() const
    {
        return static_cast<std::size_t>(
            std::count_if(m_engines.begin(), m_engines.end(),
                          [](const auto &it) { return it.second.current.busy; }));
    }

    void measure()
    {
        const TimePoint now = m_clock.now();
        m_outcome.maxLoads = std::max(m_outcome.maxLoads, countLoads());
        const auto keptFree = m_rollout.loading();
        m_outcome.maxKeptFree = std::max(m_outcome.maxKeptFree, keptFree.size());
        for (const std::string &it : keptFree) {
            const SimulatedEngine &engine = m_engines.at(it);
            if (!engine.current.busy && !engine.hasRequests && !engine.isDown(now))
                m_outcome.idleTime += kStep;
        }
        const auto isUpdated
            = [this](const auto &it) { return it.second.current.version == m_newest; };
        const auto isOutdatedAndUp
            = [&](const auto &it) { return !isUpdated(it) && !it.second.isDown(now); };
        if (std::any_of(m_engines.begin(), m_engines.end(), isOutdatedAndUp))
            m_outcome.untilRunningUpdated = now - m_start;
        if (!m_nextNaming && std::all_of(m_engines.begin(), m_engines.end(), isUpdated))
            m_outcome.untilAllUpdated = now - m_start;
    }

    const double m_unanswered;
    std::size_t m_failuresDuringLoad = 0;
    std::uint64_t m_newest = 2;
    std::optional<TimePoint> m_nextNaming;
    std::mt19937 m_random;
    ManualClock m_clock;
    const TimePoint m_start = m_clock.now();
    UpstreamLoadTracker m_upstreamLoads;
    WeightRollout m_rollout;
    std::vector<UpstreamRecord> m_records;
    std::map<std::string, SimulatedEngine> m_engines;
    std::vector<Answer> m_answers;
    std::optional<FencedLock::Holding> m_holding
        = FencedLock::Holding{9, TimePoint{}, TimePoint{}, TimePoint::max()};
    Outcome m_outcome;
};

constexpr unsigned kSeeds = 20;

double toSeconds(Duration duration)
{
    return std::chrono::duration<double>(duration).count();
}

// The worst value of each field over all seeds.
Outcome worstOf(const std::vector<Outcome> &outcomes)
{
    Outcome worst = outcomes.front();
    for (const Outcome &it : outcomes) {
        if (!it.untilAllUpdated
            || (worst.untilAllUpdated && *it.untilAllUpdated > *worst.untilAllUpdated))
            worst.untilAllUpdated = it.untilAllUpdated;
        worst.untilRunningUpdated = std::max(worst.untilRunningUpdated, it.untilRunningUpdated);
        worst.idleTime = std::max(worst.idleTime, it.idleTime);
        worst.maxLoads = std::max(worst.maxLoads, it.maxLoads);
        worst.maxKeptFree = std::max(worst.maxKeptFree, it.maxKeptFree);
        worst.reports = std::max(worst.reports, it.reports);
        worst.orders = std::max(worst.orders, it.orders);
    }
    return worst;
}

// The worst outcome over all seeds. The first `down` engines are down from the naming on for
// `downFor`.
Outcome simulateWorst(std::size_t engines, double unanswered, std::size_t down = 0,
                      Duration downFor = 6s)
{
    std::vector<Outcome> outcomes;
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        Simulation simulation(engines, unanswered, seed);
        for (std::size_t n = 0; n < down; ++n) {
            simulation.engine(n).downFrom = simulation.start();
            simulation.engine(n).downUntil = simulation.start() + downFor;
        }
        outcomes.push_back(simulation.run(60s));
    }
    const Outcome worst = worstOf(outcomes);
    INFO(engines, " engines, share of orders without an answer ", unanswered, ", down ", down,
         ": seconds until all are updated ", toSeconds(worst.untilAllUpdated.value_or(Duration(0))),
         ", until those that are up are updated ", toSeconds(worst.untilRunningUpdated),
         ", idle engine-seconds ", toSeconds(worst.idleTime), ", concurrent loads ", worst.maxLoads,
         ", without requests ", worst.maxKeptFree, ", reports ", worst.reports, ", orders ",
         worst.orders);
    CHECK(worst.orders > 0);
    return worst;
}

} // namespace

TEST_CASE("rollout simulation: as many engines load at once as do not slow each other down "
          "[weights][simulation]")
{
    struct Case
    {
        std::size_t engines;
        Duration bound;
    };
    for (const Case &it : {Case{6, 7s}, Case{9, 9s}, Case{18, 10s}, Case{112, 10s}}) {
        const Outcome worst = simulateWorst(it.engines, 0.0);
        REQUIRE(worst.untilAllUpdated);
        CHECK_MESSAGE(*worst.untilAllUpdated < it.bound, it.engines);
        CHECK(worst.maxLoads <= maxUnslowedLoads(it.engines));
        CHECK(worst.idleTime < static_cast<std::int64_t>(it.engines) * 1s);
    }
}

TEST_CASE("rollout simulation: in a small fleet half of the engines go on serving "
          "[weights][simulation]")
{
    for (const std::size_t engines : {2U, 3U, 4U, 5U, 6U, 9U}) {
        const Outcome worst = simulateWorst(engines, 0.0);
        REQUIRE(worst.untilAllUpdated);
        CHECK_MESSAGE(worst.maxKeptFree <= engines / 2, engines);
    }
}

TEST_CASE("rollout simulation: orders without answers do not keep engines from the new weights "
          "[weights][simulation][lost-reply]")
{
    struct Case
    {
        std::size_t engines;
        Duration bound;
    };
    for (const Case &it : {Case{6, 14s}, Case{9, 14s}, Case{18, 21s}, Case{112, 21s}}) {
        const Outcome worst = simulateWorst(it.engines, 0.5);
        REQUIRE(worst.untilAllUpdated);
        CHECK_MESSAGE(*worst.untilAllUpdated < it.bound, it.engines);
        CHECK(worst.idleTime < static_cast<std::int64_t>(it.engines) * 3s);
        CHECK(worst.orders < 4 * it.engines);
    }
}

TEST_CASE("rollout simulation: engines that wait for their turn are not polled repeatedly "
          "[weights][simulation]")
{
    for (const std::size_t engines : {9U, 18U, 112U}) {
        const Outcome worst = simulateWorst(engines, 0.0);
        REQUIRE(worst.untilAllUpdated);
        CHECK(worst.reports < 11 * engines);
    }
}

TEST_CASE(
    "rollout simulation: engines that are down do not hold up the others [weights][simulation]")
{
    for (const std::size_t engines : {6U, 9U, 18U, 112U}) {
        const std::size_t down = engines / 3;
        const Outcome allUp = simulateWorst(engines, 0.0);
        const Outcome someDown = simulateWorst(engines, 0.0, down, 120s);
        REQUIRE(allUp.untilAllUpdated);
        const double share = static_cast<double>(engines - down) / static_cast<double>(engines);
        CHECK(toSeconds(someDown.untilRunningUpdated)
              < share * toSeconds(*allUp.untilAllUpdated) + 2.0);
    }
}

TEST_CASE("rollout simulation: engines that come back load soon afterwards [weights][simulation]")
{
    for (const std::size_t engines : {6U, 9U, 18U, 112U}) {
        const Outcome worst = simulateWorst(engines, 0.0, engines / 3, 10s);
        REQUIRE(worst.untilAllUpdated);
        CHECK(*worst.untilAllUpdated < 10s + 5s);
    }
}

TEST_CASE("rollout simulation: engines that fail during a load give up their turn "
          "[weights][simulation]")
{
    for (unsigned seed = 1; seed <= kSeeds; ++seed) {
        Simulation simulation(9, 0.0, seed);
        simulation.failDuringLoad(2);
        CHECK(simulation.run(30s).untilRunningUpdated < 9s);
    }
}

TEST_CASE("rollout simulation: weights that are named during a rollout reach all engines "
          "[weights][simulation]")
{
    struct Case
    {
        std::size_t engines;
        Duration bound;
    };
    for (const Duration after : {500ms, 1000ms, 3000ms}) {
        for (const Case &it : {Case{6, 8s}, Case{9, 10s}, Case{18, 11s}, Case{112, 10s}}) {
            std::vector<Outcome> outcomes;
            for (unsigned seed = 1; seed <= kSeeds; ++seed) {
                Simulation simulation(it.engines, 0.0, seed);
                simulation.nameNewerVersion(after);
                outcomes.push_back(simulation.run(60s));
            }
            const Outcome worst = worstOf(outcomes);
            REQUIRE(worst.untilAllUpdated);
            CHECK_MESSAGE(*worst.untilAllUpdated < after + it.bound, it.engines);
            CHECK(worst.maxLoads <= maxUnslowedLoads(it.engines));
        }
    }
}
