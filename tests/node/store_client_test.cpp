// SPDX-License-Identifier: MIT
// How a node follows the platform's store while the store is in trouble.
#include "node/store_client.hpp"

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "adapters/observe/metrics.hpp"
#include "fordwood/manual_clock.hpp"
#include "node/internal_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A client, and a store that rejects all calls while it is down and answers a watch at once.
struct StoreFixture : private StoreListener
{
    StoreFixture()
        : server(context, [this](std::string_view target) { return answer(target); }),
          client(context, clock), store(context, client, clock, metrics, address(), replica, *this)
    {
        ErrorCode ec;
        REQUIRE(server.listen(address(), ec));
    }

    static std::string address()
    {
        return "127.73.1.1:" + std::to_string(20'000 + getpid() % 20'000);
    }

    ServedReply answer(std::string_view target)
    {
        targets.emplace_back(target);
        if (isDown)
            return makeReply(503);
        if (target.starts_with("/api/kv-range"))
            return makeReply(200, R"({"items":[],"more":false,"at":7})");
        return makeReply(200, R"({"events":[],"at":7})");
    }

    void onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes & /*times*/) override
    {
        replica.merge(changes);
    }
    void onReachabilityChange(bool reachable) override { isReachable = reachable; }

    // Runs the client until the store has got `n` further calls. Returns these.
    std::vector<std::string> callsUntil(std::size_t n)
    {
        targets.clear();
        while (targets.size() < n)
            context.run_one_for(10ms);
        return targets;
    }

    bool isDown = false;
    bool isReachable = true;
    std::vector<std::string> targets;
    net::io_context context;
    ManualClock clock;
    InternalServer server;
    HttpClient client;
    adapters::Metrics metrics;
    StoreReplica replica;
    StoreClient store;
};

bool isLongWatch(const std::string &target)
{
    return target.ends_with("wait-ms=20000");
}

} // namespace

// Guards against nodes that learn of no change for 19 s after the store is back: it rejected calls,
// and the next watch was sent into a silence that no answer ends.
TEST_CASE("store client: after a failure, a read that is answered at once comes before the next "
          "watch [outage]")
{
    StoreFixture fixture;
    fixture.store.start();
    const auto started = fixture.callsUntil(2);
    CHECK(started[0].starts_with("/api/kv-range"));
    CHECK(isLongWatch(started[1]));
    fixture.isDown = true;
    fixture.callsUntil(1); // the watch whose failure begins the outage
    for (const std::string &it : fixture.callsUntil(3))
        CHECK_FALSE(isLongWatch(it));
    CHECK_FALSE(fixture.isReachable);
    fixture.isDown = false;
    const auto after = fixture.callsUntil(2);
    CHECK_FALSE(isLongWatch(after[0]));
    CHECK(isLongWatch(after[1]));
    CHECK(fixture.isReachable);
}
