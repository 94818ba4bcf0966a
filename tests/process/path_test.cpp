// SPDX-License-Identifier: MIT
// Tests the path from caller to upstream with real processes.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include "process/fleet.hpp"

using namespace fordwood::process;
using Json = nlohmann::json;

namespace {

std::string completion(bool stream, int tokens = 8)
{
    return Json{{"model", "m"},
                {"messages", Json::array({{{"role", "user"}, {"content", "hello"}}})},
                {"max_tokens", tokens},
                {"stream", stream}}
        .dump();
}

std::string list(const std::vector<std::string> &addresses)
{
    return Json(addresses).dump();
}

std::string mixedWorkload(const Fleet &fleet, int requests, double rate)
{
    return "[run]\ntargets = "
           + list(fleet.addresses([&](int it) { return fleet.entryAddress(it); }, fleet.nodes()))
           + "\nengines = "
           + list(fleet.addresses([&](int it) { return fleet.engineAddress(it); }, fleet.engines()))
           + "\nservices = [\"" + fleet.serviceAddress() + "\"]\nrate = " + std::to_string(rate)
           + "\nrequests = " + std::to_string(requests)
           + "\n[[conversation]]\nteam = \"team-0\"\nkey = \"key-0\"\nmodel = \"m\"\n"
             "contexts = 10\ncontext_tokens = 200\nnew_tokens = 8\nreturns = 1\nreturn_gap = "
             "\"200ms\"\n"
             "[[conversation]]\nteam = \"team-1\"\nkey = \"key-1\"\nmodel = \"m\"\nstream = false\n"
             "[[conversation]]\nteam = \"team-1\"\nkey = \"key-1\"\npath = \"/once\"\n";
}

} // namespace

TEST_CASE("path: streamed, complete, plain and rejected requests through every node [path]")
{
    Fleet fleet;
    fleet.start();
    for (int node = 0; node < fleet.nodes(); ++node) {
        CAPTURE(node);
        const auto streamed = httpCall("POST", fleet.caller(node) + "/v1/chat/completions",
                                       completion(true), {Fleet::bearer()});
        CHECK(streamed.status == 200);
        CHECK(streamed.isComplete);
        CHECK(streamed.headers.at("fordwood-verdict") == "ran");
        CHECK(streamed.body.find("data: [DONE]") != std::string::npos);
        const auto whole = httpCall("POST", fleet.caller(node) + "/v1/chat/completions",
                                    completion(false), {Fleet::bearer()});
        CHECK(whole.status == 200);
        CHECK(Json::parse(whole.body)["choices"][0]["finish_reason"] == "length");
        const auto plain = httpCall("POST", fleet.caller(node) + "/once", "x",
                                    {Fleet::bearer(1), "X-Request-Id: " + std::to_string(node)});
        CHECK(Json::parse(plain.body)["team"] == "team-1");
        const auto models
            = httpCall("GET", fleet.caller(node) + "/v1/models", "", {Fleet::bearer()});
        CHECK(Json::parse(models.body)["data"][0]["id"] == "m");
        const auto refused = httpCall("POST", fleet.caller(node) + "/v1/chat/completions",
                                      completion(false), {"Authorization: Bearer nobody"});
        CHECK(refused.status == 401);
        CHECK(refused.headers.at("fordwood-verdict") == "not-run");
        CHECK(refused.headers.at("fordwood-reason") == "unknown-team");
    }
    std::string status;
    CHECK(fleet.ctl({"status", "--node", fleet.controlAddress(0), "--node", fleet.controlAddress(1),
                     "--node", fleet.controlAddress(2)},
                    &status)
          == 0);
    CHECK(status.find("all on the same version") != std::string::npos);
    for (auto &it : fleet.entryds)
        CHECK(it.terminate() == 0);
    for (auto &it : fleet.controlds)
        CHECK(it.terminate() == 0);
    CHECK(fleet.platform.terminate() == 0);
}

