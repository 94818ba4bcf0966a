// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include <nlohmann/json.hpp>

#include "node/weights_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

// Two nodes and a store that is restored from a snapshot after many further writes.
struct Restored : WeightsFleet
{
    // `secondNodeStore`: the store address that the second node uses; empty: the real one.
    explicit Restored(const std::string &secondNodeStore = "") : WeightsFleet(2)
    {
        configure(1, {"a", "b"});
        putUpstream("i-1", "ready");
        putUpstream("i-2", "ready");
        store().takeSnapshot(); // before any node has written its key
        start(0);
        start(1, secondNodeStore);
        REQUIRE(waitForPeers());
        REQUIRE(waitForUse("i-1", true));
        REQUIRE(waitForUse("i-2", true));
    }

    void configure(int version, const std::vector<std::string> &teams)
    {
        Json tenants = Json::array();
        for (const std::string &it : teams)
            tenants.push_back({{"name", it}, {"api-keys", {"key-" + it}}});
        store().put("op/config", Json{{"version", version},
                                      {"routes",
                                       {{{"name", "r"},
                                         {"host", "a.example"},
                                         {"path-prefix", "/"},
                                         {"kind", "safe"},
                                         {"service", "board"},
                                         {"timeout-ms", 5000},
                                         {"max-attempts", 2},
                                         {"target-latency-ms", 400}}}},
                                      {"services", {{{"name", "board"}, {"max-connections", 100}}}},
                                      {"limits", Json::object()},
                                      {"tenants", tenants}}
                                     .dump());
    }

    void putUpstream(const std::string &id, const std::string &state)
    {
        store().put("servers/" + id, Json{{"service", "board"},
                                          {"address", "127.0.0.1:9"},
                                          {"zone", "x"},
                                          {"slots", 4},
                                          {"version", "v1"},
                                          {"state", state},
                                          {"cold-remaining-ms", 0},
                                          {"born", 1'796'000'000'000},
                                          {"sequence", ++m_sequence}}
                                         .dump());
    }

    bool waitForUse(const std::string &id, bool isUsed)
    {
        return waitForAll([&](NodeState &it) { return uses(it, id) == isUsed; });
    }

    bool waitForConfiguration(std::uint64_t version)
    {
        return waitForAll([&](NodeState &it) { return versionOf(it) == version; });
    }

    static bool uses(NodeState &state, const std::string &id)
    {
        for (const UpstreamRecord *it : state.upstreams().usable("board")) {
            if (it->announcedId == id)
                return true;
        }
        return false;
    }

    static std::uint64_t versionOf(NodeState &state)
    {
        return state.table() ? state.table()->config().version : 0;
    }

    // Writes the configuration and an upstream again after many other writes. Then the store is
    // down for a second and returns in the state of its snapshot.
    void restoreAfterMoreWrites()
    {
        for (int n = 0; n < 60; ++n)
            store().put("op/other", std::to_string(n));
        configure(2, {"a", "b"});
        putUpstream("i-1", "ready");
        REQUIRE(waitForConfiguration(2));
        restore();
    }

    void restore()
    {
        store().setDown(true);
        advance(1s);
        store().restoreSnapshot();
        store().setDown(false);
        advance(1500ms);
    }

private:
    int m_sequence = 0;
};

// Time within which a change must take effect on all nodes.
constexpr Duration kEffectWithin = 2s;

} // namespace

TEST_CASE("store restored: writes after the restore take effect in time, although their revisions "
          "were used before [restored]")
{
    std::string secondNodeStore;
    SUBCASE("the store answers both nodes") { }
    SUBCASE("one node gets the changes only from the other")
    {
        secondNodeStore = "127.0.0.1:9";
    }
    Restored fleet(secondNodeStore);
    fleet.store().takeSnapshot();
    fleet.restoreAfterMoreWrites();
    fleet.configure(3, {"a"});
    fleet.putUpstream("i-1", "draining");
    fleet.advance(kEffectWithin);
    for (const int node : {0, 1}) {
        CAPTURE(node);
        CHECK(Restored::versionOf(fleet.at(node).state()) == 3);
        CHECK_FALSE(Restored::uses(fleet.at(node).state(), "i-1"));
        CHECK(Restored::uses(fleet.at(node).state(), "i-2"));
    }
}

