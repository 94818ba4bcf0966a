// SPDX-License-Identifier: MIT
#include "fordwood/homes.hpp"

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
        CHECK(Homes(route, &team).isAnywhere());
        CHECK(Homes(route, nullptr).allows("a", regions));
        CHECK(Homes(route, nullptr).allows("unknown", regions));
    }
    SUBCASE("the route alone")
    {
        route.allowedRegions = {"north", "south"};
        CHECK(Homes(route, nullptr).allows("b", regions));
        CHECK(Homes(route, &team).allows("a", regions));
        CHECK_FALSE(Homes(route, &team).allows("c", regions));
        CHECK_FALSE(Homes(route, &team).allows("unknown", regions));
    }
    SUBCASE("both")
    {
        route.allowedRegions = {"north", "south"};
        team.allowedRegions = {"south", "west"};
        CHECK(Homes(route, &team).allows("b", regions));
        CHECK_FALSE(Homes(route, &team).allows("a", regions));
        CHECK_FALSE(Homes(route, &team).allows("c", regions));
    }
}
