// SPDX-License-Identifier: MIT
// Load pattern: long prompts exceed the capacity of a service's engines for some seconds. The
// figures are those of the second deployment, for a third of its engines.
#include "fordwood/placement_admission.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <functional>
#include <map>
#include <random>
#include <vector>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr Duration kTarget = 600ms;
constexpr Duration kPrefill = 200ms;
constexpr Duration kStep = 5ms;
constexpr double kStepSeconds = 0.005;
constexpr std::size_t kEngines = 30; // 150 prompts per second
constexpr double kUsualRate = 75.0;

enum class Manners { Returns, IgnoresRetryAfter, Leaves };

// Engines that compute one prompt at a time, and the callers of a service.
struct Fleet
{
    struct Caller
    {
        std::uint64_t fingerprint = 0;
        std::uint64_t team = 0;
        TimePoint deadline{};
    };
    struct Counts
    {
        double served() const { return static_cast<double>(placed) / static_cast<double>(sent); }

        std::size_t sent = 0; // new requests
        std::size_t placed = 0;
        std::size_t rejected = 0;
        Duration retryAfter{}; // sum of the rejections
    };

    // `rates`: new requests per second of each team.
    void run(Duration time, const std::vector<double> &rates)
    {
        for (const TimePoint end = clock.now() + time; clock.now() < end; clock.advance(kStep)) {
            std::vector<Caller> callers;
            for (; !returns.empty() && returns.begin()->first <= clock.now();
                 returns.erase(returns.begin()))
                callers.push_back(returns.begin()->second);
            mostReturns = std::max(mostReturns, callers.size());
            for (std::size_t team = 0; team < rates.size(); ++team) {
                std::poisson_distribution<int> arrivals(rates[team] * kStepSeconds);
                for (int n = arrivals(random); n > 0; --n)
                    callers.push_back({++all.sent, team, clock.now() + 6s});
            }
            std::shuffle(callers.begin(), callers.end(), random);
            for (const Caller &it : callers)
                send(it);
        }
    }

    void send(const Caller &caller)
    {
        std::size_t best = kEngines;
        for (std::size_t n = 0; n < kEngines; ++n) {
            if (isUp(n) && (best == kEngines || freeAt[n] < freeAt[best]))
                best = n;
        }
        const Duration delay = std::max(freeAt[best] - clock.now(), Duration::zero()) + kPrefill;
        const Duration remaining = caller.deadline - clock.now();
        const auto decision
            = admission.decide({caller.team, caller.fingerprint, kTarget, remaining, delay});
        Counts &counts = teams[caller.team];
        counts.sent += remaining == 6s ? 1 : 0;
        if (decision.isPlaced) {
            CHECK(delay <= 2 * kTarget);
            freeAt[best] = clock.now() + delay;
            ++counts.placed;
            ++all.placed;
            return;
        }
        CHECK(delay > kPrefill); // no engine is idle
        CHECK(decision.retryAfter <= remaining / 3);
        counts.retryAfter += decision.retryAfter;
        ++counts.rejected;
        ++all.rejected;
        overShare += decision.isOverShare ? 1 : 0;
        const Manners manner = manners[caller.team];
        const Duration pause
            = manner == Manners::IgnoresRetryAfter ? 50ms : Duration(decision.retryAfter);
        if (manner != Manners::Leaves && remaining > pause + kTarget)
            returns.emplace(clock.now() + pause, caller);
    }

    ManualClock clock;
    PlacementAdmission admission{clock};
    std::function<bool(std::size_t)> isUp = [](std::size_t) { return true; };
    std::vector<TimePoint> freeAt = std::vector<TimePoint>(kEngines);
    std::map<std::uint64_t, Manners> manners; // by team
    std::multimap<TimePoint, Caller> returns;
    std::mt19937 random{4}; // NOLINT: fixed for the same run each time
    std::map<std::uint64_t, Counts> teams;
    Counts all;
    std::size_t mostReturns = 0; // in one step
    std::size_t overShare = 0;
};