TEST_CASE(
    "path: of 2000 requests through three nodes none is lost, run twice, truncated or mixed up "
    "[path]")
{
    Fleet fleet;
    fleet.start();
    std::string result;
    CHECK(fleet.load(mixedWorkload(fleet, 2000, 300), result) == 0);
    const Json json = Json::parse(result);
    CHECK(json["outcomes"]["lost"] == 0);
    CHECK(json["outcomes"]["truncated"] == 0);
    CHECK(json["outcomes"]["crossed"] == 0);
    CHECK(json["outcomes"]["broken"] == 0);
    CHECK(json["doubled_runs"] == 0);
    CHECK(json["outcomes"]["answered"].get<int>() + json["outcomes"]["refused"].get<int>() == 2000);
}

TEST_CASE("path: the run is cancelled when the caller disconnects mid-stream [caller]")
{
    Fleet fleet({1, 1, 1, 1, {"token_ms=50"}, ""});
    fleet.start();
    const std::string body = completion(true, 1000);
    rawCall(fleet.entryAddress(0),
            "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + Fleet::bearer()
                + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body,
            "data: ");
    CHECK(Fleet::waitFor([&] {
        return Json::parse(
                   httpCall("GET", "http://" + fleet.engineAddress(0) + "/stats").body)["cancelled"]
               == 1;
    }));
    CHECK(fleet.metric(0, "fordwood_refusals_total", "caller-left") == 1);
    // The only slot is free again.
    CHECK(httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(true, 2),
                   {Fleet::bearer()})
              .isComplete);
}

TEST_CASE("path: the run is cancelled when the caller disconnects before the first token [caller]")
{
    Fleet fleet({1, 1, 1, 1, {"token_ms=1", "prefill_rate=10"}, ""});
    fleet.start();
    const std::string body = completion(true, 100000);
    sendAndClose(fleet.entryAddress(0),
                 "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" + Fleet::bearer()
                     + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    CHECK(Fleet::waitFor(
        [&] { return fleet.metric(0, "fordwood_refusals_total", "caller-left") == 1; }));
    CHECK(Fleet::waitFor([&] {
        return Json::parse(
                   httpCall("GET", "http://" + fleet.engineAddress(0) + "/stats").body)["cancelled"]
               == 1;
    }));
}

// Guards against a stream that is cut because its caller has closed its sending side.
TEST_CASE("path: a stream goes on after its caller has closed its sending side [caller]")
{
    Fleet fleet({1, 1, 1, 1, {"token_ms=50"}, ""});
    fleet.start();
    const std::string body = completion(true, 30);
    const std::string answer = halfClosedCall(fleet.entryAddress(0),
                                              "POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
                                                  + Fleet::bearer() + "\r\nContent-Length: "
                                                  + std::to_string(body.size()) + "\r\n\r\n" + body,
                                              "data: ");
    CHECK_MESSAGE(answer.find("data: [DONE]") != std::string::npos, answer);
    CHECK(fleet.metric(0, "fordwood_refusals_total", "caller-left") == 0);
}

TEST_CASE("path: a request that is not repeatable is not resent when its connection breaks [once]")
{
    Fleet fleet({1, 1, 1, 1, {}, ""});
    fleet.start();
    const std::string faults = "http://" + fleet.serviceAddress() + "/faults";
    const auto call = [&](const std::string &path, const std::string &id) {
        return httpCall("POST", fleet.caller(0) + path, "x",
                        {Fleet::bearer(), "X-Request-Id: " + id});
    };
    // Leaves an idle connection to the upstream, which the next request reuses.
    REQUIRE(call("/once", "first").status == 200);
    httpCall("PUT", faults, R"({"close_after_run": 1})");
    const auto cut = call("/once", "second");
    CHECK(cut.status == 502);
    CHECK(cut.headers.at("fordwood-verdict") == "may-have-run");
    const Json runs
        = Json::parse(httpCall("GET", "http://" + fleet.serviceAddress() + "/runs").body);
    CHECK(runs["doubled"].empty());
    CHECK(runs["distinct"] == 2);
}

TEST_CASE("path: a request that the upstream reports as not run is retried, even if not repeatable "
          "[retry]")
{
    Fleet fleet({1, 2, 1, 4, {}, ""});
    fleet.start();
    for (int it = 0; it < 2; ++it)
        httpCall("PUT", "http://" + fleet.engineAddress(it) + "/faults", R"({"refuse": 1})");
    // Both engines reject once, and each rejection is retried at the other engine.
    const auto answer = httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(true),
                                 {Fleet::bearer(), "Fordwood-Repeatable: false"});
    CHECK(answer.status == 200);
    CHECK(answer.isComplete);
    CHECK(fleet.metric(0, "fordwood_retries_total", "upstream-pushback") == 2);
}

