// SPDX-License-Identifier: MIT
#include "fordwood/prefill_line.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/permit_scheduler.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// Computes 1,000 tokens a second and keeps two contexts of 1,000.
PrefillLine lineOf()
{
    PrefillLine line;
    line.setEngine(1000, 2000);
    return line;
}

PromptSize promptOf(std::uint64_t prefix)
{
    return {prefix, 1000, 100};
}

PermitRequest askOf(std::uint64_t id, std::uint64_t prefix, Duration wait = 0s)
{
    PermitRequest ask;
    ask.requestId = id;
    ask.upstream = "up";
    ask.team = "t";
    ask.wait = wait;
    ask.prompt = promptOf(prefix);
    return ask;
}

} // namespace

TEST_CASE(
    "prefill line: prompts are computed one after the other, kept contexts not again [routing]")
{
    ManualClock clock;
    PrefillLine line = lineOf();
    CHECK(line.timeFor(promptOf(1)) == 1100ms);
    line.give(promptOf(1), clock.now());
    CHECK(line.backlog(clock.now()) == 1100ms);
    CHECK(line.timeFor(promptOf(1)) == 100ms);
    line.give(promptOf(1), clock.now());
    CHECK(line.backlog(clock.now()) == 1200ms);
    clock.advance(2s);
    CHECK(line.backlog(clock.now()) == 0ms);
}

TEST_CASE("prefill line: the least recently used context goes first [routing]")
{
    ManualClock clock;
    PrefillLine line = lineOf();
    line.give(promptOf(1), clock.now());
    line.give(promptOf(2), clock.now());
    line.give(promptOf(1), clock.now());
    line.give(promptOf(3), clock.now());
    CHECK(line.isWarm(promptOf(1)));
    CHECK_FALSE(line.isWarm(promptOf(2)));
    CHECK(line.isWarm(promptOf(3)));
}

TEST_CASE("permit book: an engine that runs nothing has nothing to compute [routing]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 8, false, 1000, 10'000}});
    book.request(askOf(1, 1));
    const auto first = book.takeAnswers();
    REQUIRE(first.at(0).granted);
    book.release(0, first[0].permitId, "up", 0); // sooner than was thought
    book.request(askOf(2, 2));
    CHECK(book.takeAnswers().at(0).granted);
}

TEST_CASE("permit book: prompts that waited for one context leave nothing behind [routing]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 8, false, 1000, 10'000}});
    book.request(askOf(1, 1));
    for (std::uint64_t it = 2; it <= 5; ++it)
        book.request(askOf(it, 2, 60s)); // the first of them makes it cheap for the others
    for (int it = 0; it < 10; ++it) {
        clock.advance(1s);
        book.tick();
        for (const PermitAnswer &answer : book.takeAnswers()) {
            REQUIRE(answer.granted);
            book.release(0, answer.permitId, "up", 0);
        }
    }
    REQUIRE(book.waiting("up") == 0);
    book.request(askOf(6, 6));
    CHECK(book.takeAnswers().at(0).granted);
    book.request(askOf(7, 7, 4s)); // the engine has 1.1 s to compute, and nothing waits
    CHECK(book.waiting("up") == 1);
}

TEST_CASE("permit book: free slots do not hide prompts that wait to be computed [routing]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 8, false, 1000, 10'000}});
    book.request(askOf(1, 1));
    CHECK(book.takeAnswers().at(0).granted);
    book.request(askOf(2, 2)); // seven slots are free, but it would wait for 1.1 s
    const auto cold = book.takeAnswers();
    CHECK_FALSE(cold.at(0).granted);
    CHECK(cold.at(0).reason == Reason::UpstreamBusy);
    CHECK(cold.at(0).firstTokenIn > 1100ms);
    book.request(askOf(3, 1)); // its context is there: elsewhere it would take as long
    CHECK(book.takeAnswers().at(0).granted);
    book.request(askOf(4, 2, 10s)); // it may wait, and is granted when the engine is nearly idle
    CHECK(book.takeAnswers().empty());
    clock.advance(1s);
    book.tick();
    CHECK(book.takeAnswers().at(0).granted);
}
