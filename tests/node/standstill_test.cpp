// SPDX-License-Identifier: MIT
// A VM that stood still for a while knows old things and finds old answers in its sockets.
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

// The serving thread's state, with one store of kept context in its configuration.
struct Serving
{
    Serving() : traffic(context, clock, settings, metrics)
    {
        ServingConfig config;
        config.stores.push_back(storeAt("127.0.0.1:1"));
        traffic.handle(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
    }

    void tellStore()
    {
        ContextStoreUpdate news;
        news.store = "s";
        news.epoch = 1;
        traffic.handle(ContextStoreUpdated{news, clock.now()});
    }

    boost::asio::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    NodeState traffic;
};

} // namespace

TEST_CASE("standstill: a node that wakes waits for a word of the stores, for a moment only "
          "[standstill]")
{
    Serving serving;
    serving.tellStore();
    CHECK_FALSE(serving.traffic.isRecoveringFromStall());
    serving.clock.advance(3s);
    CHECK(serving.traffic.isRecoveringFromStall());
    serving.tellStore();
    CHECK_FALSE(serving.traffic.isRecoveringFromStall());
}

TEST_CASE("standstill: stores that stay silent hold nobody up for long [standstill]")
{
    Serving serving;
    serving.tellStore();
    serving.clock.advance(3s);
    CHECK(serving.traffic.isRecoveringFromStall());
    serving.clock.advance(150ms);
    CHECK_FALSE(serving.traffic.isRecoveringFromStall());
}

TEST_CASE("standstill: stores that are silent while the node runs are not waited for [standstill]")
{
    Serving serving;
    for (int n = 0; n < 50; ++n) {
        serving.clock.advance(100ms);
        serving.traffic.tick();
    }
    CHECK_FALSE(serving.traffic.isRecoveringFromStall());
}

TEST_CASE("standstill: an answer that lay unread is asked for anew, at once [standstill][stores]")
{
    const std::string address
        = "127.72." + std::to_string(static_cast<int>(getpid()) % 200 + 1) + ".1:7100";
    std::atomic<int> calls{0};
    std::promise<void> mayAnswer;
    std::promise<std::string> secondWait;
    const standins::BlockingServer server(address, [&](const standins::Request &request) {
        const int call = ++calls;
        if (call == 1)
            mayAnswer.get_future().wait();
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
    HttpClient caller(context, clock);
    int told = 0;
    ContextStoreWatcher watch(context, caller, clock, [&](const FleetUpdate &) { ++told; });
    watch.setStores({storeAt(address)});
    while (calls == 0)
        context.run_one_for(10ms);
    clock.advance(5s); // the VM stands still while the answer comes
    mayAnswer.set_value();
    std::future<std::string> wait = secondWait.get_future();
    while (wait.wait_for(0s) != std::future_status::ready)
        context.run_one_for(10ms);
    CHECK(wait.get() == "0");
    CHECK(told == 0);
    while (told == 0)
        context.run_one_for(10ms);
    watch.setStores({});
}