TEST_CASE(
    "path: an answer that breaks off ends with an error event, not like a complete one [whole]")
{
    Fleet fleet({1, 1, 1, 4, {}, ""});
    fleet.start();
    httpCall("PUT", "http://" + fleet.engineAddress(0) + "/faults", R"({"cut_after_tokens": 3})");
    const auto answer = httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(true),
                                 {Fleet::bearer()});
    CHECK(answer.status == 200);
    CHECK_FALSE(answer.isComplete);
    CHECK(answer.body.find("event: error") != std::string::npos);
    CHECK(answer.body.find("answer-cut") != std::string::npos);
    CHECK(answer.body.find("[DONE]") == std::string::npos);
}

TEST_CASE(
    "path: a stream whose engine dies resumes at another, with no token lost or repeated [whole]")
{
    FleetSize size{1, 3, 1, 4, {"token_ms=20"}, ""};
    size.resumes = true;
    Fleet fleet(size);
    fleet.start();
    HttpAnswer streamed;
    std::thread caller([&] {
        streamed = httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(true, 60),
                            {Fleet::bearer()});
    });
    int serving = -1;
    Fleet::waitFor([&] {
        for (int it = 0; it < 3; ++it) {
            const auto stats = httpCall("GET", "http://" + fleet.engineAddress(it) + "/stats");
            serving = Json::parse(stats.body)["running"] == 1 ? it : serving;
        }
        return serving >= 0;
    });
    REQUIRE(serving >= 0);
    // Once a second request is answered, the stream has forwarded some tokens.
    httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(false, 4),
             {Fleet::bearer()});
    fleet.engineProcesses[static_cast<std::size_t>(serving)].kill();
    caller.join();
    CHECK(streamed.isComplete);
    CHECK(streamed.body.find("[DONE]") != std::string::npos);
    CHECK(streamed.body.find("event: error") == std::string::npos);
    for (int it = 1; it < 59; ++it) {
        const std::string token = "\"w" + std::to_string(it) + " \"";
        const std::size_t first = streamed.body.find(token);
        CAPTURE(token);
        CHECK(first != std::string::npos);
        CHECK(streamed.body.find(token, first + 1) == std::string::npos);
    }
    CHECK(fleet.metric(0, "fordwood_resumed_streams_total") == 1);
}

// Guards against a token that is lost in the half of an event before it.
TEST_CASE("path: a stream that ends in the middle of an event resumes at another engine with whole "
          "events [whole]")
{
    FleetSize size{1, 3, 1, 4, {}, ""};
    size.resumes = true;
    Fleet fleet(size);
    fleet.start();
    for (int it = 0; it < 3; ++it)
        httpCall("PUT", "http://" + fleet.engineAddress(it) + "/faults", R"({"end_in_event": 3})");
    const auto answer = httpCall("POST", fleet.caller(0) + "/v1/chat/completions",
                                 completion(true, 8), {Fleet::bearer()});
    CHECK(answer.isComplete);
    std::string tokens;
    std::istringstream lines(answer.body);
    for (std::string line; std::getline(lines, line);) {
        const Json event = line.starts_with("data: {") ? Json::parse(line.substr(6), nullptr, false)
                                                       : Json::object();
        CHECK_MESSAGE(!event.is_discarded(), line);
        if (event.contains("choices"))
            tokens += event["choices"][0]["delta"]["content"].get<std::string>();
    }
    CHECK(tokens.ends_with("w1 w2 w3 w4 w5 w6 end"));
    CHECK(answer.body.ends_with("data: [DONE]\n\n"));
    CHECK(fleet.metric(0, "fordwood_resumed_streams_total") == 1);
}

