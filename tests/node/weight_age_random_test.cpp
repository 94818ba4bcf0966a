// SPDX-License-Identifier: MIT
// Restarts one node or all at random while weights are named, the store rejects calls, its watches
// deliver nothing or its history is dropped. No node may use weights that were replaced too long
// ago, and nodes that can know the age must use replaced weights as long as allowed.
#include <doctest/doctest.h>

#include <cstdlib>
#include <random>

#include "node/weights_fleet.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 3;
// The fleet's limit, minus the transit time of a request to an idle engine.
constexpr Duration kMaxUseTime = 9500ms;
constexpr Duration kStep = 500ms;

// Without faults, all nodes bound the time of a naming to about two seconds, and a restarted node
// learns it from its peers or from the store within another two.
constexpr Duration kMinUseTime = 4s;
constexpr Duration kSettleTime = 2s;

// Injects random faults and checks the fleet against the actual times of the namings.
class RandomWeightFaults
{
public:
    explicit RandomWeightFaults(unsigned seed) : m_random(seed), m_fleet(kNodes)
    {
        m_fleet.startAll();
        REQUIRE(m_fleet.waitForWeights(1));
        REQUIRE(m_fleet.waitForPeers());
        m_fleet.advance(kSettleTime);
    }

    void run(int steps)
    {
        for (int n = 0; n < steps; ++n) {
            injectFaults();
            m_fleet.advance(kStep);
            m_now += kStep;
            check();
        }
    }

private:
    void injectFaults();
    void nameWeights();
    void restartSome();
    void toggleStoreFault();
    void check();
    bool chance(int percent) { return static_cast<int>(m_random() % 100) < percent; }

    std::mt19937 m_random;
    WeightsFleet m_fleet;
    Duration m_now{0};
    std::map<std::uint64_t, Duration> m_namingTimes; // actual times
    std::uint64_t m_newest = 1;
    std::optional<Duration> m_storeFaultSince;
    Duration m_lastFaultAt{0};
};

void RandomWeightFaults::nameWeights()
{
    m_fleet.nameWeights(++m_newest);
    m_namingTimes[m_newest] = m_now;
}

void RandomWeightFaults::restartSome()
{
    m_lastFaultAt = m_now;
    if (chance(40)) {
        m_fleet.killAll();
        m_fleet.startAll();
        return;
    }
    const int node = static_cast<int>(m_random() % kNodes);
    m_fleet.kill(node);
    m_fleet.start(node);
}

void RandomWeightFaults::toggleStoreFault()
{
    m_lastFaultAt = m_now;
    if (m_storeFaultSince) {
        m_fleet.store().setDown(false);
        m_fleet.store().setSilentWatches(false);
        m_storeFaultSince.reset();
    } else if (chance(50)) {
        m_fleet.store().setDown(true);
        m_storeFaultSince = m_now;
    } else if (chance(50)) {
        m_fleet.store().setSilentWatches(true);
        m_storeFaultSince = m_now;
    } else {
        m_fleet.store().forgetHistory();
    }
}

void RandomWeightFaults::injectFaults()
{
    if (chance(8))
        nameWeights();
    if (chance(12))
        restartSome();
    if (chance(m_storeFaultSince ? 30 : 8))
        toggleStoreFault();
}

void RandomWeightFaults::check()
{
    for (const auto &it : m_namingTimes) {
        const std::uint64_t version = it.first;
        const Duration named = it.second;
        const Duration age = m_now - named;
        const int users = m_fleet.nodesThatUse(version - 1);
        INFO("version ", version, " named ", age.count() / 1'000'000, " ms ago at ",
             m_now.count() / 1'000'000, " ms");
        if (age > kMaxUseTime)
            CHECK(users == 0);
        const bool isUndisturbed
            = !m_storeFaultSince && m_lastFaultAt < named && m_now - m_lastFaultAt >= kSettleTime;
        if (isUndisturbed && age < kMinUseTime)
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

TEST_CASE("weights: under random faults no node uses replaced weights too long "
          "[weights][random]")
{
    for (const unsigned it : seeds()) {
        CAPTURE(it);
        RandomWeightFaults faults(it);
        faults.run(50);
    }
}
