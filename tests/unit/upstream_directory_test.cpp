// SPDX-License-Identifier: MIT
#include "fordwood/upstream_directory.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

UpstreamRecord recordOf(const std::string &id, bool draining = false)
{
    UpstreamRecord record;
    record.instanceId = id;
    record.service = "board";
    record.draining = draining;
    return record;
}

} // namespace

TEST_CASE("upstreams: one that drains or whose record is gone is no longer usable [leaving]")
{
    const ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    upstreams.put(recordOf("a"));
    upstreams.put(recordOf("b"));
    upstreams.put(recordOf("c"));
    CHECK(upstreams.usable("board").size() == 3);
    upstreams.put(recordOf("a", true));
    upstreams.remove("b", false);
    REQUIRE(upstreams.usable("board").size() == 1);
    CHECK(upstreams.usable("board").front()->instanceId == "c");
    CHECK(upstreams.find("a") != nullptr); // it still finishes its running requests
    CHECK(upstreams.find("b") == nullptr);
}

TEST_CASE("upstreams: records that expired while the store was unreachable stay in use for a while "
          "[outage]")
{
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    upstreams.put(recordOf("lives"));
    upstreams.put(recordOf("dead"));
    upstreams.setStoreReachable(false);
    upstreams.remove("lives", true);
    upstreams.remove("dead", true);
    clock.advance(1h);
    CHECK(upstreams.tick().empty());
    CHECK(upstreams.usable("board").size() == 2);
    upstreams.setStoreReachable(true);
    clock.advance(1s);
    upstreams.put(recordOf("lives")); // it has published its record again
    CHECK(upstreams.tick().empty());
    clock.advance(1500ms);
    CHECK(upstreams.tick() == std::vector<std::string>{"dead"});
    REQUIRE(upstreams.usable("board").size() == 1);
    CHECK(upstreams.usable("board").front()->instanceId == "lives");
}

TEST_CASE("upstreams: a draining one is removed even if its record may only have expired "
          "[leaving][outage]")
{
    const ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    upstreams.put(recordOf("a", true));
    upstreams.setStoreReachable(false);
    upstreams.remove("a", true);
    CHECK(upstreams.find("a") == nullptr);
}

TEST_CASE("upstreams: an older record does not replace observed weights [weights]")
{
    const ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    UpstreamRecord record = recordOf("a");
    record.weightVersions["m"] = 1;
    upstreams.put(record);
    upstreams.setWeightVersion("a", "m", {2, clock.now()});
    upstreams.put(record);
    CHECK(upstreams.find("a")->weightVersions.at("m") == 2);
}

TEST_CASE("upstreams: those of an evacuated failure domain get no new requests until the "
          "evacuation ends [evacuation]")
{
    const ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    for (const char *it : {"a", "b"}) {
        UpstreamRecord record = recordOf(it);
        record.failureDomain = it;
        upstreams.put(record);
    }
    upstreams.setEvacuated("a", true);
    CHECK_FALSE(upstreams.takesNewWork("a"));
    REQUIRE(upstreams.usable("board").size() == 1);
    CHECK(upstreams.usable("board").front()->instanceId == "b");
    CHECK(upstreams.find("a") != nullptr); // running requests continue
    SUBCASE("one that starts there meanwhile")
    {
        UpstreamRecord record = recordOf("c");
        record.failureDomain = "a";
        upstreams.put(record);
        CHECK_FALSE(upstreams.takesNewWork("c"));
    }
    SUBCASE("two domains are evacuated independently")
    {
        upstreams.setEvacuated("b", true);
        CHECK(upstreams.usable("board").empty());
        CHECK(upstreams.hasEvacuated("board"));
        upstreams.setEvacuated("a", false);
        CHECK(upstreams.takesNewWork("a"));
        CHECK_FALSE(upstreams.takesNewWork("b"));
    }
    SUBCASE("a draining upstream does not count as evacuated")
    {
        UpstreamRecord record = recordOf("a", true);
        record.failureDomain = "a";
        upstreams.put(record);
        CHECK_FALSE(upstreams.hasEvacuated("board"));
    }
}

// Guards against nodes that go through all upstreams ten times a second: ten thousand took a tenth
// of a weak VM's processor.
TEST_CASE("upstreams: periodic work costs as much as what changed, however many there are [size]")
{
    constexpr int kUpstreams = 10'000;
    ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    for (int n = 0; n < kUpstreams; ++n) {
        UpstreamRecord record = recordOf("u" + std::to_string(n));
        record.weightVersions["m"] = 1;
        upstreams.put(record);
    }
    CHECK(upstreams.takeChanged().size() == kUpstreams);
    CHECK(upstreams.takeChanged().empty());
    clock.advance(1s);
    CHECK(upstreams.setWeightVersion("u5", "m", {2, clock.now()}));
    upstreams.setStoreReachable(false);
    upstreams.remove("u6", true);
    upstreams.setStoreReachable(true);
    const std::uint64_t before = upstreams.entriesVisited();
    constexpr int kTicks = 100; // ten seconds
    for (int n = 0; n < kTicks; ++n) {
        clock.advance(100ms);
        upstreams.tick();
    }
    CHECK(upstreams.entriesVisited() - before <= kTicks + 1);
    CHECK(upstreams.takeChanged() == std::set<std::string>{"u5", "u6"});
    CHECK(upstreams.find("u5")->weightVersions.at("m") == 1);
    CHECK(upstreams.find("u6") == nullptr);
}

TEST_CASE("upstreams: one that moves to another service is usable only there [size]")
{
    const ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    upstreams.put(recordOf("a"));
    UpstreamRecord moved = recordOf("a");
    moved.service = "other";
    upstreams.put(moved);
    CHECK(upstreams.usable("board").empty());
    CHECK(upstreams.usable("other").size() == 1);
    upstreams.remove("a", false);
    CHECK(upstreams.usable("other").empty());
}