TEST_CASE("path: new weights are loaded while requests run, and no request is lost [weights]")
{
    Fleet fleet({3, 4, 3, 8, {"token_ms=5", "load_ms=300"}, ""});
    fleet.start();
    std::string text;
    std::thread load([&] { fleet.load(mixedWorkload(fleet, 600, 100), text); });
    Fleet::waitFor([&] { return fleet.metric(0, "fordwood_answers_total") >= 20; });
    std::string configuration = fleet.configuration();
    configuration.replace(configuration.find("\"v1\""), 4, "\"v2\"");
    CHECK(fleet.submit(configuration) == 0);
    load.join();
    CAPTURE(text);
    const Json result = Json::parse(text);
    CHECK(result["outcomes"]["answered"] == 600);
    CHECK(result["doubled_runs"] == 0);
    for (int it = 0; it < 4; ++it) {
        CAPTURE(it);
        const auto stats
            = Json::parse(httpCall("GET", "http://" + fleet.engineAddress(it) + "/stats").body);
        CHECK(stats["version"] == "v2");
        CHECK(stats["overlapping_orders"] == 0);
    }
}

TEST_CASE(
    "path: a team reuses its own context in an engine, but not that of other teams [isolation]")
{
    Fleet fleet({1, 1, 1, 8, {}, ""});
    fleet.start();
    const std::string prompt(4096, 'p');
    const auto uncachedAfter = [&](int team) {
        const std::string body = Json{{"model", "m"}, {"prompt", prompt}, {"max_tokens", 2}}.dump();
        CHECK(httpCall("POST", fleet.caller(0) + "/v1/completions", body, {Fleet::bearer(team)})
                  .status
              == 200);
        const auto stats = httpCall("GET", "http://" + fleet.engineAddress(0) + "/stats").body;
        return Json::parse(stats)["uncached_tokens"].get<int>();
    };
    const int first = uncachedAfter(0);
    CHECK(first >= 1024);
    CHECK(uncachedAfter(0) == first); // all of it was cached
    CHECK(uncachedAfter(1) == 2 * first); // none of it was cached for this team
}

TEST_CASE("path: both example configurations serve requests at their full size [examples]")
{
    struct Example
    {
        std::string name;
        int engines;
        std::string model;
        std::string key;
        std::string path;
    };
    const std::vector<Example> examples{
        {"notice-boards", 18, "notices", "demo-key-bergamo-board", "/board/post"},
        {"montevideo", 14, "assistant", "demo-key-support-desk", "/billing"},
    };
    for (const Example &it : examples) {
        CAPTURE(it.name);
        FleetSize size{3, it.engines, 3, 8, {"token_ms=1", "model=" + it.model}, ""};
        size.example = it.name;
        Fleet fleet(size);
        fleet.start();
        const std::vector<std::string> headers{"Authorization: Bearer " + it.key};
        const std::string body
            = Json{{"model", it.model}, {"prompt", "How do I start?"}, {"max_tokens", 4}}.dump();
        for (int node = 0; node < 3; ++node) {
            CHECK(httpCall("POST", fleet.caller(node) + "/v1/completions", body, headers).status
                  == 200);
            CHECK(httpCall("POST", fleet.caller(node) + it.path, "text", headers).status == 200);
        }
        std::string text;
        CHECK(fleet.ctl({"status", "--node", fleet.controlAddress(0), "--output", "json"}, &text)
              == 0);
        CAPTURE(text);
        const int owned = Json::parse(text)["nodes"][0]["owned_upstreams"];
        CHECK(owned > 0);
    }
}

TEST_CASE("path: controld is killed and restarted while streams run and requests arrive [recovery]")
{
    Fleet fleet({1, 2, 1, 8, {"token_ms=20"}, ""});
    fleet.start();
    HttpAnswer streamed;
    std::thread caller([&] {
        streamed = httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(true, 100),
                            {Fleet::bearer()});
    });
    Fleet::waitFor([&] { return fleet.metric(0, "fordwood_in_flight") >= 1; });
    fleet.controlds[0].kill();
    const auto without = httpCall("POST", fleet.caller(0) + "/v1/chat/completions",
                                  completion(false, 2), {Fleet::bearer()});
    CHECK(without.status == 200);
    CHECK(fleet.metric(0, "fordwood_retries_total", "owner-silent") >= 1);
    fleet.startControld(0);
    caller.join();
    CHECK(streamed.isComplete);
    CHECK(streamed.body.find("[DONE]") != std::string::npos);
    CHECK(httpCall("GET", fleet.caller(0) + "/readyz").status == 200);
}

