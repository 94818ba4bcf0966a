// SPDX-License-Identifier: MIT
// Fragile upstreams under disturbances that overlap: nodes are killed, stopped, paused and
// restarted, the store goes away, upstreams crash by themselves, become brittle and lose their
// waiting room, and some prompts have a fatal part. FORDWOOD_SEED plays another series.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <random>
#include <thread>
#include <vector>

#include "process/fragile_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 4;

// Disturbances of nodes and store in random order. Some last while the next ones come.
class Disturbances
{
public:
    Disturbances(FragileFleet &fleet, unsigned seed) : m_fleet(fleet), m_random(seed) { }

    std::size_t pick(std::size_t n) { return m_random() % n; }

    void next()
    {
        const std::size_t node = pick(kNodes);
        switch (pick(7)) {
        case 0:
            m_fleet.nodes[node].kill();
            m_fleet.startAgain(node);
            break;
        case 1:
            for (const std::size_t it : {node, (node + 1) % kNodes})
                m_fleet.nodes[it].kill();
            for (const std::size_t it : {node, (node + 1) % kNodes})
                m_fleet.startAgain(it);
            break;
        case 2:
            m_fleet.nodes[node].terminate();
            m_fleet.startAgain(node);
            break;
        case 3:
            m_fleet.nodes[node].signal(SIGSTOP);
            std::this_thread::sleep_for(std::chrono::milliseconds(200 + 300 * pick(5)));
            m_fleet.nodes[node].signal(SIGCONT);
            break;
        case 4:
        case 5:
            m_isStoreDown = !m_isStoreDown;
            m_fleet.store.setDown(m_isStoreDown);
            break;
        default:
            m_fleet.putConfiguration(++m_configuration);
        }
    }

    // The store is back and all nodes serve.
    void end()
    {
        m_fleet.store.setDown(false);
        for (std::size_t it = 0; it < kNodes; ++it)
            REQUIRE(Fleet::waitFor([&] { return m_fleet.isReady(static_cast<int>(it)); }));
    }

private:
    FragileFleet &m_fleet;
    std::mt19937 m_random;
    int m_configuration = 1;
    bool m_isStoreDown = false;
};

unsigned seedOfRun()
{
    const char *text = std::getenv("FORDWOOD_SEED");
    return static_cast<unsigned>(text == nullptr ? 1 : std::atoi(text));
}

FragileUpstream::Traits smallUpstreams(std::size_t slots)
{
    FragileUpstream::Traits traits;
    traits.slots = slots;
    return traits;
}

} // namespace

TEST_CASE("fragile soak: no series of disturbances makes brittle upstreams fall over in turn "
          "[node][brittle][soak]")
{
    constexpr int kRounds = 8;
    const unsigned seed = seedOfRun();
    CAPTURE(seed);
    FragileFleet fleet(kNodes, 6, smallUpstreams(1 + seed % 4));
    Disturbances disturbances(fleet, seed);
    const double load = 0.5 + 0.25 * static_cast<double>(disturbances.pick(5));
    SteadyCallers callers(fleet, "c", load * fleet.capacity());
    std::this_thread::sleep_for(1s);
    fleet.setBrittle("3");
    std::this_thread::sleep_for(3s);
    fleet.setWaitingRoom(disturbances.pick(2));
    for (int round = 0; round < kRounds; ++round) {
        disturbances.next();
        std::this_thread::sleep_for(std::chrono::milliseconds(300 * disturbances.pick(5)));
    }
    disturbances.end();
    MESSAGE("fell over ", fleet.falls(), " times; ", callers.sent(), " sent, ", callers.rejected(),
            " rejected, ", callers.failed(), " failed");
    CHECK(fleet.falls() <= fleet.allowedFalls());
    // All is served as before once it is over.
    fleet.setBrittle(std::nullopt);
    fleet.setWaitingRoom(100);
    std::this_thread::sleep_for(4s);
    callers.stop();
    SteadyCallers after(fleet, "d", 0.6 * fleet.capacity());
    std::this_thread::sleep_for(3s);
    CHECK(after.takeAnsweredShare() >= 0.95);
    after.stop();
    CHECK(callers.falselyNotRun() == 0);
    CHECK(after.falselyNotRun() == 0);
}

TEST_CASE("fragile soak: no series of disturbances lets a part of a prompt end one upstream after "
          "the other [node][quarantine][parts][soak]")
{
    constexpr int kRounds = 6;
    const unsigned seed = seedOfRun();
    CAPTURE(seed);
    FragileFleet fleet(kNodes, 8, smallUpstreams(16));
    Disturbances disturbances(fleet, seed);
    const std::size_t place = disturbances.pick(3);
    const auto fatalParts = [place](std::mt19937 &random) {
        const std::string text = soundParts(random);
        std::size_t at = 0;
        for (std::size_t n = 0; n < place; ++n)
            at = text.find(',', at) + 1;
        return text.substr(0, at) + "fa7a1:100," + text.substr(at);
    };
    SteadyCallers sound(fleet, "s", 60.0, soundParts);
    std::this_thread::sleep_for(2s);
    fleet.setFatalParts({"fa7a1"});
    SteadyCallers fatal(fleet, "f", 3.0 + static_cast<double>(disturbances.pick(8)), fatalParts);
    // Nodes that are all killed before the third end is known would count anew.
    std::this_thread::sleep_for(2s);
    for (int round = 0; round < kRounds; ++round) {
        disturbances.next();
        if (disturbances.pick(3) == 0)
            fleet.upstreams[disturbances.pick(8)]->fall();
        std::this_thread::sleep_for(std::chrono::milliseconds(300 * disturbances.pick(5)));
    }
    disturbances.end();
    sound.takeAnsweredShare();
    std::this_thread::sleep_for(3s);
    const double answered = sound.takeAnsweredShare();
    sound.stop();
    fatal.stop();
    const auto runs = fleet.fatalRuns();
    MESSAGE(runs.size(), " fatal runs; sound requests answered ", answered, " at the end");
    // Five ends, and three sends that are allowed later.
    CHECK(runs.size() <= 8);
    CHECK(answered >= 0.9);
    CHECK(sound.falselyNotRun() == 0);
    CHECK(fatal.falselyNotRun() == 0);
}
