// SPDX-License-Identifier: MIT
#include "fordwood/permit_book.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

PermitAsk askOf(std::uint64_t id, Duration wait, const std::string &team = "team",
                HolderId holder = 1)
{
    PermitAsk ask;
    ask.holder = holder;
    ask.askId = id;
    ask.upstream = "up";
    ask.team = team;
    ask.wait = wait;
    return ask;
}

} // namespace

TEST_CASE("permit book: as many permits as slots, then a denial or a wait [permits]")
{
    ManualClock clock;
    PermitBook book(clock);
    book.setUpstreams({{"up", 2, false}});
    book.ask(askOf(1, 0s));
    book.ask(askOf(2, 0s));
    book.ask(askOf(3, 0s));
    book.ask(askOf(4, 10s));
    const auto answers = book.takeAnswers();
    REQUIRE(answers.size() == 3);
    CHECK(answers[0].granted);
    CHECK(answers[1].granted);
    CHECK_FALSE(answers[2].granted);
    CHECK(answers[2].reason == Reason::UpstreamBusy);
    CHECK(book.waiting("up") == 1);

    clock.advance(3s);
    book.release(1, answers[0].permitId, "up", 1.0);
    const auto late = book.takeAnswers();
    REQUIRE(late.size() == 1);
    CHECK(late[0].askId == 4);
    CHECK(late[0].granted);
    CHECK(late[0].waited == 3s);
}

TEST_CASE("permit book: an ask that waited as long as it may is denied [permits][deadline]")
{
    ManualClock clock;
    PermitBook book(clock);
    book.setUpstreams({{"up", 1, false}});
    book.ask(askOf(1, 0s));
    book.ask(askOf(2, 5s));
    book.takeAnswers();
    clock.advance(4999ms);
    book.tick();
    CHECK(book.takeAnswers().empty());
    clock.advance(1ms);
    book.tick();
    const auto answers = book.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].reason == Reason::DeadlineTooNear);
    CHECK(book.waiting("up") == 0);
}

TEST_CASE("permit book: a leaving upstream grants nothing, and what waits is denied [leaving]")
{
    ManualClock clock;
    PermitBook book(clock);
    book.setUpstreams({{"up", 1, false}});
    book.ask(askOf(1, 0s));
    book.ask(askOf(2, 60s));
    const std::uint64_t permit = book.takeAnswers().at(0).permitId;
    book.setUpstreams({{"up", 1, true}});
    const auto denied = book.takeAnswers();
    REQUIRE(denied.size() == 1);
    CHECK(denied[0].reason == Reason::UpstreamLeaving);
    book.release(1, permit, "up", 1.0);
    book.ask(askOf(3, 60s));
    const auto after = book.takeAnswers();
    REQUIRE(after.size() == 1);
    CHECK_FALSE(after[0].granted);
}

TEST_CASE("permit book: the permits of a lost holder are free again [recovery]")
{
    ManualClock clock;
    PermitBook book(clock);
    book.setUpstreams({{"up", 1, false}});
    book.ask(askOf(1, 0s, "team", 1));
    book.ask(askOf(2, 60s, "team", 1));
    book.ask(askOf(3, 60s, "team", 2));
    book.takeAnswers();
    book.dropHolder(1);
    const auto answers = book.takeAnswers();
    REQUIRE(answers.size() == 1);
    CHECK(answers[0].holder == 2);
    CHECK(answers[0].granted);
}

TEST_CASE("permit book: permits held from an earlier owner count [recovery]")
{
    ManualClock clock;
    PermitBook book(clock);
    book.setUpstreams({{"up", 1, false}});
    book.hold(1, 77, "up", "team");
    book.ask(askOf(1, 0s));
    CHECK_FALSE(book.takeAnswers().at(0).granted);
    book.release(1, 77, "up", 0.0);
    book.ask(askOf(2, 0s));
    CHECK(book.takeAnswers().at(0).granted);
}

TEST_CASE("permit book: a team's queue is bounded and says when to come back [overload]")
{
    ManualClock clock;
    PermitBook book(clock, {2s, 2});
    book.setUpstreams({{"up", 1, false}});
    for (std::uint64_t it = 1; it <= 4; ++it)
        book.ask(askOf(it, 60s, "noisy"));
    book.ask(askOf(5, 60s, "quiet"));
    const auto answers = book.takeAnswers();
    REQUIRE(answers.size() == 2);
    CHECK(answers[1].askId == 4);
    CHECK(answers[1].reason == Reason::QueueFull);
    CHECK(answers[1].retryAfter.count() > 0);
    CHECK(book.waiting("up") == 3);
}
