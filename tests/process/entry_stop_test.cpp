// SPDX-License-Identifier: MIT
// Requests around the planned stop of fordwood-entryd: each gets a whole answer or a verdict.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <string>
#include <thread>
#include <tuple>
#include <vector>

#include <nlohmann/json.hpp>

#include "process/fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using RealClock = std::chrono::steady_clock;

namespace {

constexpr std::chrono::milliseconds kTokenTime{20}; // of the engine
constexpr int kLongTokens = 400; // 8 s

// One node before one engine.
FleetSize smallFleet(const std::string &entrySettings, int engineSlots = 4)
{
    FleetSize size;
    size.nodes = size.engines = size.domains = 1;
    size.engineSlots = engineSlots;
    size.engineOptions = {"token_ms=" + std::to_string(kTokenTime.count())};
    size.entrySettings = entrySettings;
    return size;
}

std::string completion(bool isStream, int tokens)
{
    return Json{{"model", "m"},
                {"messages", Json::array({{{"role", "user"}, {"content", "hello"}}})},
                {"max_tokens", tokens},
                {"stream", isStream}}
        .dump();
}

HttpAnswer call(const Fleet &fleet, const std::string &id, bool isStream, int tokens)
{
    return httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(isStream, tokens),
                    {Fleet::bearer(), "X-Request-Id: " + id});
}

// The text of a request, for a connection that is kept.
std::string request(bool isStream, int tokens)
{
    const std::string body = completion(isStream, tokens);
    return "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + Fleet::bearer()
           + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size())
           + "\r\n\r\n" + body;
}

bool waitForInFlight(const Fleet &fleet, int requests)
{
    return Fleet::waitFor([&] { return fleet.metric(0, "fordwood_in_flight") >= requests; });
}

// How many lines of the log of fordwood-entryd contain both texts.
int logLines(const Fleet &fleet, const std::string &event, const std::string &text)
{
    std::ifstream in(fleet.folder() + "/entryd-0.log");
    int count = 0;
    for (std::string line; std::getline(in, line);) {
        if (line.find(event) != std::string::npos && line.find(text) != std::string::npos)
            ++count;
    }
    return count;
}

} // namespace

// Guards against requests that get no answer, and a process that crashes, when the time of a stop
// has passed.
TEST_CASE("entry stop: requests that are open at the end of the stop get a verdict [stop]")
{
    Fleet fleet(smallFleet("stop_timeout = \"1500ms\"", 2));
    fleet.start();
    HttpAnswer plain;
    HttpAnswer stream;
    HttpAnswer waiting;
    std::vector<std::thread> callers;
    callers.emplace_back([&] { plain = call(fleet, "plain", false, kLongTokens); });
    callers.emplace_back([&] { stream = call(fleet, "stream", true, kLongTokens); });
    REQUIRE(waitForInFlight(fleet, 2));
    std::this_thread::sleep_for(200ms); // until both have their permits
    callers.emplace_back([&] { waiting = call(fleet, "waiting", false, kLongTokens); });
    REQUIRE(waitForInFlight(fleet, 3));
    CHECK(fleet.entryds[0].terminate() == 0);
    for (std::thread &it : callers)
        it.join();
    CHECK(plain.isComplete);
    CHECK(plain.status == 502);
    CHECK(plain.headers["fordwood-reason"] == "cut-by-stop");
    CHECK(plain.headers["fordwood-verdict"] == "may-have-run");
    CHECK(stream.status == 200);
    CHECK_FALSE(stream.isComplete);
    CHECK(stream.body.find("cut-by-stop") != std::string::npos);
    CHECK(waiting.isComplete);
    CHECK(waiting.status == 503);
    CHECK(waiting.headers["fordwood-reason"] == "stopping");
    CHECK(waiting.headers["fordwood-verdict"] == "not-run");
    for (const std::string id : {"plain", "stream", "waiting"})
        CHECK_MESSAGE(logLines(fleet, "name=RequestCutByStop", "request=\"" + id + "\"") == 1, id);
}

