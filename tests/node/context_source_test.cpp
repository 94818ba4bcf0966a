// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "node/upstream_choice.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

// Guards against fetches from an address that the sending node knows to be unusable: a dead engine
// delays the first token by several hundred milliseconds.
TEST_CASE("context sources: a node fetches from the engine that the scheduler names, if it can use "
          "it [health][routing]")
{
    ServicePool pool;
    pool.name = "models";
    pool.engine = EngineTraits{16, 100'000, {"m"}, 0};
    ServingThread thread(pool);
    NodeState &state = thread.traffic();
    for (int n = 0; n < 2; ++n) {
        UpstreamRecord record;
        record.instanceId = record.announcedId = "e" + std::to_string(n);
        record.service = "models";
        record.address = ownAddress(60 + n);
        record.weightVersions["m"] = 1;
        thread.write(record);
    }
    platform::CallerHead caller;
    caller.prompt = Prompt{"m", {{"c1", 7'520}, {"own", 1'670}}, 9'190, 9};
    AdmittedCall call;
    call.table = state.table();
    call.route = &call.table->config().routes.front();
    call.pool = call.table->findService("models");
    EngineScheduler scheduler(state, state.clock());
    PlacementRequest request;
    request.service = "models";
    request.prompt = *caller.prompt;
    request.remaining = 10s;
    const PlacementReply first = scheduler.place(request);
    thread.advance(first.firstTokenDelay + 1ms); // the reply has whole milliseconds
    scheduler.apply({7, {{1, first.instanceId, {200'000, 0}, 10s}}, {}, {}, {}}); // it becomes busy
    request.id.number = 1;
    auto reply
        = std::get<PlacementReply>(*decodePlacement(encodePlacement(scheduler.place(request))));
    REQUIRE(reply.sourceEngine == state.upstreams().find(first.instanceId)->address);
    CHECK(reply.tokensToCompute == 1'670);
    const auto check = [&](const std::string &fetchField, std::size_t tokensToCompute) {
        const auto attempt = scheduledAttempt(state, call, caller, CallPlan(call.terms), reply, {});
        REQUIRE(attempt);
        CHECK(upstreamHead({}, call, *attempt, {})["Kv-Fetch"] == fetchField);
        CHECK(attempt->load.tokensToCompute == tokensToCompute);
    };
    check(reply.sourceEngine + ",-", 1'670);
    CHECK(state.metrics().text().find("fordwood_context_from_engines_total 1")
          != std::string::npos);
    state.health().failed(first.instanceId);
    check("", 9'190);
    state.health().succeeded(first.instanceId);
    reply.sourceEngine = "10.0.0.9:80"; // of no engine
    check("", 9'190);
}

TEST_CASE("context sources: an engine of another software version than the stream's is not used")
{
    ServicePool pool;
    pool.name = "models";
    pool.engine = EngineTraits{16, 100'000, {"m"}, 0};
    ServingThread thread(pool);
    NodeState &state = thread.traffic();
    UpstreamRecord record;
    record.instanceId = record.announcedId = "e0";
    record.service = "models";
    record.softwareVersion = "v2";
    record.address = ownAddress(60);
    record.weightVersions["m"] = 1;
    thread.write(record);
    platform::CallerHead caller;
    caller.prompt = Prompt{"m", {{"c1", 7'520}, {"own", 1'670}}, 9'190, 9};
    AdmittedCall call;
    call.table = state.table();
    call.route = &call.table->config().routes.front();
    call.pool = call.table->findService("models");
    EngineScheduler scheduler(state, state.clock());
    PlacementRequest request;
    request.service = "models";
    request.prompt = *caller.prompt;
    request.remaining = 10s;
    const PlacementReply reply = scheduler.place(request);
    const auto attemptFor = [&](const std::optional<StreamOrigin> &origin) {
        return scheduledAttempt(state, call, caller, CallPlan(call.terms), reply, origin);
    };
    CHECK(attemptFor({}));
    CHECK(attemptFor(StreamOrigin{"models", "v2"}));
    CHECK(!attemptFor(StreamOrigin{"models", "v1"}));
}
