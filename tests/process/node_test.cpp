// SPDX-License-Identifier: MIT
// Tests fordwood-noded as a real process, with stand-ins for the platform's store and upstreams.
#include <doctest/doctest.h>

#include <csignal>
#include <thread>

#include <nlohmann/json.hpp>

#include "process/fleet.hpp"
#include "process/http.hpp"
#include "process/node_deployment.hpp"

using namespace fordwood::process;
using Json = nlohmann::json;
using Fault = UpstreamStandin::Fault;

TEST_CASE("node: without a configuration, requests are rejected with a Retry-After [node]")
{
    Deployment fleet;
    fleet.startNode(0);
    REQUIRE(Fleet::waitFor([&] { return fleet.call("GET", "/safe/1", "r").status != 0; }));
    const HttpAnswer answer = fleet.call("GET", "/safe/1", "r");
    CHECK(answer.status == 503);
    CHECK(answer.headers.count("retry-after") == 1);
    CHECK_FALSE(fleet.isReady(0));
}

TEST_CASE("node: a request reaches an upstream with its team, and the answer reaches the caller "
          "with its headers [node][path]")
{
    Deployment fleet;
    fleet.start();
    const HttpAnswer answer = fleet.call("POST", "/once/1?q=2", "r-1");
    CHECK(answer.status == 200);
    CHECK(answer.body == "answer to r-1");
    CHECK(answer.headers.at("request-id") == "r-1");
    CHECK(answer.headers.at("response-seal").starts_with("sealed-by-"));
    CHECK(fleet.first.runs("r-1") + fleet.second.runs("r-1") == 1);
    UpstreamStandin &upstream = fleet.first.runs("r-1") == 1 ? fleet.first : fleet.second;
    CHECK(upstream.lastField("Tenant") == "t");
    CHECK(upstream.lastField("Credential") == "");
    CHECK(std::stoi(upstream.lastField("Request-Deadline")) <= 4000);
}

TEST_CASE("node: requests without a route or a valid key are rejected [node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    CHECK(fleet.call("GET", "/nowhere/1", "r-1").status == 404);
    CHECK(fleet.call("GET", "/safe/1", "r-2", 0, "key-u").status == 401);
    CHECK(
        httpCall("GET", fleet.url(0, "/safe/1"), "", {"Host: a.example", "Request-Id: r-3"}).status
        == 401);
    CHECK(
        httpCall("GET", fleet.url(0, "/safe/1"), "", {"Host: b.example", "Request-Id: r-4"}).status
        == 404);
    CHECK(fleet.first.totalRuns() + fleet.second.totalRuns() == 0);
}

