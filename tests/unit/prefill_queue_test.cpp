// SPDX-License-Identifier: MIT
#include "fordwood/prefill_queue.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/permit_scheduler.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// A queue that computes 1,000 tokens per second and caches two contexts of 1,000 tokens.
PrefillQueue makeQueue()
{
    PrefillQueue queue;
    queue.setEngine(1000, 2000);
    return queue;
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

TEST_CASE("prefill queue: prompts are computed in order, cached contexts only once [routing]")
{
    ManualClock clock;
    PrefillQueue queue = makeQueue();
    CHECK(queue.timeFor(promptOf(1)) == 1100ms);
    queue.enqueue(promptOf(1), clock.now());
    CHECK(queue.backlog(clock.now()) == 1100ms);
    CHECK(queue.timeFor(promptOf(1)) == 100ms);
    queue.enqueue(promptOf(1), clock.now());
    CHECK(queue.backlog(clock.now()) == 1200ms);
    clock.advance(2s);
    CHECK(queue.backlog(clock.now()) == 0ms);
}

TEST_CASE("prefill queue: the least recently used context is evicted first [routing]")
{
    ManualClock clock;
    PrefillQueue queue = makeQueue();
    queue.enqueue(promptOf(1), clock.now());
    queue.enqueue(promptOf(2), clock.now());
    queue.enqueue(promptOf(1), clock.now());
    queue.enqueue(promptOf(3), clock.now());
    CHECK(queue.isCached(promptOf(1)));
    CHECK_FALSE(queue.isCached(promptOf(2)));
    CHECK(queue.isCached(promptOf(3)));
}

TEST_CASE("permit book: an engine without running requests has no backlog [routing]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 8, false, 1000, 10'000}});
    book.request(askOf(1, 1));
    const auto first = book.takeAnswers();
    REQUIRE(first.at(0).granted);
    book.release(0, first[0].permitId, "up", 0); // earlier than estimated
    book.request(askOf(2, 2));
    CHECK(book.takeAnswers().at(0).granted);
}

TEST_CASE("permit book: prompts that waited for the same context leave no backlog behind [routing]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 8, false, 1000, 10'000}});
    book.request(askOf(1, 1));
    for (std::uint64_t it = 2; it <= 5; ++it)
        book.request(askOf(it, 2, 60s)); // the first one caches the context for the others
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
    book.request(askOf(7, 7, 4s)); // the engine has a backlog of 1.1 s and an empty queue
    CHECK(book.waiting("up") == 1);
}

TEST_CASE("permit book: free slots do not hide the backlog of prompts [routing]")
{
    ManualClock clock;
    PermitScheduler book(clock);
    book.setUpstreams({{"up", 8, false, 1000, 10'000}});
    book.request(askOf(1, 1));
    CHECK(book.takeAnswers().at(0).granted);
    book.request(askOf(2, 2)); // seven slots are free, but the backlog is 1.1 s
    const auto cold = book.takeAnswers();
    CHECK_FALSE(cold.at(0).granted);
    CHECK(cold.at(0).reason == Reason::UpstreamBusy);
    CHECK(cold.at(0).firstTokenIn > 1100ms);
    book.request(askOf(3, 1)); // its context is cached: it would take as long elsewhere
    CHECK(book.takeAnswers().at(0).granted);
    book.request(askOf(4, 2, 10s)); // it may wait and is granted once the engine is nearly idle
    CHECK(book.takeAnswers().empty());
    clock.advance(1s);
    book.tick();
    CHECK(book.takeAnswers().at(0).granted);
}
