// SPDX-License-Identifier: MIT
// Nodes that are cut off as a group while new weights are named, and the context of the old ones is
// freed by a node outside of the group.
#include <doctest/doctest.h>

#include <algorithm>
#include <thread>

#include "process/context_fleet.hpp"

using namespace fordwood;
using namespace fordwood::process;
using namespace std::chrono_literals;
using std::chrono::steady_clock;

namespace {

constexpr std::size_t kParts = 300;
constexpr auto kPause = 100ms; // between requests
constexpr auto kCut = 14s;

// Sends requests through the nodes in turn for the time. Each has the part that is due to be freed
// next, if that is soon: a fetch of it could still be running then.
void sendNearFreeing(ContextFleet &fleet, const std::vector<int> &nodes,
                     std::vector<std::string> parts, std::chrono::nanoseconds time)
{
    constexpr auto kBeforeFreeing = 700ms;
    std::sort(parts.begin(), parts.end(), [](const std::string &a, const std::string &b) {
        return OldContextTimes::unusedAfter(a) < OldContextTimes::unusedAfter(b);
    });
    auto next = parts.begin();
    std::size_t n = 0;
    const auto until = steady_clock::now() + time;
    while (steady_clock::now() < until && next != parts.end()) {
        const auto sinceNaming = steady_clock::now() - fleet.namedAt;
        next = std::find_if(next, parts.end(), [&](const std::string &it) {
            return OldContextTimes::unusedAfter(it) > sinceNaming + kBeforeFreeing;
        });
        if (next == parts.end())
            return;
        CHECK(fleet.sendWith(*next++, nodes[n++ % nodes.size()]) == 200);
        std::this_thread::sleep_for(kPause);
        fleet.store.advanceTime(kPause); // the leases of nodes that are cut off end
    }
}

} // namespace

// Guards against requests that read memory which was freed meanwhile: nodes that are cut off
// together took each other for sources of new weights, and went on fetching.
TEST_CASE("cut-off group: no context is fetched while it is freed elsewhere [node][stores][cut]")
{
    ContextFleet fleet(3);
    std::vector<int> group{1, 2};
    int outside = 0; // holds the lock
    auto how = FaultyProxy::Mode::Silent;
    SUBCASE("calls to the platform's store are never answered") { }
    SUBCASE("calls to the platform's store are reset")
    {
        how = FaultyProxy::Mode::Reset;
    }
    SUBCASE("the holder of the lock is in the group")
    {
        group = {0, 1};
        outside = 2;
    }
    const std::vector<std::string> parts = fleet.holdParts(kParts);
    // Fetched while all is well.
    REQUIRE(Fleet::waitFor([&] {
        for (const int it : group)
            fleet.sendWith(parts[static_cast<std::size_t>(it)], it);
        return fleet.fetches().all > 0;
    }));
    const std::size_t before = fleet.fetches().all;
    fleet.cutOff({group.begin(), group.end()}, how);
    fleet.nameWeights();
    sendNearFreeing(fleet, group, parts, kCut);
    const ContextFleet::Fetches fetches = fleet.fetches();
    // The group fetched for a while, and what it could fetch was freed.
    CHECK(fetches.all > before);
    CHECK(fleet.contextStore.freedParts() > kParts / 2);
    for (const std::string &it : fetches.late)
        CHECK_MESSAGE(false, it);
    const std::string freed = fleet.lastLogged(outside, "name=ContextFreed");
    CHECK(fleet.fieldOf(freed, "weights") == "1");
    CHECK(fleet.fieldOf(freed, "ids").starts_with("part"));
    CHECK(std::stoll(fleet.fieldOf(freed, "superseded_ms"))
          >= std::stoll(fleet.fieldOf(freed, "min_wait_ms")));
    for (const int it : group)
        CHECK(fleet.logged(it, "name=ReplicaUnconfirmed") > 0);
    CHECK(fleet.logged(outside, "name=ReplicaUnconfirmed") == 0);
    CHECK(fleet.metric("fordwood_replica_age_seconds", outside) < 3.5);
    CHECK(fleet.logged(group.front(), "replica_age_ms:") > 0);
    fleet.cutOff({});
    for (const int it : group)
        CHECK(Fleet::waitFor([&] { return fleet.logged(it, "name=ReplicaConfirmed") > 0; }));
}
