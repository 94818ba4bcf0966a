// SPDX-License-Identifier: MIT
// After a stall of its VM a node has outdated information and finds old answers in its sockets.
#include <doctest/doctest.h>

#include <atomic>
#include <future>

#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "node/context_store_watcher.hpp"
#include "node/node_state.hpp"
#include "standins/blocking_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

ContextStore storeAt(const std::string &address)
{
    ContextStore store;
    store.name = "s";
    store.address = address;
    store.capacityTokens = 1'000'000;
    return store;
}

// The serving thread's state with one context store in its configuration.
struct Serving
{
    Serving() : state(context, clock, settings, metrics)
    {
        ServingConfig config;
        config.stores.push_back(storeAt("127.0.0.1:1"));
        state.handle(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
    }

    void reportStore()
    {
        ContextStoreUpdate update;
        update.store = "s";
        update.epoch = 1;
        state.handle(ContextStoreUpdated{update, clock.now()});
    }

    boost::asio::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    NodeState state;
};

} // namespace

TEST_CASE("stall: after a stall a node waits until the context stores have answered "
          "[standstill]")
{
    Serving serving;
    serving.reportStore();
    CHECK_FALSE(serving.state.isRecoveringFromStall());
    serving.clock.advance(3s);
    CHECK(serving.state.isRecoveringFromStall());
    serving.reportStore();
    CHECK_FALSE(serving.state.isRecoveringFromStall());
}

TEST_CASE("stall: context stores that do not answer are waited for only briefly [standstill]")
{
    Serving serving;
    serving.reportStore();
    serving.clock.advance(3s);
    CHECK(serving.state.isRecoveringFromStall());
    serving.clock.advance(150ms);
    CHECK_FALSE(serving.state.isRecoveringFromStall());
}

TEST_CASE("stall: without a stall, context stores that do not answer are not waited for "
          "[standstill]")
{
    Serving serving;
    for (int n = 0; n < 50; ++n) {
        serving.clock.advance(100ms);
        serving.state.tick();
    }
    CHECK_FALSE(serving.state.isRecoveringFromStall());
}

TEST_CASE("stall: an answer that was left unread is dropped and requested again at once "
          "[standstill][stores]")
{
    const std::string address
        = "127.72." + std::to_string(static_cast<int>(getpid()) % 200 + 1) + ".1:7100";
    std::atomic<int> calls{0};
    std::promise<void> answerAllowed;
    std::promise<std::string> secondWait;
    const standins::BlockingServer server(address, [&](const standins::Request &request) {
        const int call = ++calls;
        if (call == 1)
            answerAllowed.get_future().wait();
        else if (call == 2)
            secondWait.set_value(request.header("wait-ms"));
        return standins::Answer{
            200,
            "application/json",
            R"({"epoch": 7, "next-token": 1, "clock_ms": 5, "lost": false, "events": []})",
            {},
            {},
            false,
            false};
    });
    REQUIRE(server.listening());

    boost::asio::io_context context;
    ManualClock clock;
    HttpClient client(context, clock);
    int published = 0;
    ContextStoreWatcher watcher(context, client, clock, [&](const FleetUpdate &) { ++published; });
    watcher.setStores({storeAt(address)});
    while (calls == 0)
        context.run_one_for(10ms);
    clock.advance(5s); // the VM stalls while the answer arrives
    answerAllowed.set_value();
    std::future<std::string> wait = secondWait.get_future();
    while (wait.wait_for(0s) != std::future_status::ready)
        context.run_one_for(10ms);
    CHECK(wait.get() == "0");
    CHECK(published == 0);
    while (published == 0)
        context.run_one_for(10ms);
    watcher.setStores({});
}
