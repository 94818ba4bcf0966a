// SPDX-License-Identifier: MIT
#include <algorithm>
#include <vector>

#include <doctest/doctest.h>

#include "fordwood/engine_paces.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/placement_ledger.hpp"
#include "fordwood/upstream_loads.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr Duration kExpected = 200ms;
constexpr Duration kStep = 10ms;

// An engine that computes one prompt after the other, each placed when the previous one is done.
class ReplayedEngine
{
public:
    ReplayedEngine(const ManualClock &clock, PlacementLedger &ledger, EnginePaces &paces,
                   std::string id)
        : m_clock(clock), m_ledger(ledger), m_paces(paces), m_id(std::move(id))
    { }

    // The prompt gets `step / slowness` of its computation; zero: the engine has stopped.
    void compute(double slowness)
    {
        if (m_number == 0)
            place();
        if (slowness > 0.0)
            m_computed += std::chrono::duration<double>(kStep) / slowness;
        if (m_computed < kExpected)
            return;
        if (const auto token = m_ledger.promptComputed(placement()))
            m_paces.addSample(token->engine, token->estimate.firstToken, token->took);
        m_ledger.end(placement());
        place();
    }

    double pace() const
    {
        const std::uint64_t engine = UpstreamLoads::keyOf(m_id);
        return m_paces.value(engine, m_ledger.firstDue(engine));
    }

private:
    PlacementId placement() const { return {UpstreamLoads::keyOf(m_id), m_number}; }

    void place()
    {
        m_number += 1;
        m_computed = {};
        PlacementLedger::Placement placed;
        placed.engine = m_id;
        placed.computedBy = m_clock.now() + 10s;
        placed.endsBy = placed.computedBy;
        placed.estimate.firstToken = kExpected;
        m_ledger.add(placement(), placed);
    }

    const ManualClock &m_clock;
    PlacementLedger &m_ledger;
    EnginePaces &m_paces;
    const std::string m_id;
    std::uint64_t m_number = 0;
    std::chrono::duration<double> m_computed{};
};

class Replay
{
public:
    explicit Replay(int engines)
    {
        for (int n = 0; n < engines; ++n)
            m_engines.emplace_back(m_clock, m_ledger, m_paces, "e" + std::to_string(n));
    }

    // The first engine alone, or all, are slower.
    void run(Duration time, double slowness, bool isAll = false)
    {
        for (Duration passed{}; passed < time; passed += kStep) {
            m_clock.advance(kStep);
            for (std::size_t n = 0; n < m_engines.size(); ++n)
                m_engines[n].compute(n == 0 || isAll ? slowness : 1.0);
        }
    }

    double pace(std::size_t engine) const { return m_engines[engine].pace(); }
    double largestPace(std::size_t from) const
    {
        double largest = 0.0;
        for (std::size_t n = from; n < m_engines.size(); ++n)
            largest = std::max(largest, pace(n));
        return largest;
    }

private:
    ManualClock m_clock;
    PlacementLedger m_ledger{m_clock};
    EnginePaces m_paces{m_clock};
    std::vector<ReplayedEngine> m_engines;
};

} // namespace

// Guards against a slowdown that is noticed only when it is over, and against one that counts on.
TEST_CASE("engine paces: an engine that is slower by 2.5 for 600 ms [routing]")
{
    Replay replay(10);
    replay.run(2s, 1.0);
    CHECK(replay.largestPace(0) < 1.1);
    replay.run(450ms, 2.5);
    CHECK(replay.pace(0) > 1.5);
    CHECK(replay.largestPace(1) < 1.1);
    replay.run(150ms, 2.5);
    CHECK(replay.pace(0) > 1.5);
    CHECK(replay.pace(0) <= 2.6);
    replay.run(900ms, 1.0);
    CHECK(replay.pace(0) < 1.1);
}

TEST_CASE("engine paces: an engine that stops answering becomes the slowest [routing]")
{
    Replay replay(10);
    replay.run(2s, 1.0);
    replay.run(500ms, 0.0);
    CHECK(replay.pace(0) > 1.5);
    replay.run(2s, 0.0);
    CHECK(replay.pace(0) == doctest::Approx(8.0));
    CHECK(replay.largestPace(1) < 1.1);
}

// Guards against a burst after which the engines are avoided although they are idle.
TEST_CASE("engine paces: a burst of 5 s that makes all engines late does not count on [routing]")
{
    Replay replay(90);
    replay.run(2s, 1.0, true);
    replay.run(5s, 2.5, true);
    CHECK(replay.largestPace(0) == doctest::Approx(2.5).epsilon(0.1));
    replay.run(800ms, 1.0, true); // the prompts of the burst end within 200 ms
    CHECK(replay.largestPace(0) < 1.1);
}

TEST_CASE("engine paces: a sample counts fully at first and no more after 600 ms [routing]")
{
    ManualClock clock;
    EnginePaces paces(clock);
    CHECK(paces.value(1, {}) == 1.0);
    paces.addSample(1, 100ms, 300ms);
    CHECK(paces.value(1, {}) == doctest::Approx(3.0));
    CHECK(paces.value(2, {}) == 1.0);
    clock.advance(300ms);
    CHECK(paces.value(1, {}) == doctest::Approx(2.0));
    clock.advance(300ms);
    CHECK(paces.value(1, {}) == 1.0);
    paces.addSample(1, 100ms, 10s);
    CHECK(paces.value(1, {}) == 8.0);
    paces.addSample(2, 100ms, 10ms);
    CHECK(paces.value(2, {}) == 1.0);
    paces.addSample(3, 0ms, 10ms); // without an estimate
    CHECK(paces.value(3, {}) == 1.0);
}

// Guards against a queue behind one slow prompt counting as many slow prompts.
TEST_CASE("engine paces: two overdue prompts count as one, and ended ones do not count [routing]")
{
    ManualClock clock;
    PlacementLedger ledger(clock);
    EnginePaces paces(clock);
    const std::uint64_t engine = UpstreamLoads::keyOf("e");
    const auto pace = [&] { return paces.value(engine, ledger.firstDue(engine)); };
    PlacementLedger::Placement placed;
    placed.engine = "e";
    placed.computedBy = clock.now() + 2s;
    placed.endsBy = clock.now() + 10s;
    placed.estimate.firstToken = 100ms;
    ledger.add({1, 1}, placed);
    clock.advance(250ms);
    paces.addSample(engine, 100ms, 100ms);
    const double one = pace();
    CHECK(one == doctest::Approx(1.75));
    ledger.end({1, 1});
    CHECK(pace() == 1.0);
    clock.advance(1s);
    ledger.add({1, 2}, placed);
    ledger.add({1, 3}, placed);
    clock.advance(250ms);
    paces.addSample(engine, 100ms, 100ms);
    CHECK(pace() == doctest::Approx(one));
    // An expired entry neither counts nor gives a sample: its node may be gone.
    clock.advance(2s);
    ledger.removeExpired();
    CHECK(pace() == 1.0);
    CHECK_FALSE(ledger.promptComputed({1, 2}));
}