std::vector<double> equalRates(double sum)
{
    return std::vector<double>(4, sum / 4);
}

PlacementAdmission::Request request(std::uint64_t fingerprint, Duration delay)
{
    return {1, fingerprint, kTarget, 9s, delay};
}

} // namespace

TEST_CASE("placement admission: after a burst of 2.5 times the usual load, rejected callers do not "
          "return together and none is lost [burst]")
{
    Fleet fleet;
    fleet.run(3s, equalRates(kUsualRate));
    CHECK(fleet.all.rejected == 0);
    fleet.run(kStep, equalRates(200.0 / kStepSeconds)); // at once
    CHECK(fleet.all.rejected > 100);
    fleet.run(5s, equalRates(2.5 * kUsualRate));
    fleet.run(8s, equalRates(kUsualRate));
    CHECK(fleet.mostReturns <= 8);
    CHECK(fleet.all.served() > 0.97);
}

TEST_CASE("placement admission: with a third of the engines down during a burst, those left are "
          "used fully [burst, engines down]")
{
    Fleet fleet;
    fleet.isUp = [](std::size_t engine) { return engine % 3 != 0; };
    fleet.run(2s, equalRates(kUsualRate));
    const std::size_t before = fleet.all.placed;
    fleet.run(5s, equalRates(2.5 * kUsualRate));
    CHECK(fleet.all.placed - before > 480); // of 500 that 20 engines compute
    fleet.run(5s, equalRates(kUsualRate));
    CHECK(fleet.mostReturns <= 8);
}

