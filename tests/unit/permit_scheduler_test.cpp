// SPDX-License-Identifier: MIT
#include "fordwood/permit_scheduler.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

PermitRequest requestOf(std::uint64_t id, Duration wait, const std::string &team = "team",
                        HolderId holder = 1)
{
    PermitRequest request;
    request.holder = holder;
    request.requestId = id;
    request.upstream = "up";
    request.team = team;
    request.wait = wait;
    return request;
}

} // namespace

TEST_CASE("permit scheduler: as many permits as slots, then a denial or a wait [permits]")
{
    ManualClock clock;
    PermitScheduler scheduler(clock);
    scheduler.setUpstreams({{"up", 2, false}});
    scheduler.request(requestOf(1, 0s));
    scheduler.request(requestOf(2, 0s));
    scheduler.request(requestOf(3, 0s));
    scheduler.request(requestOf(4, 10s));
    const auto answers = scheduler.takeAnswers();
    REQUIRE(answers.size() == 3);
    CHECK(answers[0].granted);
    CHECK(answers[1].granted);
    CHECK_FALSE(answers[2].granted);
    CHECK(answers[2].reason == Reason::UpstreamBusy);
    CHECK(scheduler.waiting("up") == 1);

    clock.advance(3s);
    scheduler.release(1, answers[0].permitId, "up", 1.0);
    const auto late = scheduler.takeAnswers();
    REQUIRE(late.size() == 1);
    CHECK(late[0].requestId == 4);
    CHECK(late[0].granted);
    CHECK(late[0].waited == 3s);
}

TEST_CASE("permit scheduler: a request that has waited for its maximum time is denied "
          "[permits][deadline]")
{
    ManualClock clock;
    PermitScheduler scheduler(clock);
    scheduler.setUpstreams({{"up", 1, false}});
    scheduler.request(requestOf(1, 0s));
    scheduler.request(requestOf(2, 5s));
    scheduler.takeAnswers();
    clock.advance(4999ms);
    scheduler.tick();
    CHECK(scheduler.takeAnswers().empty());
    clock.advance(1ms);
    scheduler.tick();
    const auto answers = scheduler.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reason == Reason::DeadlineTooNear);
    CHECK(scheduler.waiting("up") == 0);
}

TEST_CASE("permit scheduler: a leaving upstream grants nothing, and its waiting requests are "
          "denied [leaving]")
{
    ManualClock clock;
    PermitScheduler scheduler(clock);
    scheduler.setUpstreams({{"up", 1, false}});
    scheduler.request(requestOf(1, 0s));
    scheduler.request(requestOf(2, 60s));
    const std::uint64_t permit = scheduler.takeAnswers().at(0).permitId;
    scheduler.setUpstreams({{"up", 1, true}});
    const auto denied = scheduler.takeAnswers();
    REQUIRE(denied.size() == 1);
    CHECK(denied[0].reason == Reason::UpstreamLeaving);
    scheduler.release(1, permit, "up", 1.0);
    scheduler.request(requestOf(3, 60s));
    const auto after = scheduler.takeAnswers();
    REQUIRE(after.size() == 1);
    CHECK_FALSE(after[0].granted);
}

TEST_CASE("permit scheduler: the permits of a lost holder are freed [recovery]")
{
    ManualClock clock;
    PermitScheduler scheduler(clock);
    scheduler.setUpstreams({{"up", 1, false}});
    scheduler.request(requestOf(1, 0s, "team", 1));
    scheduler.request(requestOf(2, 60s, "team", 1));
    scheduler.request(requestOf(3, 60s, "team", 2));
    scheduler.takeAnswers();
    scheduler.dropHolder(1);
    const auto answers = scheduler.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].holder == 2);
    CHECK(answers[0].granted);
}

TEST_CASE("permit scheduler: permits granted by an earlier owner count [recovery]")
{
    ManualClock clock;
    PermitScheduler scheduler(clock);
    scheduler.setUpstreams({{"up", 1, false}});
    scheduler.adoptPermit(1, 77, "up", "team");
    scheduler.request(requestOf(1, 0s));
    CHECK_FALSE(scheduler.takeAnswers().at(0).granted);
    scheduler.release(1, 77, "up", 0.0);
    scheduler.request(requestOf(2, 0s));
    CHECK(scheduler.takeAnswers().at(0).granted);
}

TEST_CASE("permit scheduler: the queue of a team is bounded, and a denial states when to retry "
          "[overload]")
{
    ManualClock clock;
    PermitScheduler scheduler(clock, {2s, 2});
    scheduler.setUpstreams({{"up", 1, false}});
    for (std::uint64_t it = 1; it <= 4; ++it)
        scheduler.request(requestOf(it, 60s, "noisy"));
    scheduler.request(requestOf(5, 60s, "quiet"));
    const auto answers = scheduler.takeAnswers();
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].requestId == 4);
    CHECK(answers[1].reason == Reason::QueueFull);
    CHECK(answers[1].retryAfter.count() > 0);
    CHECK(scheduler.waiting("up") == 3);
}
