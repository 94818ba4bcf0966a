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