TEST_CASE("placement admission: a team with ten times the requests does not take the places of the "
          "others [large team]")
{
    Fleet fleet;
    fleet.run(12s, {200.0, 20.0, 20.0, 20.0, 20.0});
    CHECK(fleet.overShare > 0);
    for (std::uint64_t team = 1; team < 5; ++team)
        CHECK(fleet.teams[team].served() > 0.95);
    CHECK(fleet.all.placed > 1'700); // what the others leave is not lost: 1,800 can be computed
}

TEST_CASE("placement admission: the rejected callers of a large team do not take the next turns of "
          "a small one [large team]")
{
    Fleet fleet;
    fleet.run(12s, {250.0, 25.0});
    const Fleet::Counts &large = fleet.teams[0];
    const Fleet::Counts &small = fleet.teams[1];
    CHECK(small.retryAfter / small.rejected < large.retryAfter / large.rejected * 3 / 4);
    CHECK(small.served() > large.served());
}

TEST_CASE("placement admission: a large team is not limited when it is alone, nor for longer than "
          "the engines are busy [large team]")
{
    Fleet alone;
    alone.run(8s, {4.0 * kUsualRate});
    CHECK(alone.overShare == 0);
    CHECK(alone.all.placed > 1'150); // of 1,200
    Fleet slightlyAbove;
    slightlyAbove.run(12s, {80.0, 20.0, 20.0, 20.0, 20.0});
    CHECK(slightlyAbove.all.rejected < 1'000); // 1,323 if rejections for the share prolonged it
}

TEST_CASE("placement admission: a wave of demand that moves between failure domains finds the idle "
          "engines of the others [wave]")
{
    Fleet fleet;
    for (std::size_t domain = 0; domain < 8; ++domain) {
        // The wave's other requests occupy the engines of its domain.
        fleet.isUp = [domain](std::size_t engine) { return engine % 4 != domain % 4; };
        std::vector<double> rates = equalRates(kUsualRate / 2);
        rates[domain % 4] += 1.5 * kUsualRate;
        const std::size_t before = fleet.all.placed;
        fleet.run(2s, rates);
        CHECK(fleet.all.placed - before > 200); // of 225
    }
}

TEST_CASE("placement admission: callers that ignore Retry-After get no more places than those that "
          "wait [impatient callers]")
{
    // In one run chance decides on some percent of the places.
    std::size_t waitingPlaced = 0;
    std::size_t impatientPlaced = 0;
    for (unsigned seed = 1; seed <= 5; ++seed) {
        Fleet fleet;
        fleet.random.seed(seed);
        fleet.manners = {{0, Manners::IgnoresRetryAfter}, {1, Manners::IgnoresRetryAfter}};
        fleet.run(10s, equalRates(3.5 * kUsualRate));
        impatientPlaced += fleet.teams[0].placed + fleet.teams[1].placed;
        waitingPlaced += fleet.teams[2].placed + fleet.teams[3].placed;
    }
    CHECK(waitingPlaced >= impatientPlaced);
}

TEST_CASE("placement admission: the turns of callers that leave early are used by others [leavers]")
{
    Fleet fleet;
    fleet.manners = {{0, Manners::Leaves}, {1, Manners::Leaves}, {2, Manners::Leaves}};
    fleet.run(3s, equalRates(kUsualRate));
    fleet.run(6s, equalRates(2.5 * kUsualRate));
    const std::size_t before = fleet.all.rejected;
    fleet.run(3s, equalRates(kUsualRate)); // turns that are not taken keep nobody out
    CHECK(fleet.all.rejected - before <= 20);
    CHECK(fleet.all.placed > 1'250); // of 225 + 900 + 225
}

TEST_CASE("placement admission: only a caller that returns in time goes before new ones, and one "
          "that returns early keeps its turn [impatient callers]")
{
    ManualClock clock;
    PlacementAdmission admission(clock);
    CHECK(admission.decide({9, 9, kTarget, 1min, 4s}).retryAfter > 3'700ms); // backlog
    const auto first = admission.decide(request(1, 1s));
    const auto second = admission.decide(request(2, 1s));
    REQUIRE_FALSE(first.isPlaced);
    CHECK(first.retryAfter > 700ms);
    CHECK(second.retryAfter > first.retryAfter);
    clock.advance(200ms);
    CHECK(admission.decide(request(1, 1s)).retryAfter == first.retryAfter - 200ms);
    clock.advance(first.retryAfter - 200ms - 100ms);
    CHECK_FALSE(admission.decide(request(3, 1'200ms)).isPlaced); // new
    CHECK(admission.decide(request(1, 1'200ms)).isReturning);
    CHECK_FALSE(admission.decide(request(1, 1'200ms)).isPlaced); // only once
    clock.advance(second.retryAfter + 1s);
    CHECK_FALSE(admission.decide(request(2, 1'200ms)).isPlaced); // too late
    CHECK(admission.decide(request(2, kTarget)).isPlaced);
}

TEST_CASE("placement admission: the memory is bounded and ends [memory]")
{
    ManualClock clock;
    PlacementAdmission admission(clock);
    for (std::uint64_t n = 1; n <= 20'000; ++n)
        admission.decide({n, n, kTarget, 1h, 2s});
    CHECK(admission.waitingCallers() <= 16'384);
    CHECK(admission.teams() <= 1'024);
    clock.advance(32s);
    CHECK(admission.decide(request(1, kTarget)).isPlaced);
    CHECK(admission.waitingCallers() == 0);
    CHECK(admission.teams() == 1);
}

// Guards against callers that are rejected although they would rather have a late answer, and
// against a large team that takes the places of late answers from the others.
TEST_CASE(
    "placement admission: where late answers are served, only a team above its share is held to "
    "the target latency [overload]")
{
    ManualClock clock;
    PlacementAdmission::Limits limits;
    limits.maxLateShare = 0.5;
    PlacementAdmission admission(clock, limits);
    CHECK(admission.decide(request(1, 4s)).isPlaced);
    CHECK_FALSE(admission.decide(request(2, 5s)).isPlaced);
    for (std::uint64_t n = 10; n < 30; ++n) {
        CHECK(admission.decide(request(n, 100ms)).isPlaced);
        CHECK(admission.decide({2 + n % 5, 100 + n, kTarget, 9s, 100ms}).isPlaced);
    }
    CHECK(admission.decide(request(3, 1s)).isOverShare);
    CHECK(admission.decide(request(4, kTarget)).isPlaced);
    CHECK(admission.decide({2, 5, kTarget, 9s, 1s}).isPlaced);
}
