// SPDX-License-Identifier: MIT
// Callers that use their connections in ways that HTTP/1.1 allows and most callers do not: they
// close their sending side before their answer ends, or send their request in parts that take long.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <future>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = StopFleet::RealClock;
using Milliseconds = std::chrono::milliseconds;

constexpr int kCallers = 20;
const std::string kRefusals = "fordwood_refusals_total{reason=\"";

bool isWhole(const HttpAnswer &answer)
{
    return answer.isComplete && answer.status == 200;
}

// What callers got that all did the same at the same time.
std::vector<HttpAnswer> callAll(const std::function<HttpAnswer(const std::string &id)> &call)
{
    std::vector<std::future<HttpAnswer>> calls;
    calls.reserve(kCallers);
    for (int n = 0; n < kCallers; ++n)
        calls.push_back(std::async(std::launch::async, call, "r-" + std::to_string(n)));
    std::vector<HttpAnswer> answers;
    answers.reserve(kCallers);
    for (auto &it : calls)
        answers.push_back(it.get());
    return answers;
}

long countWhole(const std::vector<HttpAnswer> &answers)
{
    return std::count_if(answers.begin(), answers.end(), isWhole);
}

std::string chunk(const std::string &bytes)
{
    std::ostringstream out;
    out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
    return out.str();
}

} // namespace

// Guards against a node that takes the end of a caller's input for a caller that has left.
TEST_CASE("caller habits: callers that close their sending side with their request are answered "
          "[node][callers]")
{
    StopFleet fleet(1, 2, 8'000ms);
    std::string route;
    SUBCASE("a request that may be repeated")
    {
        route = "safe";
    }
    SUBCASE("a request that may not be repeated")
    {
        route = "once";
    }
    SUBCASE("a stream")
    {
        route = "talk";
    }
    const auto answers = callAll([&](const std::string &id) {
        KeptConnection connection;
        if (!connection.connect(fleet.host(0))
            || !connection.send(StopFleet::request(route, 200ms, id)))
            return HttpAnswer{};
        connection.endSending();
        return connection.read();
    });
    CHECK(countWhole(answers) == kCallers);
}

// Guards against a request that is read and dropped, since the input has ended behind it.
TEST_CASE("caller habits: all requests are answered that a caller sends before it closes its "
          "sending side [node][callers]")
{
    StopFleet fleet(1, 2, 8'000ms);
    KeptConnection connection;
    REQUIRE(connection.connect(fleet.host(0)));
    REQUIRE(connection.send(StopFleet::request("safe", 100ms, "first")
                            + StopFleet::request("safe", 100ms, "second")));
    connection.endSending();
    CHECK(connection.read().body == "answer to first");
    CHECK(connection.read().body == "answer to second");
}

// Guards against streams that end because their caller has closed its sending side.
TEST_CASE("caller habits: a stream goes on after its caller has closed its sending side "
          "[node][callers]")
{
    StopFleet fleet(1, 2, 8'000ms);
    const auto answers = callAll([&](const std::string &id) {
        KeptConnection connection;
        if (!connection.connect(fleet.host(0))
            || !connection.send(StopFleet::request("talk", 1'500ms, id)) || !connection.readHead())
            return HttpAnswer{};
        connection.endSending();
        return connection.read();
    });
    CHECK(countWhole(answers) == kCallers);
}

// Guards against a node that announces the end of a connection, and then punishes callers for
// closing the side of it that has no more use.
TEST_CASE("planned stop: no stream is cut whose caller closes its sending side once a head "
          "announces the close [node][stop][callers]")
{
    StopFleet fleet(1, 4, 8'000ms);
    PlannedStop stop(fleet, 0);
    std::this_thread::sleep_until(stop.begin() + 500ms);
    const auto answers = callAll([&](const std::string &id) {
        KeptConnection connection;
        if (!connection.connect(fleet.host(0))
            || !connection.send(StopFleet::request("talk", 3'000ms, id)))
            return HttpAnswer{};
        if (connection.readHead() != false)
            return HttpAnswer{};
        connection.endSending();
        return connection.read();
    });
    CHECK(countWhole(answers) == kCallers);
    CHECK(stop.finish() == 0);
}

// Guards against a node that works on for callers that have surely left.
TEST_CASE("caller habits: upstreams stop their work within half a second after a caller has left "
          "[node][callers]")
{
    StopFleet fleet(1, 2, 8'000ms);
    std::string route;
    SUBCASE("a request that may be repeated")
    {
        route = "safe";
    }
    SUBCASE("a stream")
    {
        route = "talk";
    }
    KeptConnection connection;
    REQUIRE(connection.connect(fleet.host(0)));
    REQUIRE(connection.send(StopFleet::request(route, 5'000ms, "left")));
    REQUIRE(Fleet::waitFor([&] { return !fleet.runs("left").empty(); }));
    if (route == "talk")
        REQUIRE(connection.readHead());
    connection.close();
    const auto closedAt = RealClock::now();
    const auto isNoticed = [&] {
        return fleet.metric(kRefusals + "caller-left\"}")
                   + fleet.metric(kRefusals + "input-ended\"}")
               > 0.0;
    };
    CHECK(Fleet::waitFor(isNoticed));
    CHECK(RealClock::now() - closedAt < 500ms);
    const auto hasEnded
        = [&] { return fleet.runs("left").front().end < RealClock::time_point::max(); };
    if (route == "talk")
        CHECK(Fleet::waitFor(hasEnded));
}

// Guards against a limit that counts from the head, so that the body's time is taken from the
// answer's.
TEST_CASE("caller habits: a caller whose body takes long has its whole limit for the answer "
          "[node][callers]")
{
    StopFleet fleet(1, 2, 8'000ms);
    const auto answers = callAll([&](const std::string &id) {
        KeptConnection connection;
        const std::string head
            = StopFleet::head("POST", StopFleet::path("talk", 4'500ms, id), id, 5'000ms)
              + "Transfer-Encoding: chunked\r\n\r\n";
        if (!connection.connect(fleet.host(0)) || !connection.send(head))
            return HttpAnswer{};
        for (int n = 0; n < 3; ++n) {
            std::this_thread::sleep_for(300ms);
            if (!connection.send(chunk("part " + std::to_string(n) + " of " + id)))
                return HttpAnswer{};
        }
        if (!connection.send(chunk("")))
            return HttpAnswer{};
        return connection.read();
    });
    CHECK(countWhole(answers) == kCallers);
}
