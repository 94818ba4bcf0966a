// SPDX-License-Identifier: MIT
#include <cmath>
#include <numbers>
#include <vector>

#include <doctest/doctest.h>

#include "fordwood/engine_group_planner.hpp"
#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Places prompts at constant rates at a service with 90 engines, and records the size of the group.
class Replay
{
public:
    Replay()
    {
        m_engines.count = 90;
        m_engines.traits.slots = 16;
        m_engines.traits.contextTokens = 45'000;
        m_engines.tokensPerSecond = 50'000.0;
    }

    void run(Duration time)
    {
        constexpr Duration kStep = 10ms;
        for (Duration passed{}; passed < time; passed += kStep) {
            m_shortDue += shortPerSecond * 0.01;
            m_longDue += longPerSecond * 0.01;
            for (; m_shortDue >= 1.0; m_shortDue -= 1.0)
                place(true);
            for (; m_longDue >= 1.0; m_longDue -= 1.0)
                place(false);
            m_clock.advance(kStep);
            record(m_planner.size(m_engines, running));
        }
    }

    std::size_t size() const { return m_sizes.back(); }
    EngineGroupPlanner::Reason reason() const { return m_planner.reason(); }

    // How often the group began to shrink after it had grown, and the reverse.
    std::size_t turns() const
    {
        std::size_t turns = 0;
        for (std::size_t n = 2; n < m_sizes.size(); ++n)
            turns += (m_sizes[n - 1] > m_sizes[n - 2]) != (m_sizes[n] > m_sizes[n - 1]) ? 1 : 0;
        return turns;
    }
    void forgetSizes() { m_sizes = {size()}; }

    double shortPerSecond = 0.0;
    double longPerSecond = 0.0;
    std::size_t running = 0; // short requests
    std::uint64_t contexts = 10; // of short prompts
    std::size_t tokens = 600; // to compute for a short prompt
    std::uint64_t pausedEvery = 10; // one in this many answers to short prompts pauses too long

private:
    void place(bool isShort)
    {
        EngineGroupPlanner::PlacedPrompt prompt;
        prompt.isShort = isShort;
        prompt.load.tokensToCompute = isShort ? tokens : 9'000;
        prompt.context = isShort ? ++m_placed % contexts : 0;
        prompt.sharedTokens = isShort ? 650 : 7'500;
        m_planner.promptPlaced(prompt);
        if (isShort)
            m_planner.answerEnded(m_placed % pausedEvery == 0);
    }

    void record(std::size_t size)
    {
        if (m_sizes.empty() || m_sizes.back() != size)
            m_sizes.push_back(size);
    }

    ManualClock m_clock;
    EngineGroupPlanner m_planner{m_clock};
    EngineGroupPlanner::Engines m_engines;
    std::vector<std::size_t> m_sizes; // without repetitions
    std::uint64_t m_placed = 0; // short prompts
    double m_shortDue = 0.0;
    double m_longDue = 0.0;
};

// 200 short prompts a second need 200 * 600 / (50,000 * 0.3) = 8 engines.
Replay steadyLoad()
{
    Replay replay;
    replay.shortPerSecond = 200.0;
    replay.longPerSecond = 230.0;
    return replay;
}

} // namespace

