// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "platform/instance_id.hpp"
#include "process/platform_standins.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// The serving thread of a node with two upstreams of a service without engines. The node receives
// no updates from the platform's store.
class ServingFixture
{
public:
    ServingFixture()
        : first(ownAddress(50), "i-1"), second(ownAddress(51), "i-2"), m_thread(pool(), route())
    {
        write("i-1", 50);
        write("i-2", 51);
    }

    // `life`: counts the restarts of the upstream under the same id.
    void write(const std::string &id, int host, int life = 1)
    {
        UpstreamRecord record;
        record.instanceId = platform::makeInstanceId(id, WallTime(std::chrono::milliseconds(life)));
        record.announcedId = id;
        record.service = "board";
        record.address = ownAddress(host);
        m_thread.write(record);
    }

    CallerAnswer sendRequest() { return m_thread.send(); }

    // Sends requests at the given interval. Returns how many were answered with 200.
    int sendRequest(int requests, Duration apart)
    {
        int answered = 0;
        for (int n = 0; n < requests; ++n) {
            m_thread.advance(apart);
            answered += sendRequest().status == 200 ? 1 : 0;
        }
        return answered;
    }

    // Sends requests until the upstream receives one. Returns false if it receives none.
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

TEST_CASE("upstream state: an upstream whose answer reports draining gets no further requests "
          "[drain]")
{
    ServingFixture fixture;
    fixture.first.setDraining(true);
    REQUIRE(fixture.sendUntilReached(fixture.first));
    CHECK(fixture.sendRequest(40, 100ms) == 40);
    CHECK(fixture.first.arrivals().size() == 1);
}

TEST_CASE("upstream state: draining reported by an answer lasts until the upstream restarts "
          "[drain][lives]")
{
    ServingFixture fixture;
    fixture.first.setDraining(true);
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.write("i-1", 50); // an outdated record from before the report
    CHECK(fixture.sendRequest(40, 100ms) == 40);
    CHECK(fixture.first.arrivals().size() == 1);
    fixture.first.setDraining(false);
    fixture.write("i-1", 50, 2);
    CHECK(fixture.sendUntilReached(fixture.first));
    CHECK(fixture.sendUntilReached(fixture.first));
}

// A rejection, an answer to another request and an answer without a seal count as well.
TEST_CASE("upstream state: every answer that the upstream itself sent can report draining [drain]")
{
    using Fault = process::UpstreamStandin::Fault;
    for (const Fault it : {Fault::Reject, Fault::OtherRequestId, Fault::NoSeal}) {
        CAPTURE(static_cast<int>(it));
        ServingFixture fixture;
        fixture.first.setDraining(true);
        fixture.first.setFault(it, 1);
        REQUIRE(fixture.sendUntilReached(fixture.first));
        fixture.sendRequest(40, 100ms);
        CHECK(fixture.first.arrivals().size() == 1);
    }
}

TEST_CASE("upstream state: if all upstreams are draining, requests are rejected at once [drain]")
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

TEST_CASE("upstream state: an upstream gets no requests during the backoff that it requested "
          "[backoff]")
{
    ServingFixture fixture;
    fixture.first.rejectWithBackoff("3");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    CHECK(fixture.sendRequest(29, 100ms) == 29);
    CHECK(fixture.first.arrivals().size() == 1);
}

TEST_CASE("upstream state: an upstream gets requests again after its backoff or a restart "
          "[backoff][lives]")
{
    ServingFixture fixture;
    fixture.first.rejectWithBackoff("3");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.first.rejectWithBackoff(std::nullopt);
    fixture.advance(2900ms);
    CHECK_FALSE(fixture.sendUntilReached(fixture.first));
    SUBCASE("the backoff has expired")
    {
        fixture.advance(200ms);
    }
    SUBCASE("the upstream has restarted")
    {
        fixture.write("i-1", 50, 2);
    }
    CHECK(fixture.sendUntilReached(fixture.first));
}

TEST_CASE(
    "upstream state: if all upstreams back off, callers are rejected at once with retry times "
    "spread from the end of the first backoff [backoff]")
{
    ServingFixture fixture;
    fixture.first.rejectWithBackoff("4");
    REQUIRE(fixture.sendUntilReached(fixture.first));
    fixture.advance(500ms);
    fixture.second.rejectWithBackoff("2.5");
    // The request that learns of the second backoff has been sent. It gets the same kind of answer.
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
    CHECK(last < 8.5); // two upstreams with one slot each
    CHECK(fixture.first.arrivals().size() + fixture.second.arrivals().size() == arrived);
    fixture.second.rejectWithBackoff(std::nullopt);
    fixture.advance(2600ms);
    CHECK(fixture.sendRequest().status == 200);
}

TEST_CASE("upstream state: invalid and extreme backoffs, and which of several applies "
          "[backoff][bad-input]")
{
    ServingFixture fixture;
    for (const char *it : {"0", "-3", "soon", ""}) {
        CAPTURE(it);
        fixture.first.rejectWithBackoff(it);
        REQUIRE(fixture.sendUntilReached(fixture.first));
        fixture.advance(200ms); // longer than a full upstream is avoided
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
