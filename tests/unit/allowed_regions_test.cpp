// SPDX-License-Identifier: MIT
#include "fordwood/allowed_regions.hpp"

#include <doctest/doctest.h>

using namespace fordwood;

TEST_CASE(
    "allowed regions: a request is sent only to regions that its route and team allow [homes]")
{
    const DomainRegions regions{{"a", "north"}, {"b", "south"}, {"c", "west"}};
    ServiceRoute route;
    ServingTeam team;
    SUBCASE("no restrictions")
    {
        CHECK(AllowedRegions(route, &team).isUnrestricted());
        CHECK(AllowedRegions(route, nullptr).allows("a", regions));
        CHECK(AllowedRegions(route, nullptr).allows("unknown", regions));
    }
    SUBCASE("only the route restricts")
    {
        route.allowedRegions = {"north", "south"};
        CHECK(AllowedRegions(route, nullptr).allows("b", regions));
        CHECK(AllowedRegions(route, &team).allows("a", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("c", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("unknown", regions));
    }
    SUBCASE("route and team restrict")
    {
        route.allowedRegions = {"north", "south"};
        team.allowedRegions = {"south", "west"};
        CHECK(AllowedRegions(route, &team).allows("b", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("a", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("c", regions));
    }
}
