// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "platform/instance_id.hpp"
#include "process/platform_standins.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A node's serving thread before two upstreams of a plain service. Nothing is heard of the
// platform's store.
class ServingFixture
{
public:
    ServingFixture()
        : first(ownAddress(50), "i-1"), second(ownAddress(51), "i-2"), m_thread(pool(), route())
    {
        write("i-1", 50);
        write("i-2", 51);
    }

    // `life`: which one of those under the id.
    void write(const std::string &id, int host, int life = 1)
    {
        UpstreamRecord record;
        record.instanceId = platform::instanceIdOf(id, WallTime(std::chrono::milliseconds(life)));
        record.announcedId = id;
        record.service = "board";
        record.address = ownAddress(host);
        m_thread.write(record);
    }

    CallerAnswer sendRequest() { return m_thread.send(); }

    // Requests, so long apart. Gives how many were answered well.
    int sendRequest(int requests, Duration apart)
    {
        int answered = 0;
        for (int n = 0; n < requests; ++n) {
            m_thread.advance(apart);
            answered += sendRequest().status == 200 ? 1 : 0;
        }
        return answered;
    }

    // Until the upstream has been asked once more. False: it gets no request.
    bool sendUntilReached(process::UpstreamStandin &upstream)
    {
        constexpr int kMaxTries = 50;
        const std::size_t before = upstream.arrivals().size();
        for (int n = 0; n < kMaxTries && upstream.arrivals().size() == before; ++n)
            sendRequest();
        return upstream.arrivals().size() > before;
    }

    void advance(Duration by) { m_thread.advance(by); }

    process::UpstreamStandin first;
    process::UpstreamStandin second;

private:
    static ServicePool pool()
    {
        ServicePool pool;
        pool.name = "board";
        return pool;
    }

    static ServiceRoute route()
    {
        ServiceRoute route;
        route.targetLatency = 400ms;
        return route;
    }

    ServingThread m_thread;
};

} // namespace

TEST_CASE("upstream state: an upstream that says in an answer that it is draining gets no request "
          "after it [drain]")
{
    ServingFixture fixture;
    fixture.first.setDraining(true);
    REQUIRE(fixture.sendUntilReached(fixture.first));
    CHECK(fixture.sendRequest(40, 100ms) == 40);
    CHECK(fixture.first.arrivals().size() == 1);
}

TEST_CASE("upstream state: draining that an answer reported holds until the upstream's next life "
          "[drain][lives]")
{
    ServingFixture fixture;
    fixture.first.setDraining(true);
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.write("i-1", 50); // an older record of the same life, read late
    CHECK(fixture.sendRequest(40, 100ms) == 40);
    CHECK(fixture.first.arrivals().size() == 1);
    fixture.first.setDraining(false);
    fixture.write("i-1", 50, 2);
    CHECK(fixture.sendUntilReached(fixture.first));
    CHECK(fixture.sendUntilReached(fixture.first));
}

// Also a rejection, an answer to another request, and one without a seal tell of the upstream.
TEST_CASE("upstream state: each answer counts that the upstream itself has sent [drain]")
{
    using Fault = process::UpstreamStandin::Fault;
    for (const Fault it : {Fault::TurnAway, Fault::OtherRequestId, Fault::NoSeal}) {
        CAPTURE(static_cast<int>(it));
        ServingFixture fixture;
        fixture.first.setDraining(true);
        fixture.first.setFault(it, 1);
        REQUIRE(fixture.sendUntilReached(fixture.first));
        fixture.sendRequest(40, 100ms);
        CHECK(fixture.first.arrivals().size() == 1);
    }
}

TEST_CASE("upstream state: where all upstreams are draining, requests are rejected at once [drain]")
{
    ServingFixture fixture;
    fixture.first.setDraining(true);
    fixture.second.setDraining(true);
    REQUIRE(fixture.sendUntilReached(fixture.first));
    REQUIRE(fixture.sendUntilReached(fixture.second));
    const CallerAnswer answer = fixture.sendRequest();
    CHECK(answer.status == 503);
    CHECK(answer.body.find("upstream-leaving") != std::string::npos);
    CHECK(answer.retryAfter() == 1.0);
}

TEST_CASE("upstream state: an upstream gets no request within the backoff that it asked for "
          "[backoff]")
{
    ServingFixture fixture;
    fixture.first.rejectWithBackoff("3");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    CHECK(fixture.sendRequest(29, 100ms) == 29);
    CHECK(fixture.first.arrivals().size() == 1);
}

TEST_CASE("upstream state: an upstream gets requests again when its backoff is over, or its life "
          "[backoff][lives]")
{
    ServingFixture fixture;
    fixture.first.rejectWithBackoff("3");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.first.rejectWithBackoff(std::nullopt);
    fixture.advance(2900ms);
    CHECK_FALSE(fixture.sendUntilReached(fixture.first));
    SUBCASE("the time is over")
    {
        fixture.advance(200ms);
    }
    SUBCASE("it has started again")
    {
        fixture.write("i-1", 50, 2);
    }
    CHECK(fixture.sendUntilReached(fixture.first));
}

TEST_CASE("upstream state: where all upstreams back off, callers are rejected at once and told to "
          "return one after the other when the first one takes requests [backoff]")
{
    ServingFixture fixture;
    fixture.first.rejectWithBackoff("4");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.advance(500ms);
    fixture.second.rejectWithBackoff("2.5");
    // The one that learns it has been sent, and is told the same.
    double last = fixture.sendRequest().retryAfter();
    CHECK(last >= 2.5);
    const std::size_t arrived = fixture.first.arrivals().size() + fixture.second.arrivals().size();
    for (int n = 0; n < 10; ++n) {
        const CallerAnswer answer = fixture.sendRequest();
        CHECK(answer.status == 503);
        CHECK(answer.body.find("upstream-backoff") != std::string::npos);
        CHECK(answer.retryAfter() > last);
        last = answer.retryAfter();
    }
    CHECK(last < 8.5); // two upstreams of a slot each
    CHECK(fixture.first.arrivals().size() + fixture.second.arrivals().size() == arrived);
    fixture.second.rejectWithBackoff(std::nullopt);
    fixture.advance(2600ms);
    CHECK(fixture.sendRequest().status == 200);
}

TEST_CASE(
    "upstream state: what asks for no backoff that can be kept to, and which of several holds "
    "[backoff][bad-input]")
{
    ServingFixture fixture;
    for (const char *it : {"0", "-3", "soon", ""}) {
        CAPTURE(it);
        fixture.first.rejectWithBackoff(it);
        REQUIRE(fixture.sendUntilReached(fixture.first));
        fixture.advance(200ms); // an upstream that is full is passed over for less
        CHECK(fixture.sendUntilReached(fixture.first));
        fixture.advance(200ms);
    }
    fixture.first.rejectWithBackoff("1e300");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.advance(9min);
    CHECK_FALSE(fixture.sendUntilReached(fixture.first));
    fixture.advance(2min);
    CHECK(fixture.sendUntilReached(fixture.first));
}
