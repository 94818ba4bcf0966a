// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "fordwood/answer_times.hpp"
#include "fordwood/stop_plan.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint kSignal{1'000s};

} // namespace

// Guards against times that count from when a process without processor time takes the signal.
TEST_CASE("stop plan: all times count from the signal, however late it is taken [stop]")
{
    StopPlan plan(8s);
    CHECK_FALSE(plan.hasBegun());
    CHECK(plan.mayTake({kSignal + 1h, {}}, kSignal));
    plan.begin(kSignal, kSignal);
    CHECK(plan.endsAt() == kSignal + 7'000ms);
    CHECK(plan.elapsed(kSignal + 1'500ms) == 1'500ms);
    CHECK(plan.mayTake({kSignal + 12s, {}}, kSignal + 2'199ms));
    CHECK_FALSE(plan.mayTake({kSignal + 7'001ms, {}}, kSignal + 2'200ms));
    CHECK(plan.mayTake({plan.endsAt(), 10s}, kSignal + 6'900ms));
    CHECK_FALSE(plan.isOutOfRotation(kSignal + 3'100ms));
    CHECK(plan.isOutOfRotation(kSignal + 3'200ms));
}

// Guards against requests that are cut too early, since the signal may have been pending long
// before the process took it.
TEST_CASE("stop plan: requests that run end by the latest time of the signal, all else counts from "
          "the earliest [stop]")
{
    StopPlan plan(8s);
    plan.begin(kSignal, kSignal + 500ms);
    CHECK(plan.endsAt() == kSignal + 7s);
    CHECK(plan.cutsAt() == kSignal + 7'500ms);
    CHECK_FALSE(plan.mayTake({kSignal + 12s, 100ms}, kSignal + 2'200ms));
}

// Guards against a process that is killed with all that is open, since its signal was pending.
TEST_CASE("stop plan: requests that run end before the platform may end the process [stop]")
{
    StopPlan plan(8s);
    plan.begin(kSignal, kSignal + 1s);
    CHECK(plan.cutsAt() == kSignal + 7'700ms);
    CHECK(plan.writesUntil() == kSignal + 7'700ms);
    StopPlan shortest(1s);
    shortest.begin(kSignal, kSignal);
    CHECK(shortest.endsAt() == kSignal + 750ms);
    CHECK(shortest.cutsAt() == shortest.endsAt());
}

// Guards against streams that are cut before the last sixth of the stop, which counts as loss: a
// process that had no processor time before its signal cannot tell how long that was pending.
TEST_CASE("stop plan: no request that runs is cut before the last sixth, whenever the signal was "
          "sent [stop]")
{
    for (const Duration pending : {0s, 1s, 2s, 4s}) {
        StopPlan plan(8s);
        plan.begin(kSignal - pending, kSignal);
        CAPTURE(std::chrono::duration<double>(pending).count());
        CHECK(plan.cutsAt() >= kSignal + 6'666ms);
        CHECK(plan.cutsAt() <= kSignal + 7s);
        CHECK(plan.endsAt() == kSignal - pending + 7s);
        StopPlan shortStop(3s);
        shortStop.begin(kSignal - pending, kSignal);
        CHECK(shortStop.cutsAt() == kSignal + 2'500ms);
    }
}

// Guards against callers whose connections are refused while the platform still sends them here.
TEST_CASE("stop plan: a node listens until the platform has noticed the stop, whenever the signal "
          "was sent [stop]")
{
    StopPlan plan(8s);
    plan.begin(kSignal - 2s, kSignal);
    CHECK_FALSE(plan.isOutOfRotation(kSignal + 3'199ms));
    CHECK(plan.isOutOfRotation(kSignal + 3'200ms));
}

// Guards against requests that are cut before the last sixth of a short stop, which counts as loss.
TEST_CASE("stop plan: a short stop keeps a sixth at most for its end [stop]")
{
    StopPlan plan(3s);
    plan.begin(kSignal, kSignal);
    CHECK(plan.endsAt() == kSignal + 2'500ms);
}

// Guards against streams that come 3 s after a signal which was delivered late, and are cut.
TEST_CASE("stop plan: with a signal delivered 0.7 s late, no request is taken 3 s after the stop "
          "began that may outlast it [stop]")
{
    StopPlan plan(8s);
    plan.begin(kSignal + 700ms, kSignal + 700ms);
    CHECK_FALSE(plan.mayTake({kSignal + 8'001ms, 100ms}, kSignal + 3s));
    CHECK(plan.endsAt() < kSignal + 8s);
}

// Guards against requests that are taken, and cut at the end of the stop.
TEST_CASE("stop plan: a request that usually takes longer than the rest of the stop is not taken "
          "[stop]")
{
    StopPlan plan(3s);
    const StopPlan::Request request{kSignal + 12s, 1'400ms};
    CHECK(plan.canEnd(request, kSignal));
    plan.begin(kSignal, kSignal);
    CHECK(plan.mayTake(request, kSignal + 1'100ms));
    CHECK_FALSE(plan.mayTake(request, kSignal + 1'101ms));
    CHECK_FALSE(plan.canEnd(request, kSignal + 1'101ms));
    CHECK(plan.mayTake({kSignal + 12s, 50ms}, kSignal + 2'199ms));
}

// Guards against requests that waited for an upstream, and are first sent right before the end.
TEST_CASE("stop plan: a request of which nothing is known is sent at the begin of the stop only "
          "[stop]")
{
    StopPlan plan(3s);
    plan.begin(kSignal, kSignal);
    const StopPlan::Request request{kSignal + 12s, {}};
    CHECK(plan.mayTake(request, kSignal + 1s));
    CHECK_FALSE(plan.mayTake(request, kSignal + 1'100ms));
    CHECK(plan.canEnd(request, kSignal + 1s));
    CHECK_FALSE(plan.canEnd(request, kSignal + 1'100ms));
}

TEST_CASE("answer times: the share of the latest answers decides [stop]")
{
    AnswerTimes times;
    for (int n = 1; n < static_cast<int>(AnswerTimes::kMinAnswers); ++n)
        times.record("a", 1s);
    CHECK_FALSE(times.within("a", 1.0));
    for (int n = 1; n <= 100; ++n)
        times.record("a", std::chrono::milliseconds(n));
    CHECK(times.within("a", 1.0) == 100ms);
    CHECK(times.within("a", 0.5) == 68ms); // of those from 37 ms to 100 ms
    CHECK(times.within("a", 0.0) == 37ms);
    CHECK_FALSE(times.within("b", 1.0));
    times.retain({"b"});
    CHECK_FALSE(times.within("a", 1.0));
}
