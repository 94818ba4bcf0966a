// SPDX-License-Identifier: MIT
// Guards against one part of a prompt that crashes one upstream after the other. Requests with the
// part differ otherwise, so that each was a new one to the quarantine: thirty engines ended, with
// all that ran there.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <functional>
#include <random>
#include <thread>
#include <vector>

#include "process/fragile_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

const std::string kFatal = "fa7a1";

// The nodes must hold what has ended five upstreams this long after the fifth end.
constexpr auto kContactTime = 3s;

constexpr double kSoundPerSecond = 50.0;

FragileUpstream::Traits engineTraits()
{
    FragileUpstream::Traits traits;
    traits.slots = 16;
    traits.work = 80ms;
    return traits;
}

// The parts of a sound prompt and the fatal part at the given place.
SteadyCallers::MakeParts fatalPartsAt(std::size_t place)
{
    return [place](std::mt19937 &random) {
        const std::string topic = std::to_string(random() % 8);
        const std::string document = std::to_string(random() % 30);
        std::vector<std::string> parts{"c0", "a" + topic, "d" + document};
        parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(place), kFatal);
        std::string text;
        for (const std::string &it : parts)
            text += it + ":100,";
        return text;
    };
}

// Requests with a fatal part that began to run later than allowed.
int lateRuns(const FragileFleet &fleet)
{
    constexpr std::size_t kAllowedEnds = 5;
    const auto runs = fleet.fatalRuns();
    if (runs.size() < kAllowedEnds)
        return 0;
    const auto from = runs[kAllowedEnds - 1] + kContactTime;
    return static_cast<int>(
        std::count_if(runs.begin(), runs.end(), [&](const auto &it) { return it > from; }));
}

struct Course
{
    double perSecond = 6.0;
    SteadyCallers::MakeParts fatal = fatalPartsAt(1);
    SteadyCallers::MakeParts sound = soundParts;
    std::function<void()> midway = [] {}; // half a second after the first request
};

// Checks that the fatal part is held in time and that sound requests are served as before.
void checkIsHeld(FragileFleet &fleet, const Course &course)
{
    SteadyCallers sound(fleet, "s", kSoundPerSecond, course.sound);
    std::this_thread::sleep_for(3s);
    const double before = sound.takeAnsweredShare();
    fleet.setFatalParts({kFatal});
    SteadyCallers fatal(fleet, "f", course.perSecond, course.fatal);
    std::this_thread::sleep_for(500ms);
    course.midway();
    std::this_thread::sleep_for(2 * kContactTime);
    sound.takeAnsweredShare();
    std::this_thread::sleep_for(4s);
    const double after = sound.takeAnsweredShare();
    sound.stop();
    fatal.stop();
    constexpr int kAllowedLateRuns = 3;
    MESSAGE("fell over ", fleet.falls(), " times, ", lateRuns(fleet),
            " late runs; sound requests answered ", before, ", then ", after);
    CHECK(lateRuns(fleet) <= kAllowedLateRuns);
    CHECK(after >= before - 0.1);
    CHECK(sound.falselyNotRun() == 0);
    CHECK(fatal.falselyNotRun() == 0);
}

} // namespace

TEST_CASE("prompt parts: requests that share a part under which upstreams end are not sent to all "
          "of them [node][quarantine][parts]")
{
    FragileFleet fleet(3, 10, engineTraits());
    checkIsHeld(fleet, {});
    // The part is held also at nodes that start after all were killed.
    CHECK(Fleet::waitFor([&] { return fleet.store.has("fordwood/quarantine/part-"); }));
    for (Process &it : fleet.nodes)
        it.kill();
    for (std::size_t it = 0; it < 3; ++it)
        fleet.startAgain(it);
    for (const int it : {0, 1, 2})
        REQUIRE(Fleet::waitFor([&] { return fleet.isReady(it); }));
    const int falls = fleet.falls();
    SteadyCallers fatal(fleet, "g", 10.0, fatalPartsAt(0));
    std::this_thread::sleep_for(1s);
    fatal.stop();
    CHECK(fleet.falls() == falls);
}

TEST_CASE("prompt parts: a sound part that is seldom used otherwise comes with the fatal one, and "
          "a node is killed while the store is away [node][quarantine][parts]")
{
    FragileFleet fleet(3, 10, engineTraits());
    const auto withCompany = [](const SteadyCallers::MakeParts &parts, unsigned oneIn) {
        return [parts, oneIn](std::mt19937 &random) {
            return (random() % oneIn == 0 ? "e0:50," : "") + parts(random);
        };
    };
    checkIsHeld(fleet, {.fatal = withCompany(fatalPartsAt(2), 1),
                        .sound = withCompany(soundParts, 50),
                        .midway = [&] {
                            fleet.store.setDown(true);
                            fleet.nodes[2].kill();
                            fleet.startAgain(2);
                            fleet.store.setDown(false);
                        }});
    // Each part is logged once, also while it is held only together with others.
    CHECK(fleet.logged(0, "event=408") >= 1);
    CHECK(fleet.logged(0, "event=408") <= 2);
}
