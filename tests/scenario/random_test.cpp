// SPDX-License-Identifier: MIT
// A long run of random requests and faults, in which what must always hold is checked after each
// step. FORDWOOD_SEED=N runs one seed of one's own.
#include <doctest/doctest.h>

#include <cstdlib>

#include "support/world.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using support::Mutation;
using support::World;
using support::WorldRequest;

namespace {

constexpr int kEngines = 6;

// Sends, resends and disturbs, drawn from one seeded source.
class Storm
{
public:
    Storm(World &world, std::uint64_t seed, int nodes)
        : m_world(world), m_random(seed), m_nodes(nodes)
    { }

    void run(std::uint64_t steps)
    {
        const std::uint64_t end = m_world.steps() + steps;
        while (m_world.steps() < end && m_world.violation().empty()) {
            sendOne();
            if (m_random() % 30 == 0)
                disturb();
            m_world.run(60ms);
        }
    }

    // Ends all faults and lets everything finish.
    void calm()
    {
        m_world.setPlatformDown(false);
        for (int it = 0; it < 4; ++it)
            m_world.cutDomain("domain-" + std::to_string(it), false);
        for (int it = 0; it < m_nodes; ++it) {
            m_world.pause(it, false);
            if (!m_world.fleet.isAlive(it))
                m_world.restart(it);
        }
        for (int it = 0; it < kEngines; ++it)
            m_world.setLeaving("engine-" + std::to_string(it), false);
        m_world.run(90s); // a slot of a node that died is in the way for 40 s
    }

private:
    int node() { return static_cast<int>(m_random() % static_cast<std::uint64_t>(m_nodes)); }

    void sendOne()
    {
        WorldRequest request;
        request.node = node();
        request.team = "team-" + std::to_string(m_random() % 3);
        request.service = m_random() % 2 == 0;
        request.repeatable = m_random() % 2 == 0;
        request.deadline = std::chrono::seconds(1 + m_random() % 10);
        if (m_random() % 3 == 0) {
            // A new key, or an old one sent again after a while.
            if (m_keys.empty() || m_random() % 2 == 0) {
                const auto skew
                    = std::chrono::milliseconds(static_cast<int>(m_random() % 4000) - 2000);
                m_keys.push_back(
                    {"k" + std::to_string(m_keys.size()), m_world.fleet.clock.wallNow() + skew});
            }
            const std::size_t recent = std::min<std::size_t>(m_keys.size(), 30);
            const auto &key = m_keys[m_keys.size() - 1 - m_random() % recent];
            request.team = "team-0";
            request.service = true;
            request.key = key.first;
            request.issued = key.second;
        }
        m_world.send(request);
    }

    void disturb()
    {
        const int target = node();
        const std::string upstream
            = m_random() % 4 == 0 ? "service-0" : "engine-" + std::to_string(m_random() % 6);
        const std::string domain = "domain-" + std::to_string(m_random() % 4);
        switch (m_random() % 17) {
        case 0:
            return m_world.kill(target);
        case 1:
        case 2:
        case 14:
        case 15:
            return m_world.restart(target);
        case 3:
            return m_world.pause(target, true);
        case 4:
        case 5:
        case 6:
            return m_world.pause(target, false);
        case 7:
            return m_world.setPlatformDown(m_random() % 4 == 0);
        case 8:
            return m_world.cutDomain(domain, m_random() % 4 == 0);
        case 9:
            return m_world.breakUpstream(upstream);
        case 10:
            return m_world.refuseNext(upstream, 3);
        case 11:
            return m_world.setLeaving(upstream, m_random() % 2 == 0);
        case 12:
            return m_world.loseNextReplies(2);
        case 16:
            return m_world.stopNode(target);
        case 13:
            m_world.submit("v" + std::to_string(m_random() % 5));
            return;
        }
    }

    World &m_world;
    std::mt19937_64 m_random;
    int m_nodes;
    std::vector<std::pair<std::string, WallTime>> m_keys;
};

constexpr int kNodes = 8;

std::string stormOf(std::uint64_t seed, std::uint64_t steps, Mutation mutation,
                    World **kept = nullptr)
{
    static std::unique_ptr<World> world;
    support::WorldSize size;
    size.nodes = kNodes;
    size.seed = seed;
    size.mutation = mutation;
    size.ceilings = {{"team-1", 5}, {"team-2", 40}};
    world = std::make_unique<World>(size);
    world->settle();
    Storm storm(*world, seed, kNodes);
    storm.run(steps);
    storm.calm();
    if (kept != nullptr)
        *kept = world.get();
    return world->violation();
}

} // namespace

TEST_CASE("storm: all promises hold after each of 12000 steps of mixed faults [storm]")
{
    std::vector<std::uint64_t> seeds{1, 2, 3};
    if (const char *own = std::getenv("FORDWOOD_SEED"))
        seeds = {std::strtoull(own, nullptr, 10)};
    for (const std::uint64_t seed : seeds) {
        CAPTURE(seed);
        World *world = nullptr;
        CHECK(stormOf(seed, 12'000, Mutation::None, &world) == "");
        CHECK(world->open() == 0);
        for (int it = 1; it < kEngines; ++it)
            CHECK(world->versionOn("engine-" + std::to_string(it)) == world->versionOn("engine-0"));
        int answered = 0;
        int repeated = 0;
        for (std::size_t it = 0; it < world->requests(); ++it) {
            answered += world->result(it).answered ? 1 : 0;
            repeated += world->result(it).repeatedAnswer ? 1 : 0;
        }
        MESSAGE("seed ", seed, ": ", world->requests(), " requests, ", answered, " answered, ",
                repeated, " from kept answers");
        CHECK(answered > 500); // else the storm would prove little
        CHECK(repeated > 10);
    }
}

TEST_CASE("storm: every rule that is broken on purpose is found [storm][mutation]")
{
    struct Case
    {
        Mutation mutation;
        std::string found;
    };
    const std::vector<Case> cases{
        {Mutation::SaysNotRun, "had run"},
        {Mutation::HidesLeaving, "leaving upstream"},
        {Mutation::RunsEveryClaim, "a key ran twice"},
        {Mutation::ForgetsBoot, "a key ran twice"},
        {Mutation::LosesRefusals, "got no end"},
        {Mutation::GrantsEveryWish, "of at most"},
        {Mutation::RepeatsAll, "ran twice"},
        {Mutation::HidesSlots, "load at once"},
        {Mutation::HandsOverTenuresOnly, "a key ran twice"},
    };
    for (const Case &it : cases) {
        std::string violation;
        for (std::uint64_t seed = 1; seed <= 6 && violation.empty(); ++seed)
            violation = stormOf(seed, 12'000, it.mutation);
        CAPTURE(static_cast<int>(it.mutation));
        CAPTURE(violation);
        CHECK_FALSE(violation.empty());
    }
}