TEST_CASE(
    "node: malformed requests get an error status, run nothing and do not affect other requests "
    "[node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    const std::string address = fleet.host(0) + ":8080";
    const std::string head = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-1\r\n"
                             "Credential: key-t\r\n";
    struct Case
    {
        std::string bytes;
        std::string status;
    };
    const std::vector<Case> cases{
        {head + "Content-Length: 3\r\nContent-Length: 4\r\n\r\nabcd", " 400 "},
        {head + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n", " 400 "},
        {head + "Content-Length: x\r\n\r\n", " 400 "},
        {head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", " 400 "},
        {"no request\r\n\r\n", " 400 "},
        {head + "X-Long: " + std::string(8'000, 'x') + "\r\n\r\n", " 431 "},
        {head + "Content-Length: 20000\r\n\r\n", " 413 "},
    };
    for (const Case &it : cases) {
        INFO(it.bytes.substr(0, 200));
        const std::string answer = rawCall(address, it.bytes, "\r\n\r\n");
        CHECK(answer.find(it.status) != std::string::npos);
    }
    CHECK(fleet.first.totalRuns() + fleet.second.totalRuns() == 0);
    CHECK(fleet.call("GET", "/safe/1", "r-2").status == 200);
    CHECK(fleet.metric("fordwood_refusals_total{reason=\"malformed-request\"}") >= 5);
}

TEST_CASE("node: a request with an incomplete head is rejected with 408, and later requests are "
          "served [node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    const std::string part = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\n";
    for (int n = 0; n < 20; ++n) {
        const std::string answer = rawCall(fleet.host(0) + ":8080", part);
        CHECK(answer.find(" 408 ") != std::string::npos);
    }
    CHECK(fleet.call("GET", "/safe/1", "r-1").status == 200);
    CHECK(fleet.metric("fordwood_refusals_total{reason=\"read-timeout\"}") == 20);
}

TEST_CASE("node: a request inside the body of another is not run [node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    const std::string inner = "POST /once/2 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: inner\r\n"
                              "Credential: key-t\r\nContent-Length: 0\r\n\r\n";
    const std::string outer = "POST /once/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: outer\r\n"
                              "Credential: key-t\r\nConnection: close\r\nContent-Length: "
                              + std::to_string(inner.size()) + "\r\n\r\n" + inner;
    CHECK(rawCall(fleet.host(0) + ":8080", outer).find(" 200 ") != std::string::npos);
    CHECK(fleet.first.runs("outer") + fleet.second.runs("outer") == 1);
    CHECK(fleet.first.runs("inner") + fleet.second.runs("inner") == 0);
}

TEST_CASE(
    "node: a request that is not repeatable runs once, also when its answer is lost or invalid "
    "[node][once]")
{
    Deployment fleet;
    fleet.start();
    for (const Fault it : {Fault::CutAfterRun, Fault::OtherRequestId, Fault::NoSeal}) {
        fleet.first.setFault(it, 1);
        fleet.second.setFault(it, 1);
        const std::string id = "r-" + std::to_string(static_cast<int>(it));
        const HttpAnswer answer = fleet.call("POST", "/once/1", id);
        CHECK(answer.status == 502);
        CHECK(answer.headers.count("response-seal") == 0);
        CHECK(fleet.first.runs(id) + fleet.second.runs(id) == 1);
        fleet.first.setFault(Fault::None, 0);
        fleet.second.setFault(Fault::None, 0);
        REQUIRE(Fleet::waitFor([&] { return fleet.call("GET", "/safe/1", "w").status == 200; }));
    }
}

TEST_CASE("node: a failed repeatable request is retried at another upstream [node][retry]")
{
    Deployment fleet;
    fleet.start();
    for (const Fault it : {Fault::CutAfterRun, Fault::Reject, Fault::FailAfterRun}) {
        const std::string id = "r-" + std::to_string(static_cast<int>(it));
        fleet.first.setFault(it, 1);
        HttpAnswer answer = fleet.call("GET", "/safe/1", id);
        if (fleet.first.runs(id) == 0 && it != Fault::Reject) // the other upstream was chosen
            answer = fleet.call("GET", "/safe/1", id);
        CHECK(answer.status == 200);
        CHECK(answer.body == "answer to " + id);
        fleet.first.setFault(Fault::None, 0);
    }
}

TEST_CASE("node: a request that all upstreams reject is reported as not run [node][not-run]")
{
    Deployment fleet;
    fleet.start();
    fleet.first.setFault(Fault::Reject, 100);
    fleet.second.setFault(Fault::Reject, 100);
    const HttpAnswer answer = fleet.call("POST", "/once/1", "r-1");
    CHECK(answer.status == 503);
    CHECK(answer.headers.count("retry-after") == 1);
    CHECK(fleet.first.totalRuns() + fleet.second.totalRuns() == 0);
}

TEST_CASE("node: a broken stream resumes at another upstream, with each event once and one head "
          "[node][streams]")
{
    Deployment fleet;
    fleet.start();
    fleet.first.breakStreamsAfter(2);
    bool wasBroken = false;
    for (int n = 0; n < 20 && !wasBroken; ++n) {
        const std::string id = "r-" + std::to_string(n);
        const HttpAnswer answer = fleet.call("POST", "/stream/1", id);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        CHECK(answer.body
              == "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\nid: 3\ndata: 3\n\nid: 4\ndata: 4\n\n"
                 "id: 5\ndata: 5\n\n");
        wasBroken = fleet.first.runs(id) == 1;
        if (wasBroken) {
            CHECK(answer.headers.at("response-seal") == "sealed-by-i-1");
            CHECK(fleet.second.runs(id) == 1);
            CHECK(fleet.second.lastField("Last-Event-Id") == "2");
        }
    }
    CHECK(wasBroken);
}

TEST_CASE(
    "node: an upstream that is draining or has no record gets no more requests [node][leaving]")
{
    Deployment fleet;
    fleet.start();
    fleet.putUpstream("i-1", "draining");
    REQUIRE(Fleet::waitFor([&] {
        const int before = fleet.first.totalRuns();
        for (int n = 0; n < 10; ++n)
            CHECK(fleet.call("GET", "/safe/1", "r").status == 200);
        return fleet.first.totalRuns() == before;
    }));
    fleet.putUpstream("i-1");
    fleet.store.remove("servers/i-2");
    REQUIRE(Fleet::waitFor([&] {
        const int before = fleet.second.totalRuns();
        for (int n = 0; n < 10; ++n)
            CHECK(fleet.call("GET", "/safe/1", "r").status == 200);
        return fleet.second.totalRuns() == before;
    }));
}

TEST_CASE("node: an invalid configuration is not applied [node][bad-input]")
{
    Deployment fleet;
    fleet.start();
    fleet.store.put("op/config", "{\"version\": 2, \"routes\": 7}");
    fleet.store.put("servers/i-9", "nonsense");
    REQUIRE(
        Fleet::waitFor([&] { return fleet.metric("fordwood_stored_values_refused_total") >= 2; }));
    CHECK(fleet.call("GET", "/safe/1", "r-1").status == 200);
    CHECK(fleet.metric("fordwood_configuration_version") == 1);
}

TEST_CASE("node: when the store has lost its history, nodes read everything again [node][outage]")
{
    Deployment fleet;
    fleet.start();
    fleet.store.setDown(true);
    fleet.putConfiguration(2, "/later/");
    fleet.store.remove("servers/i-2");
    fleet.store.forgetHistory();
    CHECK(fleet.call("GET", "/safe/1", "r-1").status == 200); // served from the last known state
    fleet.store.setDown(false);
    CHECK(Fleet::waitFor([&] { return fleet.call("GET", "/later/1", "r-2").status == 200; }));
    CHECK(fleet.call("GET", "/safe/1", "r-3").status == 404);
}

TEST_CASE("node: a change is noticed although watches report nothing [node][outage]")
{
    Deployment fleet;
    fleet.start();
    fleet.store.setSilentWatches(true);
    // This write ends the watch that is open; the next watch reports nothing.
    fleet.store.put("other", "1");
    fleet.putConfiguration(2, "/later/");
    CHECK(Fleet::waitFor([&] { return fleet.call("GET", "/later/1", "r-1").status == 200; }));
    fleet.putConfiguration(3, "/last/");
    CHECK(Fleet::waitFor([&] { return fleet.call("GET", "/last/1", "r-2").status == 200; }));
    fleet.store.setSilentWatches(false);
    fleet.store.setDown(true);
}

TEST_CASE("node: a node that cannot reach the store gets the state and changes from its peers "
          "[node][peers]")
{
    Deployment fleet;
    fleet.start();
    fleet.startNode(1, fleet.net + "99:7000"); // an address where nothing listens
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(1); }));
    CHECK(fleet.call("GET", "/safe/1", "r-1", 1).status == 200);
    fleet.putConfiguration(2, "/later/");
    CHECK(Fleet::waitFor([&] { return fleet.call("GET", "/later/1", "r-2", 1).status == 200; }));
    CHECK(fleet.call("GET", "/safe/1", "r-3", 1).status == 404);
}

TEST_CASE(
    "node: no node sends requests to an evacuated domain until the evacuation is withdrawn, not "
    "even a node that learns of it only from a peer [node][evacuation]")
{
    Deployment fleet;
    fleet.start();
    fleet.startNode(1, fleet.net + "99:7000"); // an address where nothing listens
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(1); }));
    for (const int node : {0, 1})
        CHECK(fleet.call("GET", "/safe/1", "before-" + std::to_string(node), node).status == 200);
    fleet.store.put("op/evacuate/x", "whatever it says");
    for (const int node : {0, 1}) {
        CHECK(Fleet::waitFor(
            [&] { return fleet.call("POST", "/once/1", "during", node).status == 503; }));
        const HttpAnswer answer = fleet.call("POST", "/once/1", "refused", node);
        CHECK(answer.status == 503);
        CHECK(answer.body.find("domain-evacuated") != std::string::npos);
        CHECK(answer.headers.contains("retry-after"));
    }
    CHECK(fleet.first.runs("refused") + fleet.second.runs("refused") == 0);
    CHECK(fleet.metric("fordwood_evacuated_domains") == 1);
    fleet.store.remove("op/evacuate/x");
    for (const int node : {0, 1})
        CHECK(Fleet::waitFor(
            [&] { return fleet.call("GET", "/safe/1", "after", node).status == 200; }));
}

