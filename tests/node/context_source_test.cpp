// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "node/upstream_choice.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

ServicePool models()
{
    ServicePool pool;
    pool.name = "models";
    pool.engine = EngineTraits{16, 100'000, {"m"}, 0};
    return pool;
}

UpstreamRecord engine(int number)
{
    UpstreamRecord record;
    record.instanceId = record.announcedId = "e" + std::to_string(number);
    record.service = "models";
    record.address = ownAddress(60 + number);
    record.weightVersions["m"] = 1;
    return record;
}

// A request to the service as the node and its scheduler see it.
struct PlacedCall
{
    platform::CallerHead caller;
    AdmittedCall call;
    PlacementRequest request;
};

PlacedCall longPrompt(const NodeState &state)
{
    PlacedCall placed;
    placed.caller.prompt = Prompt{"m", {{"c1", 7'520}, {"own", 1'670}}, 9'190, 9};
    placed.call.table = state.table();
    placed.call.route = &placed.call.table->config().routes.front();
    placed.call.pool = placed.call.table->findService("models");
    placed.request.service = "models";
    placed.request.prompt = *placed.caller.prompt;
    placed.request.remaining = 10s;
    return placed;
}

} // namespace

// Guards against fetches from an address that the sending node knows to be unusable: a dead engine
// delays the first token by several hundred milliseconds.
TEST_CASE("context sources: a node fetches from the engine that the scheduler names, if it can use "
          "it [health][routing]")
{
    ServingThread thread(models());
    NodeState &state = thread.traffic();
    for (int n = 0; n < 2; ++n)
        thread.write(engine(n));
    auto [caller, call, request] = longPrompt(state);
    EngineScheduler scheduler(state, state.clock());
    const PlacementReply first = scheduler.place(request);
    thread.advance(first.firstTokenDelay + 1ms); // the reply has whole milliseconds
    scheduler.apply({7, {{1, first.instanceId, {200'000, 0}, 10s}}, {}, {}, {}}); // it becomes busy
    request.id.number = 1;
    auto reply
        = std::get<PlacementReply>(*decodePlacement(encodePlacement(scheduler.place(request))));
    REQUIRE(reply.sourceEngine == state.upstreams().find(first.instanceId)->address);
    CHECK(reply.tokensToCompute == 1'670);
    const auto check = [&, &caller = caller, &call = call](const std::string &fetchField,
                                                           std::size_t tokensToCompute) {
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
    ServingThread thread(models());
    NodeState &state = thread.traffic();
    UpstreamRecord record = engine(0);
    record.softwareVersion = "v2";
    thread.write(record);
    auto [caller, call, request] = longPrompt(state);
    EngineScheduler scheduler(state, state.clock());
    const PlacementReply reply = scheduler.place(request);
    const auto attemptFor = [&state, &caller = caller, &call = call,
                             &reply](const std::optional<StreamOrigin> &origin) {
        return scheduledAttempt(state, call, caller, CallPlan(call.terms), reply, origin);
    };
    CHECK(attemptFor({}));
    CHECK(attemptFor(StreamOrigin{"models", "v2"}));
    CHECK(!attemptFor(StreamOrigin{"models", "v1"}));
}