TEST_CASE("path: a planned stop finishes every answer and rejects new requests as not run [stop]")
{
    Fleet fleet({1, 1, 1, 4, {"token_ms=20"}, ""});
    fleet.start();
    HttpAnswer streamed;
    std::thread caller([&] {
        streamed = httpCall("POST", fleet.caller(0) + "/v1/chat/completions", completion(true, 100),
                            {Fleet::bearer()});
    });
    Fleet::waitFor([&] { return fleet.metric(0, "fordwood_in_flight") >= 1; });
    fleet.entryds[0].signal(SIGTERM);
    CHECK(
        Fleet::waitFor([&] { return httpCall("GET", fleet.caller(0) + "/readyz").status == 503; }));
    HttpAnswer refused;
    CHECK(Fleet::waitFor([&] {
        refused = httpCall("POST", fleet.caller(0) + "/once", "x",
                           {Fleet::bearer(), "X-Request-Id: late"});
        return refused.status == 503;
    }));
    CHECK(refused.headers.at("fordwood-reason") == "stopping");
    CHECK(refused.headers.at("fordwood-verdict") == "not-run");
    CHECK(fleet.entryds[0].wait() == 0);
    caller.join();
    CHECK(streamed.isComplete);
    CHECK(streamed.body.find("[DONE]") != std::string::npos);
}

TEST_CASE("path: an upstream that the VM list marks as leaving gets no new requests [leaving]")
{
    Fleet fleet({2, 2, 1, 8, {}, ""});
    fleet.start();
    const auto runsOf = [&](int engine) {
        return Json::parse(
                   httpCall("GET", "http://" + fleet.engineAddress(engine) + "/stats").body)["runs"]
            .get<int>();
    };
    fleet.publishVms({"engine-0"});
    for (int node = 0; node < 2; ++node) {
        CHECK(Fleet::waitFor([&] {
            return httpCall("GET", fleet.controlMetrics(node) + "/metrics")
                       .body.find("fordwood_leaving_upstreams 1")
                   != std::string::npos;
        }));
    }
    // From here on no permit is granted and no entry node sends. No earlier request is still
    // running.
    CHECK(Fleet::waitFor([&] {
        return fleet.metric(0, "fordwood_leaving_upstreams") == 1
               && fleet.metric(1, "fordwood_leaving_upstreams") == 1;
    }));
    const int before = runsOf(0);
    for (int it = 0; it < 20; ++it)
        CHECK(httpCall("POST", fleet.caller(it % 2) + "/v1/chat/completions",
                       Json{{"model", "m"},
                            {"prompt", std::to_string(it)},
                            {"max_tokens", 2},
                            {"messages",
                             Json::array({{{"role", "user"}, {"content", std::to_string(it)}}})}}
                           .dump(),
                       {Fleet::bearer()})
                  .status
              == 200);
    CHECK(runsOf(0) == before);
    CHECK(runsOf(1) >= 20);
}

namespace {

// Returns a UUID of version 7 with the current time.
std::string newKey(int number)
{
    const auto now = std::chrono::duration_cast<std::chrono::milliseconds>(
                         std::chrono::system_clock::now().time_since_epoch())
                         .count();
    char text[64];
    std::snprintf(text, sizeof text, "%08llx-%04llx-7000-8000-%012x",
                  static_cast<unsigned long long>(now >> 16),
                  static_cast<unsigned long long>(now & 0xffff), static_cast<unsigned>(number));
    return text;
}

HttpAnswer callWithKey(const Fleet &fleet, int node, const std::string &key, int team = 0)
{
    return httpCall("POST", fleet.caller(node) + "/once", "x",
                    {Fleet::bearer(team), "X-Request-Id: " + key, "Idempotency-Key: " + key});
}

Json runsOf(const Fleet &fleet)
{
    return Json::parse(httpCall("GET", "http://" + fleet.serviceAddress() + "/runs").body);
}

// Waits until the nodes accept idempotency keys, which needs tenures that cover the present.
bool waitForKeys(const Fleet &fleet, int nodes)
{
    int number = 1000;
    return Fleet::waitFor([&] {
        int taken = 0;
        for (int it = 0; it < 8; ++it)
            taken += callWithKey(fleet, it % nodes, newKey(++number)).status == 200 ? 1 : 0;
        return taken == 8;
    });
}

} // namespace