TEST_CASE("node: a request that is restricted to another region is rejected and does not run "
          "[node][homes]")
{
    Deployment fleet;
    fleet.start();
    const HttpAnswer answer = fleet.call("GET", "/abroad/1", "r-1");
    CHECK(answer.status == 503);
    CHECK(answer.body.find("no-upstream") != std::string::npos);
    CHECK(fleet.first.runs("r-1") + fleet.second.runs("r-1") == 0);
}

TEST_CASE("node: during a planned stop a node reports unready, serves requests, and then exits "
          "[node][stop]")
{
    Deployment fleet;
    fleet.start();
    fleet.nodes.front().signal(SIGHUP);
    CHECK(fleet.call("GET", "/safe/1", "r-1").status == 200);
    fleet.nodes.front().signal(SIGTERM);
    REQUIRE(Fleet::waitFor([&] { return !fleet.isReady(0); }));
    const HttpAnswer answer = fleet.call("GET", "/safe/1", "r-2");
    CHECK(answer.status == 200);
    CHECK(answer.headers.at("connection") == "close");
    CHECK(fleet.nodes.front().wait() == 0);
}

TEST_CASE("node: an idle caller connection uses little memory and can be used again "
          "[node][memory]")
{
    constexpr std::size_t kConnections = 1'000;
    // The bound that docs/operations/one-process.md states.
    constexpr std::size_t kMaxBytesEach = 4'096;
    Deployment fleet;
    fleet.start();
    const std::string address = fleet.host(0) + ":8080";
    const auto request = [](std::size_t n) {
        return "GET /safe/1 HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r-" + std::to_string(n)
               + "\r\nCredential: key-t\r\n\r\n";
    };
    IdleConnection first(address);
    REQUIRE(first.exchange(request(0), "answer to r-0"));
    const std::size_t before = fleet.nodes.front().usage().residentBytes;
    std::vector<IdleConnection> connections;
    for (std::size_t n = 1; n <= kConnections; ++n) {
        connections.emplace_back(address);
        REQUIRE(connections.back().exchange(request(n), "answer to r-" + std::to_string(n)));
    }
    const std::size_t after = fleet.nodes.front().usage().residentBytes;
    const std::size_t each = (after - std::min(before, after)) / kConnections;
    MESSAGE("bytes of resident memory for each idle connection: ", each);
    CHECK(each <= kMaxBytesEach);
    CHECK(connections.front().exchange(request(9'999), "answer to r-9999"));
}
