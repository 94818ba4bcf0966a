// SPDX-License-Identifier: MIT
// Decisions that wait for evidence that the replica lacks nothing.
#include "node/read_barrier.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "node/replica_check.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A barrier whose requests are kept until the test answers them.
struct BarrierFixture
{
    BarrierFixture()
    {
        barrier.onRequest([this](TimePoint since) { requests.push_back(since); });
    }

    void wait()
    {
        barrier.wait([this](bool isCurrent) { results.push_back(isCurrent); });
    }

    net::io_context context;
    ManualClock clock;
    adapters::Metrics metrics;
    ReadBarrier barrier{context, clock, metrics};
    std::vector<TimePoint> requests;
    std::vector<bool> results;
};

// A check whose reads are kept until the test ends them.
struct CheckFixture
{
    ManualClock clock;
    bool canPoll = true;
    int polls = 0;
    std::vector<ReplicaChecked> published;
    ReplicaCheck check{[this] {
                           polls += canPoll ? 1 : 0;
                           return canPoll;
                       },
                       [this](const ReplicaChecked &it) { published.push_back(it); }};
};

} // namespace

TEST_CASE("read barrier: one check answers all that wait when it begins, and none that come later")
{
    BarrierFixture it;
    it.wait();
    it.wait();
    REQUIRE(it.requests.size() == 1);
    it.clock.advance(5ms);
    const TimePoint sentAt = it.clock.now();
    it.clock.advance(1ms);
    it.wait();
    CHECK(it.requests.size() == 1);
    it.barrier.checked({sentAt, true});
    CHECK(it.results == std::vector<bool>{true, true});
    REQUIRE(it.requests.size() == 2);
    it.barrier.checked({it.clock.now(), false});
    CHECK(it.results == std::vector<bool>{true, true, false});
    CHECK(it.requests.size() == 2);
    // A store that does not answer is not asked for each request anew.
    it.wait();
    CHECK(it.results.size() == 4);
    it.clock.advance(1s);
    it.wait();
    CHECK(it.requests.size() == 3);
}

TEST_CASE("read barrier: a check that gets no answer ends the wait, and the next one asks again")
{
    BarrierFixture it;
    it.wait();
    it.context.run_for(2 * ReadBarrier::kMaxWait);
    CHECK(it.results == std::vector<bool>{false});
    it.wait();
    CHECK(it.requests.size() == 2);
    // The answer of a check that was sent before does not count.
    it.clock.advance(1ms);
    it.wait();
    it.barrier.checked({it.requests.back() - 1ms, true});
    CHECK(it.results.size() == 1);
}

TEST_CASE("replica check: a read that was sent before the request does not answer it")
{
    CheckFixture it;
    const TimePoint before = it.clock.now();
    it.clock.advance(10ms);
    it.check.request(it.clock.now());
    CHECK(it.polls == 1);
    it.check.pollEnded(before, true);
    REQUIRE(it.published.size() == 1);
    CHECK(it.published[0].asOf == before);
    CHECK(it.polls == 2);
    it.check.pollEnded(it.clock.now(), true);
    REQUIRE(it.published.size() == 2);
    CHECK(it.published[1].asOf == it.clock.now());
    CHECK(it.polls == 2);
}

// Guards against requests that follow each other faster than the store answers.
TEST_CASE("replica check: a later request takes no answer away from an earlier one")
{
    CheckFixture it;
    const TimePoint first = it.clock.now();
    it.check.request(first);
    it.clock.advance(400ms);
    it.check.request(it.clock.now());
    it.check.pollEnded(first, true);
    REQUIRE(it.published.size() == 1);
    CHECK(it.published[0].asOf == first);
    CHECK(it.published[0].isComplete);
}

TEST_CASE("replica check: without an answer of the store there is no evidence")
{
    CheckFixture it;
    it.check.request(it.clock.now());
    it.check.pollEnded(it.clock.now(), false);
    CHECK(it.polls == 2); // the connection may have been closed meanwhile
    it.check.pollEnded(it.clock.now(), false);
    REQUIRE(it.published.size() == 1);
    CHECK(!it.published[0].isComplete);
    it.canPoll = false;
    it.check.request(it.clock.now());
    REQUIRE(it.published.size() == 2);
    CHECK(!it.published[1].isComplete);
}
