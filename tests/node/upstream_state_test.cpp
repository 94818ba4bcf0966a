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
class Serving
{
public:
    Serving()
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

    CallerAnswer send() { return m_thread.send(); }

    // Requests, so long apart. Gives how many were answered well.
    int send(int requests, Duration apart)
    {
        int answered = 0;
        for (int n = 0; n < requests; ++n) {
            m_thread.advance(apart);
            answered += send().status == 200 ? 1 : 0;
        }
        return answered;
    }

    // Until the upstream has been asked once more. False: it gets no request.
    bool sendTo(process::UpstreamStandin &upstream)
    {
        constexpr int kMostTries = 50;
        const std::size_t before = upstream.arrivals().size();
        for (int n = 0; n < kMostTries && upstream.arrivals().size() == before; ++n)
            send();
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
    Serving serving;
    serving.first.setDraining(true);
    REQUIRE(serving.sendTo(serving.first));
    CHECK(serving.send(40, 100ms) == 40);
    CHECK(serving.first.arrivals().size() == 1);
}

TEST_CASE("upstream state: draining that an answer reported holds until the upstream's next life "
          "[drain][lives]")
{
    Serving serving;
    serving.first.setDraining(true);
    REQUIRE(serving.sendTo(serving.first));
    serving.write("i-1", 50); // an older record of the same life, read late
    CHECK(serving.send(40, 100ms) == 40);
    CHECK(serving.first.arrivals().size() == 1);
    serving.first.setDraining(false);
    serving.write("i-1", 50, 2);
    CHECK(serving.sendTo(serving.first));
    CHECK(serving.sendTo(serving.first));
}

// Also a rejection, an answer to another request, and one without a seal tell of the upstream.
TEST_CASE("upstream state: each answer counts that the upstream itself has sent [drain]")
{
    using Fault = process::UpstreamStandin::Fault;
    for (const Fault it : {Fault::TurnAway, Fault::OtherRequestId, Fault::NoSeal}) {
        CAPTURE(static_cast<int>(it));
        Serving serving;
        serving.first.setDraining(true);
        serving.first.setFault(it, 1);
        REQUIRE(serving.sendTo(serving.first));
        serving.send(40, 100ms);
        CHECK(serving.first.arrivals().size() == 1);
    }
}

TEST_CASE("upstream state: where all upstreams are draining, requests are rejected at once [drain]")
{
    Serving serving;
    serving.first.setDraining(true);
    serving.second.setDraining(true);
    REQUIRE(serving.sendTo(serving.first));
    REQUIRE(serving.sendTo(serving.second));
    const CallerAnswer answer = serving.send();
    CHECK(answer.status == 503);
    CHECK(answer.body.find("upstream-leaving") != std::string::npos);
    CHECK(answer.retryAfter() == 1.0);
}

TEST_CASE("upstream state: an upstream gets no request within the backoff that it asked for "
          "[backoff]")
{
    Serving serving;
    serving.first.rejectWithBackoff("3");
    REQUIRE(serving.sendTo(serving.first));
    CHECK(serving.send(29, 100ms) == 29);
    CHECK(serving.first.arrivals().size() == 1);
}

TEST_CASE("upstream state: an upstream gets requests again when its backoff is over, or its life "
          "[backoff][lives]")
{
    Serving serving;
    serving.first.rejectWithBackoff("3");
    REQUIRE(serving.sendTo(serving.first));
    serving.first.rejectWithBackoff(std::nullopt);
    serving.advance(2900ms);
    CHECK_FALSE(serving.sendTo(serving.first));
    SUBCASE("the time is over")
    {
        serving.advance(200ms);
    }
    SUBCASE("it has started again")
    {
        serving.write("i-1", 50, 2);
    }
    CHECK(serving.sendTo(serving.first));
}

TEST_CASE("upstream state: where all upstreams back off, callers are rejected at once and told to "
          "return one after the other when the first one takes requests [backoff]")
{
    Serving serving;
    serving.first.rejectWithBackoff("4");
    REQUIRE(serving.sendTo(serving.first));
    serving.advance(500ms);
    serving.second.rejectWithBackoff("2.5");
    // The one that learns it has been sent, and is told the same.
    double last = serving.send().retryAfter();
    CHECK(last >= 2.5);
    const std::size_t arrived = serving.first.arrivals().size() + serving.second.arrivals().size();
    for (int n = 0; n < 10; ++n) {
        const CallerAnswer answer = serving.send();
        CHECK(answer.status == 503);
        CHECK(answer.body.find("upstream-backoff") != std::string::npos);
        CHECK(answer.retryAfter() > last);
        last = answer.retryAfter();
    }
    CHECK(last < 8.5); // two upstreams of a slot each
    CHECK(serving.first.arrivals().size() + serving.second.arrivals().size() == arrived);
    serving.second.rejectWithBackoff(std::nullopt);
    serving.advance(2600ms);
    CHECK(serving.send().status == 200);
}

TEST_CASE(
    "upstream state: what asks for no backoff that can be kept to, and which of several holds "
    "[backoff][bad-input]")
{
    Serving serving;
    for (const char *it : {"0", "-3", "soon", ""}) {
        CAPTURE(it);
        serving.first.rejectWithBackoff(it);
        REQUIRE(serving.sendTo(serving.first));
        serving.advance(200ms); // an upstream that is full is passed over for less
        CHECK(serving.sendTo(serving.first));
        serving.advance(200ms);
    }
    serving.first.rejectWithBackoff("1e300");
    REQUIRE(serving.sendTo(serving.first));
    serving.advance(9min);
    CHECK_FALSE(serving.sendTo(serving.first));
    serving.advance(2min);
    CHECK(serving.sendTo(serving.first));
}
