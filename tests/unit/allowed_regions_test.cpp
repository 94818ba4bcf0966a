// SPDX-License-Identifier: MIT
#include "fordwood/allowed_regions.hpp"

#include <doctest/doctest.h>

using namespace fordwood;

TEST_CASE("homes: a request goes nowhere but to the regions that its route and its team both name "
          "[homes]")
{
    const DomainRegions regions{{"a", "north"}, {"b", "south"}, {"c", "west"}};
    ServiceRoute route;
    ServingTeam team;
    SUBCASE("none named")
    {
        CHECK(AllowedRegions(route, &team).isUnrestricted());
        CHECK(AllowedRegions(route, nullptr).allows("a", regions));
        CHECK(AllowedRegions(route, nullptr).allows("unknown", regions));
    }
    SUBCASE("the route alone")
    {
        route.homeRegions = {"north", "south"};
        CHECK(AllowedRegions(route, nullptr).allows("b", regions));
        CHECK(AllowedRegions(route, &team).allows("a", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("c", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("unknown", regions));
    }
    SUBCASE("both")
    {
        route.homeRegions = {"north", "south"};
        team.homeRegions = {"south", "west"};
        CHECK(AllowedRegions(route, &team).allows("b", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("a", regions));
        CHECK_FALSE(AllowedRegions(route, &team).allows("c", regions));
    }
}