TEST_CASE("store restored: neither the older content nor rewriting it in its old order reverts the "
          "nodes [restored]")
{
    Restored fleet;
    fleet.putUpstream("i-3", "ready");
    fleet.putUpstream("i-4", "ready");
    REQUIRE(fleet.waitForUse("i-3", true));
    REQUIRE(fleet.waitForUse("i-4", true));
    fleet.store().takeSnapshot();
    fleet.putUpstream("i-1", "draining");
    fleet.store().remove("servers/i-3");
    fleet.store().put("op/evacuate/y", "");
    fleet.nameWeights(2);
    fleet.configure(2, {"a"});
    fleet.configure(3, {"a"});
    REQUIRE(fleet.waitForConfiguration(3));
    REQUIRE(fleet.waitForUse("i-1", false));
    REQUIRE(fleet.waitForUse("i-3", false));
    const auto isAsBefore = [](NodeState &it) {
        return Restored::versionOf(it) == 3 && !Restored::uses(it, "i-1")
               && !Restored::uses(it, "i-3") && Restored::uses(it, "i-4")
               && it.upstreams().evacuatedDomains() == 1 && it.weights("m").newest() == 2;
    };
    fleet.restore();
    for (const int node : {0, 1})
        CHECK(isAsBefore(fleet.at(node).state()));
    fleet.configure(2, {"a", "b"});
    fleet.nameWeights(1);
    fleet.advance(500ms);
    for (const int node : {0, 1})
        CHECK(isAsBefore(fleet.at(node).state()));
    fleet.putUpstream("i-1", "draining");
    fleet.store().put("op/evacuate/y", "");
    fleet.advance(12s);
    for (const int node : {0, 1}) {
        NodeState &state = fleet.at(node).state();
        CHECK_FALSE(Restored::uses(state, "i-1"));
        CHECK(state.upstreams().evacuatedDomains() == 1);
    }
}

// Guards against keeping state for good that nobody writes again.
TEST_CASE("store restored: state that is not written again is dropped [restored]")
{
    Restored fleet;
    fleet.putUpstream("i-3", "ready");
    REQUIRE(fleet.waitForUse("i-3", true));
    fleet.store().takeSnapshot();
    fleet.store().remove("servers/i-3");
    REQUIRE(fleet.waitForUse("i-3", false));
    fleet.store().put("op/evacuate/y", "");
    fleet.putUpstream("i-4", "ready"); // its record is lost and not written again
    REQUIRE(fleet.waitForUse("i-4", true));
    fleet.restore();
    for (const int node : {0, 1})
        CHECK(Restored::uses(fleet.at(node).state(), "i-4")); // it may still be running
    fleet.advance(12s);
    for (const int node : {0, 1}) {
        NodeState &state = fleet.at(node).state();
        state.tick();
        CHECK(Restored::uses(state, "i-3")); // the restored store still has its record
        CHECK_FALSE(Restored::uses(state, "i-4"));
        CHECK(state.upstreams().evacuatedDomains() == 0);
    }
}

TEST_CASE(
    "store restored: nodes write their keys again under their own leases, although lease ids were "
    "used before [restored]")
{
    Restored fleet;
    fleet.advance(2s);
    REQUIRE(fleet.store().has("fordwood/nodes/n0"));
    REQUIRE(fleet.store().has("fordwood/nodes/n1"));
    fleet.restore();
    fleet.advance(5s);
    // Each lease is renewed only by its holder.
    for (int n = 0; n < 4; ++n) {
        CHECK(fleet.store().has("fordwood/nodes/n0"));
        CHECK(fleet.store().has("fordwood/nodes/n1"));
        fleet.advance(3s);
    }
    fleet.kill(1);
    fleet.advance(12s);
    CHECK(fleet.store().has("fordwood/nodes/n0"));
    CHECK_FALSE(fleet.store().has("fordwood/nodes/n1"));
}

// Just after a naming few engines have the new weights: without the old ones callers would be
// rejected until the engines have loaded them.
TEST_CASE("store restored: weights that are superseded soon after it stay usable for a while "
          "[restored][weights]")
{
    Restored fleet;
    fleet.restore();
    fleet.nameWeights(2);
    REQUIRE(fleet.waitForWeights(2));
    CHECK(fleet.nodesThatUse(1) == 2);
    fleet.advance(10s);
    CHECK(fleet.nodesThatUse(1) == 0);
}
