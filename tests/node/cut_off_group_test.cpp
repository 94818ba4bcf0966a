// SPDX-License-Identifier: MIT
// A group of nodes that hear each other, while none of them hears from the platform's store. The
// failure: three of eight nodes were cut off as new weights were named. They took each other for
// sources of new versions, and went on fetching parts that the holder of the lock freed 8.5 s after
// the naming ("fetched:7eca9eb93639 replica_age_ms:7496" in event 401).
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include "fordwood/old_context_times.hpp"
#include "node/weights_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

const std::string kSalt = contextSalt("m", 1, "");
const std::vector<std::string> kParts{"a", "b", "c", "d", "e"};
const PromptPart kNewPart{"new", 5'000};

// Nodes with a context store that holds some parts of the first weights.
class StoringFleet : public WeightsFleet
{
public:
    explicit StoringFleet(int nodes) : WeightsFleet(nodes)
    {
        startAll();
        REQUIRE(waitForWeights(1));
        REQUIRE(waitForPeers());
        advance(2s);
        for (int n = 0; n < nodes; ++n)
            configure(n);
    }

    // The parts that a request at the node would fetch now.
    std::vector<std::string> fetchedBy(int node)
    {
        ContextDirectory &contexts = directoryOf(node);
        std::vector<std::string> parts;
        for (const std::string &it : kParts) {
            if (!contexts.holderOf(kSalt, it).address.empty())
                parts.push_back(it);
        }
        return parts;
    }

    bool wouldSave(int node)
    {
        return !directoryOf(node).storeForSave(kSalt, kNewPart, kNewPart.tokens, "").empty();
    }

private:
    void configure(int node)
    {
        ServingConfig config;
        ContextStore store;
        store.name = "s";
        store.address = "127.0.0.1:1";
        store.capacityTokens = 1'000'000;
        config.stores.push_back(store);
        at(node).state().handle(
            ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
    }

    // With an answer of the store that has just arrived.
    ContextDirectory &directoryOf(int node)
    {
        ContextStoreUpdate update;
        update.store = "s";
        update.epoch = 1;
        for (const std::string &it : kParts)
            update.changes.push_back({kSalt, it, true, 1'000});
        NodeState &state = at(node).state();
        state.handle(ContextStoreUpdated{update, at(node).clock().now()});
        return state.contexts();
    }
};

} // namespace

// Guards against requests that read memory which was freed meanwhile: a live peer does not show
// that a node learns of new weights.
TEST_CASE("cut-off group: nodes that hear each other but not the store stop fetching in time "
          "[stores][cut]")
{
    constexpr int kNodes = 3;
    StoringFleet fleet(kNodes);
    for (int n = 0; n < kNodes; ++n) {
        REQUIRE(fleet.fetchedBy(n) == kParts);
        REQUIRE(fleet.wouldSave(n));
    }
    fleet.store().setDown(true);
    fleet.nameWeights(2);
    const Duration step = 500ms;
    for (Duration since{}; since < 15s; since += step) {
        for (int n = 0; n < kNodes; ++n) {
            CAPTURE(n);
            const std::vector<std::string> fetched = fleet.fetchedBy(n);
            for (const std::string &part : kParts) {
                CAPTURE(part);
                const bool isFetched
                    = std::find(fetched.begin(), fetched.end(), part) != fetched.end();
                // What starts now still runs for that long.
                if (since + OldContextTimes::kMaxFetchTime >= OldContextTimes::unusedAfter(part))
                    CHECK_FALSE(isFetched);
                // A short outage costs nothing, and a longer one ends the use of one part after
                // the other. What a node knows is up to two seconds old.
                if (since + 2s < OldContextTimes::useTimeOf(part))
                    CHECK(isFetched);
            }
        }
        fleet.advance(step);
    }
    for (int n = 0; n < kNodes; ++n)
        CHECK_FALSE(fleet.wouldSave(n));
}

TEST_CASE("cut-off group: context is fetched again when the store answers and no weights were "
          "named [stores][cut]")
{
    constexpr int kNodes = 3;
    StoringFleet fleet(kNodes);
    fleet.store().setDown(true);
    fleet.advance(12s);
    for (int n = 0; n < kNodes; ++n)
        CHECK(fleet.fetchedBy(n).empty());
    fleet.store().setDown(false);
    fleet.advance(4s);
    for (int n = 0; n < kNodes; ++n)
        CHECK(fleet.fetchedBy(n) == kParts);
}

// Two nodes poll the store, and the others know through them that nothing has changed.
TEST_CASE("cut-off group: no node of a fleet that reaches the store stops fetching, whichever "
          "nodes are killed [stores][cut]")
{
    StoringFleet fleet(4);
    std::vector<int> live{0, 1, 2, 3};
    while (!live.empty()) {
        for (int n = 0; n < 10; ++n) {
            fleet.advance(400ms);
            for (const int it : live) {
                CAPTURE(it);
                CHECK(fleet.fetchedBy(it) == kParts);
            }
        }
        fleet.kill(live.front());
        live.erase(live.begin());
    }
}
