// SPDX-License-Identifier: MIT
// Nodes are killed and start anew, one or all, while weights are named, the store turns nodes away,
// its watches hear nothing or its history is dropped: no node uses weights that were replaced too
// long ago, and those that can know it use what they may.
#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

#include "node/weights_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 3;
// The fleet's bound, less what a request that finds an idle engine takes on its way.
constexpr Duration kMayUse = 9500ms;
constexpr Duration kStep = 500ms;

// A naming that all nodes heard in calm is dated to about two seconds, and who starts anew learns
// it from its peers or from the store within another.
constexpr Duration kSurelyUsed = 4s;
constexpr Duration kSettled = 2s;

// Plays random troubles and holds the fleet to what is true.
class WeightsStorm
{
public:
    explicit WeightsStorm(unsigned seed) : m_random(seed), m_fleet(kNodes)
    {
        m_fleet.startAll();
        REQUIRE(m_fleet.waitForWeights(1));
        REQUIRE(m_fleet.waitForPeers());
        m_fleet.advance(kSettled);
    }

    void play(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            trouble();
            m_fleet.advance(kStep);
            m_now += kStep;
            check();
        }
    }

private:
    void trouble();
    void nameWeights();
    void killSome();
    void troubleStore();
    void check();
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    std::mt19937 m_random;
    WeightsFleet m_fleet;
    Duration m_now{0};
    std::map<std::uint64_t, Duration> m_named; // true times
    std::uint64_t m_newest = 1;
    std::optional<Duration> m_storeTrouble; // since when
    Duration m_calmSince{0};
};

void WeightsStorm::nameWeights()
{
    m_fleet.nameWeights(++m_newest);
    m_named[m_newest] = m_now;
}

void WeightsStorm::killSome()
{
    m_calmSince = m_now;
    if (chance(40)) {
        m_fleet.killAll();
        m_fleet.startAll();
        return;
    }
    const int node = static_cast<int>(m_random() % kNodes);
    m_fleet.kill(node);
    m_fleet.start(node);
}

void WeightsStorm::troubleStore()
{
    m_calmSince = m_now;
    if (m_storeTrouble) {
        m_fleet.store().setDown(false);
        m_fleet.store().setSilentWatches(false);
        m_storeTrouble.reset();
    } else if (chance(50)) {
        m_fleet.store().setDown(true);
        m_storeTrouble = m_now;
    } else if (chance(50)) {
        m_fleet.store().setSilentWatches(true);
        m_storeTrouble = m_now;
    } else {
        m_fleet.store().forgetHistory();
    }
}

void WeightsStorm::trouble()
{
    if (chance(8))
        nameWeights();
    if (chance(12))
        killSome();
    if (chance(m_storeTrouble ? 30 : 8))
        troubleStore();
}

void WeightsStorm::check()
{
    for (const auto &it : m_named) {
        const std::uint64_t version = it.first;
        const Duration named = it.second;
        const Duration age = m_now - named;
        const int users = m_fleet.nodesThatUse(version - 1);
        INFO("version ", version, " named ", age.count() / 1'000'000, " ms ago at ",
             m_now.count() / 1'000'000, " ms");
        if (age > kMayUse)
            CHECK(users == 0);
        const bool isCalm
            = !m_storeTrouble && m_calmSince < named && m_now - m_calmSince >= kSettled;
        if (isCalm && age < kSurelyUsed)
            CHECK(users == kNodes);
    }
}

std::vector<unsigned> seeds()
{
    const char *given = std::getenv("FORDWOOD_SEED");
    if (given != nullptr)
        return {static_cast<unsigned>(std::strtoul(given, nullptr, 10))};
    return {1, 2, 3};
}

} // namespace

TEST_CASE("weights: whatever happens to nodes and store no node uses replaced weights too long "
          "[weights][random]")
{
    for (const unsigned it : seeds()) {
        CAPTURE(it);
        WeightsStorm storm(it);
        storm.play(50);
    }
}