// Guards against a time limit that begins only after the stop notice.
TEST_CASE("entry stop: the stop notice is a part of the stop's time limit [stop]")
{
    FleetSize size = smallFleet("stop_timeout = \"1500ms\"");
    size.stopNotice = "1s";
    Fleet fleet(size);
    fleet.start();
    HttpAnswer answer;
    std::thread caller([&] { answer = call(fleet, "long", false, kLongTokens); });
    REQUIRE(waitForInFlight(fleet, 1));
    const auto begin = RealClock::now();
    fleet.entryds[0].signal(SIGTERM);
    CHECK(fleet.entryds[0].wait() == 0);
    CHECK(RealClock::now() - begin < 1'500ms);
    caller.join();
    CHECK(answer.status == 502);
}

// Guards against a time limit that begins when the process takes the signal, which may be long
// after it was sent.
TEST_CASE("entry stop: the time limit counts from a signal that was taken late [stop]")
{
    Fleet fleet(smallFleet("stop_timeout = \"2s\""));
    fleet.start();
    HttpAnswer answer;
    std::thread caller([&] { answer = call(fleet, "long", false, kLongTokens); });
    REQUIRE(waitForInFlight(fleet, 1));
    const auto begin = RealClock::now();
    fleet.entryds[0].signal(SIGSTOP);
    fleet.entryds[0].signal(SIGTERM);
    std::this_thread::sleep_for(700ms);
    fleet.entryds[0].signal(SIGCONT);
    CHECK(fleet.entryds[0].wait() == 0);
    CHECK(RealClock::now() - begin < 2s);
    caller.join();
    CHECK(answer.status == 502);
}

// Guards against connections that are closed as the last answer ends, although their callers were
// not told of it.
TEST_CASE("entry stop: the next request on a connection whose answer began before the stop is "
          "answered [stop]")
{
    Fleet fleet(smallFleet(""));
    fleet.start();
    IdleConnection connection(fleet.entryAddress(0));
    std::thread stopper([&] {
        CHECK(waitForInFlight(fleet, 1));
        std::this_thread::sleep_for(300ms); // until the head of the answer has been sent
        fleet.entryds[0].signal(SIGTERM);
    });
    CHECK(connection.exchange(request(true, 60), "\r\n0\r\n\r\n"));
    stopper.join();
    std::this_thread::sleep_for(100ms);
    CHECK(connection.exchange(request(false, 8), "stopping"));
    CHECK(fleet.entryds[0].wait() == 0);
}

// Guards against connections that the kernel had accepted, and that are reset as the server stops
// listening.
TEST_CASE("entry stop: connections that wait to be accepted at the end of the stop are answered "
          "[stop]")
{
    Fleet fleet(smallFleet("stop_timeout = \"2s\""));
    fleet.start();
    std::thread caller([&] { std::ignore = call(fleet, "long", false, kLongTokens); });
    REQUIRE(waitForInFlight(fleet, 1));
    const auto begin = RealClock::now();
    fleet.entryds[0].signal(SIGTERM);
    std::this_thread::sleep_until(begin + 1s);
    fleet.entryds[0].signal(SIGSTOP);
    constexpr std::size_t kCallers = 12;
    std::vector<HttpAnswer> answers(kCallers);
    std::vector<std::thread> callers;
    callers.reserve(kCallers);
    for (HttpAnswer &it : answers)
        callers.emplace_back([&] { it = call(fleet, "late", false, 8); });
    std::this_thread::sleep_until(begin + 1'600ms);
    fleet.entryds[0].signal(SIGCONT);
    CHECK(fleet.entryds[0].wait() == 0);
    caller.join();
    for (std::thread &it : callers)
        it.join();
    for (HttpAnswer &it : answers) {
        CHECK(it.status == 503);
        CHECK(it.headers["fordwood-reason"] == "stopping");
        CHECK(it.headers["connection"] == "close");
    }
}

// Guards against a second signal that ends the process before the stop does.
TEST_CASE("entry stop: a second signal changes nothing [stop]")
{
    Fleet fleet(smallFleet(""));
    fleet.start();
    HttpAnswer stream;
    std::thread caller([&] { stream = call(fleet, "stream", true, 60); });
    REQUIRE(waitForInFlight(fleet, 1));
    fleet.entryds[0].signal(SIGTERM);
    std::this_thread::sleep_for(300ms);
    fleet.entryds[0].signal(SIGTERM);
    CHECK(fleet.entryds[0].wait() == 0);
    caller.join();
    CHECK(stream.isComplete);
    CHECK(stream.body.find("[DONE]") != std::string::npos);
}