// Guards against the short prompts of a starting fleet waiting in a group that is still too small.
TEST_CASE("engine groups: a fleet that starts with both kinds at once starts with a quarter "
          "[routing]")
{
    Replay replay = steadyLoad();
    replay.run(2'900ms);
    CHECK(replay.size() == 22);
    CHECK(replay.reason() == EngineGroupPlanner::Reason::Start);
    replay.run(1s);
    CHECK(replay.size() == 8);
    CHECK(replay.reason() == EngineGroupPlanner::Reason::Computation);
    replay.forgetSizes();
    replay.run(20s);
    CHECK(replay.turns() == 0);
}

// Guards against a group that is sized for one need only, and against long prompts without engines.
TEST_CASE("engine groups: the largest of three needs decides, up to 0.4 of the engines [routing]")
{
    Replay replay = steadyLoad();
    replay.run(5s);
    replay.running = 100; // / (16 * 0.35) = 17.9
    replay.run(200ms);
    CHECK(replay.size() == 18);
    CHECK(replay.reason() == EngineGroupPlanner::Reason::Slots);
    replay.contexts = 1'100; // * 650 * 1.3 / 45,000 = 20.7
    replay.run(6s);
    CHECK(replay.size() == 21);
    CHECK(replay.reason() == EngineGroupPlanner::Reason::Context);
    replay.running = 900;
    replay.run(200ms);
    CHECK(replay.size() == 36);
}

// Guards against a group that is too small during a burst, and against one that shrinks and grows
// again with every fluctuation.
TEST_CASE("engine groups: a burst of short prompts of 2.5 times for 5 s enlarges the group once "
          "[routing]")
{
    Replay replay = steadyLoad();
    replay.run(10s);
    replay.forgetSizes();
    replay.shortPerSecond *= 2.5;
    replay.run(2'200ms);
    CHECK(replay.size() == 20);
    replay.run(2'800ms);
    replay.shortPerSecond /= 2.5;
    replay.run(2'900ms);
    CHECK(replay.size() == 20); // the next burst may come
    replay.run(6s);
    CHECK(replay.size() == 8);
    CHECK(replay.turns() <= 1);
}

TEST_CASE("engine groups: a wave of 17 s moves the group up and down once [routing]")
{
    Replay replay = steadyLoad();
    replay.run(5s);
    replay.forgetSizes();
    constexpr int kWaves = 4;
    constexpr double kLag = 1.2; // s; the rate is an average over 2 s
    const auto rateAt = [](double seconds) {
        return 300.0 + 200.0 * std::sin(2.0 * std::numbers::pi * seconds / 17.0);
    };
    std::size_t largest = 0;
    for (int n = 1; n <= kWaves * 170; ++n) {
        replay.shortPerSecond = rateAt(n * 0.1);
        replay.run(100ms);
        largest = std::max(largest, replay.size());
        if (n * 0.1 > 2.0)
            CHECK(static_cast<double>(replay.size()) >= rateAt(n * 0.1 - kLag) * 600.0 / 15'000.0);
    }
    CHECK(largest >= 19);
    CHECK(replay.turns() <= 2 * kWaves);
}

// Guards against engines that are kept for a kind of prompt that is gone, and against a small group
// when it returns.
TEST_CASE("engine groups: a kind that ends releases the engines after 20 s [routing]")
{
    for (double Replay::*const kind : {&Replay::shortPerSecond, &Replay::longPerSecond}) {
        Replay replay = steadyLoad();
        replay.run(10s);
        const double rate = replay.*kind;
        replay.*kind = 0.0;
        replay.run(19s);
        CHECK(replay.size() > 0);
        replay.run(2s);
        CHECK(replay.size() == 0);
        CHECK(replay.reason() == EngineGroupPlanner::Reason::NotNeeded);
        replay.*kind = rate;
        replay.run(1s);
        CHECK(replay.size() == 22);
        replay.run(4s);
        CHECK(replay.size() == 8);
    }
}

// Guards against long prompts that lose engines although no answer pauses beside them.
TEST_CASE(
    "engine groups: there is a group only while too many answers pause, and some time after that "
    "[routing]")
{
    Replay replay = steadyLoad();
    replay.pausedEvery = 50;
    replay.run(10s);
    CHECK(replay.size() == 0);
    replay.pausedEvery = 10;
    replay.run(5s);
    CHECK(replay.size() == 8);
    replay.pausedEvery = 1'000'000; // the group keeps answers from pausing
    replay.run(19s);
    CHECK(replay.size() == 8);
    replay.run(3s);
    CHECK(replay.size() == 0);
}
