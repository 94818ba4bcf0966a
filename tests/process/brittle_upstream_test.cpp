// SPDX-License-Identifier: MIT
// Guards against upstreams that fall over under the requests that they have to reject. Upstreams
// with a few slots announced that they bear few rejections a second, and then let no request wait.
// Nodes sent as much as before; each upstream that fell over left its load to the others, and
// hardly anything was served, even where the upstreams could have served all.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <thread>
#include <vector>

#include "process/fragile_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = std::chrono::steady_clock;

constexpr auto kBrittleFor = 9s;

// The time from which brittle upstreams let fewer requests wait.
constexpr auto kNoRoomAfter = 3s;

struct Course
{
    double load = 2.0; // offered, in relation to what the upstreams can serve
    const char *rejections = "3"; // that an upstream bears in a second
    std::size_t room = 0; // requests that may wait at an upstream
    std::function<void()> midway = [] {};
};

// One time in which all upstreams are brittle. Checks that they do not fall over in turn and that
// what they can serve is served once they let no request wait.
void checkBrittleTime(FragileFleet &fleet, const Course &course)
{
    const double offered = course.load * fleet.capacity();
    SteadyCallers callers(fleet, "c", offered);
    std::this_thread::sleep_for(1s);
    fleet.setBrittle(course.rejections);
    std::this_thread::sleep_for(kNoRoomAfter);
    fleet.setWaitingRoom(course.room);
    const int before = fleet.answered();
    const auto from = RealClock::now();
    course.midway();
    std::this_thread::sleep_until(from + kBrittleFor - kNoRoomAfter);
    const double time = std::chrono::duration<double>(RealClock::now() - from).count();
    const double served
        = (fleet.answered() - before) / (time * std::min(offered, fleet.capacity()));
    callers.stop();
    MESSAGE("fell over ", fleet.falls(), " times, served ", served, "; ", callers.sent(), " sent, ",
            callers.rejected(), " rejected, ", callers.failed(), " failed");
    CHECK(fleet.falls() <= fleet.allowedFalls());
    CHECK(served >= 0.8);
    CHECK(callers.falselyNotRun() == 0);
}

} // namespace

TEST_CASE("brittle upstreams: rejections under twice the load that they can serve make none fall "
          "over in turn [node][brittle]")
{
    FragileFleet fleet(3, 6);
    checkBrittleTime(fleet, {});
    // They are used as before once they are no longer brittle.
    fleet.setBrittle(std::nullopt);
    fleet.setWaitingRoom(100);
    SteadyCallers callers(fleet, "after", 0.9 * fleet.capacity());
    std::this_thread::sleep_for(2s);
    callers.takeAnsweredShare();
    std::this_thread::sleep_for(2s);
    CHECK(callers.takeAnsweredShare() >= 0.99);
    for (const int it : {0, 1, 2})
        CHECK(fleet.metric("fordwood_brittle_upstreams", it) == 0);
}

TEST_CASE("brittle upstreams: a load that they can serve is served [node][brittle]")
{
    FragileFleet fleet(3, 6);
    checkBrittleTime(fleet, {.load = 0.75});
}

TEST_CASE(
    "brittle upstreams: more nodes than slots of an upstream, and two lenders of their places "
    "are killed while the store is away [node][brittle]")
{
    FragileFleet fleet(6, 6);
    std::vector<bool> isAlive(6, true);
    const auto killLender = [&] {
        std::size_t lender = isAlive.size();
        REQUIRE(Fleet::waitFor([&] {
            for (std::size_t it = 0; it < isAlive.size(); ++it) {
                if (isAlive[it] && fleet.metric("fordwood_places_lent", static_cast<int>(it)) > 3)
                    lender = it;
            }
            return lender < isAlive.size();
        }));
        isAlive[lender] = false;
        fleet.nodes[lender].kill();
    };
    // The callers of the four nodes that are left offer more than the upstreams can serve.
    checkBrittleTime(fleet, {.load = 2.0, .rejections = "1", .midway = [&] {
                                 fleet.store.setDown(true);
                                 std::this_thread::sleep_for(500ms);
                                 killLender();
                                 std::this_thread::sleep_for(1s);
                                 killLender();
                             }});
}

TEST_CASE("brittle upstreams: nodes that cannot ask a lender keep to their shares [node][brittle]")
{
    FragileFleet fleet(3, 6, {}, false);
    CHECK(Fleet::waitFor([&] { return fleet.logged(0, "event=108") == 1; }));
    checkBrittleTime(fleet, {});
}

TEST_CASE("brittle upstreams: some room for waiting requests is left [node][brittle]")
{
    FragileUpstream::Traits traits;
    traits.slots = 6;
    FragileFleet fleet(3, 4, traits);
    checkBrittleTime(fleet, {.load = 1.5, .rejections = "8", .room = 2});
}
