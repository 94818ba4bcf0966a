// SPDX-License-Identifier: MIT
// Closing an idle caller connection, also when a request arrives at the same moment.
#include <doctest/doctest.h>

#include <cstring>
#include <thread>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "fordwood/manual_clock.hpp"
#include "node/caller_session.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr const char *kRequest = "GET /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n\r\n";

// An idle session, and its caller at the other end of the connection.
struct SessionFixture
{
    SessionFixture() : state(context, clock, settings, metrics), caller(context)
    {
        tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        session = std::make_shared<CallerSession>(state, acceptor.accept(),
                                                  [this](CallerSession *) { ++closedSessions; });
        session->start();
        context.poll();
    }

    void sendRequest() { net::write(caller, net::buffer(kRequest, std::strlen(kRequest))); }

    // Returns all that the caller receives until the session closes the connection. Runs the
    // session meanwhile.
    std::string readUntilClosed()
    {
        std::string bytes;
        bool isClosed = false;
        context.restart(); // it has stopped if a closed session has left it without work
        net::async_read(caller, net::dynamic_buffer(bytes),
                        [&](const ErrorCode &, std::size_t) { isClosed = true; });
        while (!isClosed)
            context.run_one_for(10ms);
        return bytes;
    }

    bool wasRequestHandled() const
    {
        return metrics.text().find("reason=\"not-ready\"} 1") != std::string::npos;
    }

    net::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    NodeState state;
    tcp::socket caller;
    std::shared_ptr<CallerSession> session;
    int closedSessions = 0;
};

} // namespace

TEST_CASE("caller session: a request that arrived before the close is answered [session]")
{
    SessionFixture fixture;
    fixture.sendRequest();
    fixture.session->closeWhenIdle();
    const std::string answer = fixture.readUntilClosed();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(fixture.wasRequestHandled());
}

TEST_CASE("caller session: a request that arrives during the close is not handled [session]")
{
    SessionFixture fixture;
    fixture.clock.advance(1s);
    fixture.session->closeWhenIdle();
    fixture.sendRequest();
    fixture.context.poll(); // any pending read runs before the caller closes
    CHECK(fixture.readUntilClosed().empty());
    CHECK_FALSE(fixture.wasRequestHandled());
    ErrorCode ec;
    fixture.caller.close(ec);
    while (fixture.closedSessions == 0)
        fixture.context.run_one_for(10ms);
    CHECK_FALSE(fixture.wasRequestHandled());
}

// Guards against a request that crosses the close of an idle connection and is read, so that its
// caller cannot know that it has not run.
TEST_CASE("caller session: a request that crosses the close of an idle session is not read "
          "[session][stop]")
{
    SessionFixture fixture;
    fixture.clock.advance(1s);
    fixture.session->closeWhenIdle();
    fixture.context.poll(); // the caller has not closed
    CHECK(fixture.closedSessions == 1);
    fixture.sendRequest();
    CHECK(fixture.readUntilClosed().empty());
    CHECK_FALSE(fixture.wasRequestHandled());
}

// Guards against a caller whose request crosses the close of a connection that has just been used.
TEST_CASE("caller session: a request that comes right after the last answer is answered although "
          "the session closes when idle [session][stop]")
{
    SessionFixture fixture;
    fixture.session->closeWhenIdle();
    fixture.context.poll();
    fixture.sendRequest();
    const std::string answer = fixture.readUntilClosed();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
    CHECK(answer.find("Connection: close") != std::string::npos);
}

// Guards against a request that is answered with 408, which promises that it does not run, and then
// runs: after a freeze, its header timer has expired and its head has arrived.
TEST_CASE("caller session: a request whose head arrived during a freeze is not answered with 408 "
          "and run [session][freeze]")
{
    SessionFixture fixture;
    ServingConfig config;
    config.version = 1;
    config.limits.headerTimeout = 20ms;
    fixture.state.handle(ConfigApplied{std::make_shared<RouteTable>(std::move(config))});
    constexpr std::size_t kFirstPart = 20;
    net::write(fixture.caller, net::buffer(kRequest, kFirstPart));
    while (fixture.context.poll() == 0) { }
    fixture.context.poll();
    net::write(fixture.caller,
               net::buffer(kRequest + kFirstPart, std::strlen(kRequest) - kFirstPart));
    std::this_thread::sleep_for(60ms);
    fixture.session->closeWhenIdle();
    const std::string answer = fixture.readUntilClosed();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 404"), answer); // there is no route
    CHECK(answer.find("HTTP/1.1", 1) == std::string::npos);
    CHECK(fixture.metrics.text().find("reason=\"read-timeout\"} 1") == std::string::npos);
}

// Guards against a caller's request that ends the node by an exception of the HTTP library, and
// with it the requests of all others.
TEST_CASE("caller session: a field that is too long for the HTTP library is rejected "
          "[session][size]")
{
    SessionFixture fixture;
    ServingConfig config;
    config.version = 1;
    config.limits.maxHeaderBytes = 200'000;
    fixture.state.handle(ConfigApplied{std::make_shared<RouteTable>(std::move(config))});
    std::string head = "GET / HTTP/1.1\r\nHost: a.example\r\n";
    SUBCASE("value")
    {
        head += "X-Long: " + std::string(70'000, 'x');
    }
    SUBCASE("name")
    {
        head += std::string(70'000, 'x') + ": 1";
    }
    net::async_write(fixture.caller, net::buffer(head += "\r\n\r\n"),
                     [](const ErrorCode &, std::size_t) {});
    const std::string answer = fixture.readUntilClosed();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 431"), answer);
}

TEST_CASE("caller session: an idle session is closed at once and reports its end once [session]")
{
    SessionFixture fixture;
    fixture.clock.advance(1s);
    fixture.session->closeWhenIdle();
    CHECK(fixture.readUntilClosed().empty());
    ErrorCode ec;
    fixture.caller.close(ec);
    while (fixture.closedSessions == 0)
        fixture.context.run_one_for(10ms);
    fixture.session->closeWhenIdle();
    fixture.context.poll();
    CHECK(fixture.closedSessions == 1);
}

TEST_CASE(
    "planned stop: after a few seconds, requests that may outlast the stop are refused [stop]")
{
    SessionFixture fixture;
    NodeState &state = fixture.state;
    ManualClock &clock = fixture.clock;
    const StopPlan &stop = state.stop();
    CHECK(stop.mayTake({clock.now() + 1h, {}}, clock.now()));
    state.handle(StopStarted{clock.now(), clock.now()});
    const TimePoint end = stop.endsAt();
    CHECK(end == clock.now() + 7s);
    CHECK(stop.mayTake({clock.now() + 12s, {}},
                       clock.now())); // its caller could not know of the stop yet
    clock.advance(2'200ms);
    CHECK_FALSE(stop.mayTake({clock.now() + 12s, {}}, clock.now()));
    CHECK(stop.mayTake({clock.now() + 3s, {}}, clock.now()));
    CHECK(stop.endsAt() == end);
}
