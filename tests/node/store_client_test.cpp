// SPDX-License-Identifier: MIT
// How a node follows the platform's store while the store is in trouble.
#include "node/store_client.hpp"

#include <algorithm>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <openssl/evp.h>
#include <unistd.h>

#include "adapters/observe/metrics.hpp"
#include "fordwood/manual_clock.hpp"
#include "node/internal_server.hpp"
#include "node/replica_sources.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A client, and a store that rejects all calls while it is down and answers a watch at once. Its
// content are `pages` pages of one key each.
struct StoreFixture : private StoreListener
{
    StoreFixture()
        : server(context, [this](std::string_view target) { return answer(target); }),
          client(context, clock),
          store(context, client, clock, metrics, {address(), "n"}, replica, *this)
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
        if (target.starts_with("/api/kv-range?path-prefix=&") || target.ends_with("path-prefix="))
            return page(target);
        if (target.starts_with("/api/kv-range"))
            return makeReply(200, R"({"items":[)" + sources + R"(],"more":false,"at":7})");
        return makeReply(200, R"({"events":[],"at":7})");
    }

    // The keys are "k1", "k2" and so on.
    ServedReply page(std::string_view target)
    {
        const std::size_t at = target.find("after=k");
        const int read = at == std::string_view::npos ? 0 : target.back() - '0';
        if (read + 1 == failingPage) {
            failingPage = 0;
            return makeReply(503);
        }
        const std::string key = "k" + std::to_string(read + 1);
        return makeReply(200, R"({"items":[{"private-key":")" + key
                                  + R"(","revision":5,"made":5,"value":""}],"more":)"
                                  + (read + 1 < pages ? "true" : "false") + R"(,"at":7})");
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
    int pages = 1;
    int failingPage = 0; // is rejected once; zero: none
    std::string sources; // in JSON
    std::vector<std::string> targets;
    net::io_context context;
    ManualClock clock;
    InternalServer server;
    HttpClient client;
    adapters::Metrics metrics;
    StoreReplica replica;
    StoreClient store;
};

constexpr std::string_view kSourcesTarget = "/api/kv-range?path-prefix=fordwood/sources/&stale=1";
constexpr std::string_view kFirstPage = "/api/kv-range?path-prefix=";

// The store's item that names a source, in JSON.
std::string sourceItem(const std::string &node)
{
    const std::string bytes = encodeSource({node, "d", "127.0.0.1:1", 100});
    std::string value((bytes.size() + 2) / 3 * 4, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(value.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return R"({"private-key":"fordwood/sources/)" + node + R"(","revision":5,"made":5,"value":")"
           + value + R"("})";
}

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
    const auto started = fixture.callsUntil(3);
    CHECK(started[0] == kSourcesTarget);
    CHECK(started[1] == kFirstPage);
    CHECK(isLongWatch(started[2]));
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

// Guards against a fleet that does not come back: a page that failed made a node read all pages
// again, so that the load grew with each failure.
TEST_CASE("store client: after a page that failed, the read goes on with this page [start]")
{
    StoreFixture fixture;
    fixture.pages = 4;
    fixture.failingPage = 3;
    fixture.store.start();
    const auto calls = fixture.callsUntil(8);
    CHECK(calls[0] == kSourcesTarget);
    CHECK(calls[1] == kFirstPage);
    CHECK(calls[2].ends_with("&after=k1"));
    CHECK(calls[3].ends_with("&after=k2"));
    CHECK(calls[4] == kSourcesTarget);
    CHECK(calls[5].ends_with("&after=k2"));
    CHECK(calls[6].ends_with("&after=k3"));
    CHECK(isLongWatch(calls[7]));
    for (const char *it : {"k1", "k2", "k3", "k4"})
        CHECK(fixture.replica.find(it) != nullptr);
}

TEST_CASE("store client: a node reads no content while other nodes are sources of it [start]")
{
    StoreFixture fixture;
    fixture.sources = sourceItem("other");
    fixture.store.start();
    REQUIRE(fixture.callsUntil(1)[0] == kSourcesTarget);
    for (int n = 0; n < 10; ++n)
        fixture.context.run_one_for(100ms);
    CHECK(fixture.targets.size() == 1);
    SUBCASE("a peer sends the content")
    {
        fixture.replica.merge({0, 7, {{"k1", 5, 5, ""}}, 0});
        CHECK(isLongWatch(fixture.callsUntil(1)[0]));
    }
    SUBCASE("no peer sends it")
    {
        fixture.clock.advance(10s);
        const auto calls = fixture.callsUntil(2);
        CHECK(calls[0] == kSourcesTarget);
        CHECK(calls[1] == kFirstPage);
    }
}

TEST_CASE("store client: a node that is a source reads the content at once [start]")
{
    StoreFixture fixture;
    fixture.sources = sourceItem("other") + "," + sourceItem("n");
    fixture.store.start();
    CHECK(fixture.callsUntil(2)[1] == kFirstPage);
}