TEST_CASE("path: a planned stop of a VM hands its keys over to the other VMs [at-most-once][stop]")
{
    Fleet fleet;
    fleet.start();
    REQUIRE(waitForKeys(fleet, fleet.nodes()));
    std::vector<std::string> keys;
    for (int it = 0; it < 30; ++it) {
        keys.push_back(newKey(it));
        CHECK(callWithKey(fleet, it % fleet.nodes(), keys.back()).status == 200);
        // Wait until the holder has recorded the answer.
        CHECK(Fleet::waitFor([&] { return callWithKey(fleet, 0, keys.back()).status == 200; }));
    }
    const int before = runsOf(fleet)["total"];
    fleet.entryds[0].signal(SIGTERM);
    CHECK(fleet.entryds[0].wait() == 0);
    fleet.controlds[0].signal(SIGTERM);
    CHECK(fleet.controlds[0].wait() == 0);
    for (const std::string &it : keys) {
        // The other nodes learn of the stop a moment later.
        HttpAnswer again;
        CHECK(Fleet::waitFor([&] {
            again = callWithKey(fleet, 1, it);
            return again.status == 200;
        }));
        CAPTURE(again.body);
        CHECK(again.headers.count("fordwood-repeated") == 1);
    }
    CHECK(runsOf(fleet)["total"] == before);
}

TEST_CASE("path: requests with the same key run once, whichever nodes receive them [at-most-once]")
{
    Fleet fleet;
    fleet.start();
    REQUIRE(waitForKeys(fleet, 3));
    for (int it = 0; it < 10; ++it) {
        const std::string key = newKey(it);
        const auto first = callWithKey(fleet, it % 3, key);
        CHECK(first.status == 200);
        // The holder may record the answer a moment after the caller has received it.
        HttpAnswer again;
        CHECK(Fleet::waitFor([&] {
            again = callWithKey(fleet, (it + 1) % 3, key);
            return again.status != 409;
        }));
        CHECK(again.status == 200);
        CHECK(again.body == first.body);
        CHECK(again.headers.count("fordwood-repeated") == 1);
    }
    CHECK(runsOf(fleet)["doubled"].empty());
    CHECK(callWithKey(fleet, 0, "no-uuid").status == 400);
}

TEST_CASE("path: a request with a key that may have run is not run again after its answer was lost")
{
    Fleet fleet;
    fleet.start();
    REQUIRE(waitForKeys(fleet, 3));
    httpCall("PUT", "http://" + fleet.serviceAddress() + "/faults", R"({"close_after_run": 1})");
    const std::string key = newKey(1);
    const auto cut = callWithKey(fleet, 0, key);
    CHECK(cut.status == 502);
    CHECK(cut.headers.at("fordwood-verdict") == "may-have-run");
    const auto again = callWithKey(fleet, 1, key);
    CHECK(again.status == 409);
    CHECK(again.headers.at("fordwood-verdict") == "may-have-run");
    CHECK(runsOf(fleet)["doubled"].empty());
}

TEST_CASE("path: when the holder of a key dies, the request is not run again [at-most-once]")
{
    Fleet fleet;
    fleet.start();
    REQUIRE(waitForKeys(fleet, 3));
    std::vector<std::string> keys;
    for (int it = 0; it < 12; ++it) {
        keys.push_back(newKey(it));
        CHECK(callWithKey(fleet, 0, keys.back()).status == 200);
    }
    fleet.controlds[1].kill();
    fleet.controlds[2].kill();
    fleet.startControld(1);
    fleet.startControld(2);
    for (const std::string &it : keys) {
        const auto again = callWithKey(fleet, 0, it);
        CAPTURE(again.body);
        // Either the stored answer, or an error that does not claim that the request did not run.
        if (again.status != 200)
            CHECK(again.headers.at("fordwood-verdict") != "not-run");
    }
    CHECK(runsOf(fleet)["doubled"].empty());
    // New keys are accepted again once new tenures cover the present.
    CHECK(waitForKeys(fleet, 3));
    CHECK(runsOf(fleet)["doubled"].empty());
}
