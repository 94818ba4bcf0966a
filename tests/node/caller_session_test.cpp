// SPDX-License-Identifier: MIT
// The close of a resting connection, and a request that comes at the same moment.
#include <doctest/doctest.h>

#include <cstring>

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include "fordwood/manual_clock.hpp"
#include "node/caller_session.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr const char *kRequest = "GET /a HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n\r\n";

// A session at rest, and its caller at the other end of the connection.
struct Connected
{
    Connected() : traffic(context, clock, settings, metrics), caller(context)
    {
        tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        session = std::make_shared<CallerSession>(traffic, acceptor.accept(),
                                                  [this](CallerSession *) { ++ended; });
        session->start();
        context.poll();
    }

    void sendRequest() { net::write(caller, net::buffer(kRequest, std::strlen(kRequest))); }

    // All that the caller gets until the other side closes; the session's work goes on meanwhile.
    std::string received()
    {
        std::string bytes;
        bool isOver = false;
        net::async_read(caller, net::dynamic_buffer(bytes),
                        [&](const ErrorCode &, std::size_t) { isOver = true; });
        while (!isOver)
            context.run_one_for(10ms);
        return bytes;
    }

    bool hasTakenRequest() const
    {
        return metrics.text().find("reason=\"not-ready\"} 1") != std::string::npos;
    }

    net::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    Traffic traffic;
    tcp::socket caller;
    std::shared_ptr<CallerSession> session;
    int ended = 0;
};

} // namespace

TEST_CASE("caller session: a request that has arrived before the close is answered [session]")
{
    Connected connected;
    connected.sendRequest();
    connected.session->closeWhenIdle();
    const std::string answer = connected.received();
    CHECK_MESSAGE(answer.starts_with("HTTP/1.1 503"), answer);
    CHECK(answer.find("Connection: close") != std::string::npos);
    CHECK(connected.hasTakenRequest());
}

TEST_CASE("caller session: a request that crosses the close is not taken [session]")
{
    Connected connected;
    connected.session->closeWhenIdle();
    connected.sendRequest();
    connected.context.poll(); // whatever would read it has its turn before the caller closes
    CHECK(connected.received().empty());
    CHECK_FALSE(connected.hasTakenRequest());
    ErrorCode ec;
    connected.caller.close(ec);
    while (connected.ended == 0)
        connected.context.run_one_for(10ms);
    CHECK_FALSE(connected.hasTakenRequest());
}

TEST_CASE("caller session: one that rests is closed at once, and ends once [session]")
{
    Connected connected;
    connected.session->closeWhenIdle();
    CHECK(connected.received().empty());
    ErrorCode ec;
    connected.caller.close(ec);
    while (connected.ended == 0)
        connected.context.run_one_for(10ms);
    connected.session->closeWhenIdle();
    connected.context.poll();
    CHECK(connected.ended == 1);
}

TEST_CASE("planned stop: from some seconds on, what may outlast it is not taken [stop]")
{
    Connected connected;
    Traffic &traffic = connected.traffic;
    ManualClock &clock = connected.clock;
    CHECK(traffic.mayFinish(clock.now() + 1h));
    traffic.take(StopBegins{});
    const TimePoint end = traffic.stopEnds();
    CHECK(end > clock.now() + 7s);
    CHECK(traffic.mayFinish(clock.now() + 12s)); // its caller could not know yet
    clock.advance(2'900ms);
    CHECK_FALSE(traffic.mayFinish(clock.now() + 12s));
    CHECK(traffic.mayFinish(clock.now() + 3s));
    CHECK(traffic.stopEnds() == end);
}
