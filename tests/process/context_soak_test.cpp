// SPDX-License-Identifier: MIT
// Context of old weights under disturbances that overlap: nodes are cut off in groups, suspended,
// killed and restarted, the platform's store goes away, and new weights are named meanwhile.
// FORDWOOD_SEED plays another series.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "process/context_fleet.hpp"

using namespace fordwood;
using namespace fordwood::process;
using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

namespace {

constexpr int kNodes = 4;
constexpr auto kLength = 60s;
constexpr std::size_t kCallers = 3;
constexpr std::size_t kPartsOfEach = 200; // of each version of the weights

class ContextSoak
{
public:
    explicit ContextSoak(unsigned seed) : m_random(seed)
    {
        holdParts();
        for (std::size_t n = 0; n < kCallers; ++n)
            m_threads.emplace_back(
                [this, n, seed] { callRepeatedly(seed + static_cast<unsigned>(n) * 1000); });
    }

    void run()
    {
        const auto until = steady_clock::now() + kLength;
        while (steady_clock::now() < until) {
            startDisturbance();
            for (std::size_t n = 2 + pick(14); n > 0; --n)
                step();
        }
        m_isOver = true;
        for (std::thread &it : m_threads)
            it.join();
        for (const Process &it : m_fleet.nodes)
            it.signal(SIGCONT);
        m_fleet.store.setDown(false);
        m_fleet.cutOff({});
    }

    ContextFleet &fleet() { return m_fleet; }

private:
    using Time = steady_clock::time_point;

    struct KeptPart
    {
        std::string id;
        std::uint64_t weights = 0;
    };

    std::size_t pick(std::size_t n) { return m_random() % n; }
    milliseconds upTo(milliseconds most)
    {
        return milliseconds(pick(static_cast<std::size_t>(most.count())));
    }

    void holdParts()
    {
        const std::lock_guard lock(m_mutex);
        for (const std::string &it : m_fleet.holdParts(kPartsOfEach))
            m_parts.push_back({it, m_fleet.named});
    }

    void startDisturbance()
    {
        const int node = static_cast<int>(pick(kNodes));
        switch (pick(8)) {
        case 0:
        case 1:
        case 2:
            cutOff();
            break;
        case 3:
            suspend(node);
            break;
        case 4:
            m_fleet.nodes[static_cast<std::size_t>(node)].kill();
            m_resumeAt.erase(node);
            m_fleet.startAgain(static_cast<std::size_t>(node), m_fleet.storePath(node));
            break;
        case 5:
            m_fleet.store.setDown(true);
            m_storeBackAt = steady_clock::now() + upTo(6s);
            break;
        default:
            nameWeights();
        }
    }

    // Any group, also of all nodes. Most cuts last while other disturbances come; some are followed
    // by another one.
    void cutOff()
    {
        if (m_healAt && pick(4) != 0)
            return;
        std::set<int> group;
        for (int n = 0; n < kNodes; ++n) {
            if (pick(2) == 0)
                group.insert(n);
        }
        m_fleet.cutOff(group, pick(2) == 0 ? FaultyProxy::Mode::Silent : FaultyProxy::Mode::Reset);
        m_healAt = steady_clock::now() + 1s + upTo(19s);
    }

    void suspend(int node)
    {
        m_fleet.nodes[static_cast<std::size_t>(node)].signal(SIGSTOP);
        m_resumeAt[node] = steady_clock::now() + upTo(5s);
    }

    // The engines have the weights that were named before by then.
    void nameWeights()
    {
        if (m_enginesReadyAt)
            return;
        const std::lock_guard lock(m_mutex);
        m_supersededAt[m_fleet.named] = steady_clock::now();
        m_fleet.nameWeights();
        m_enginesReadyAt = steady_clock::now() + 6s + upTo(6s);
    }

    void step()
    {
        constexpr milliseconds kStep{100};
        std::this_thread::sleep_for(kStep);
        m_fleet.store.advanceTime(kStep);
        const Time now = steady_clock::now();
        if (m_healAt && now >= *m_healAt) {
            m_healAt.reset();
            m_fleet.cutOff({});
        }
        if (m_storeBackAt && now >= *m_storeBackAt) {
            m_storeBackAt.reset();
            m_fleet.store.setDown(false);
        }
        if (m_enginesReadyAt && now >= *m_enginesReadyAt) {
            m_enginesReadyAt.reset();
            m_fleet.setEngineWeights();
            holdParts();
        }
        std::erase_if(m_resumeAt, [&](const auto &it) {
            if (now < it.second)
                return false;
            m_fleet.nodes[static_cast<std::size_t>(it.first)].signal(SIGCONT);
            return true;
        });
    }

    void callRepeatedly(unsigned seed)
    {
        std::mt19937 random(seed);
        while (!m_isOver) {
            m_fleet.sendWith(nextPart(random), static_cast<int>(random() % kNodes));
            std::this_thread::sleep_for(milliseconds(random() % 80));
        }
    }

    // A part that is due to be freed soon, or any.
    std::string nextPart(std::mt19937 &random)
    {
        const std::lock_guard lock(m_mutex);
        const Time now = steady_clock::now();
        for (int n = 0; n < 50; ++n) {
            const KeptPart &it = m_parts[random() % m_parts.size()];
            const auto superseded = m_supersededAt.find(it.weights);
            if (superseded == m_supersededAt.end())
                continue;
            const auto left = superseded->second + OldContextTimes::unusedAfter(it.id) - now;
            if (left > 0s && left < 2s)
                return it.id;
        }
        return m_parts[random() % m_parts.size()].id;
    }

    ContextFleet m_fleet{kNodes};
    std::mt19937 m_random;
    std::mutex m_mutex;
    std::vector<KeptPart> m_parts;
    std::map<std::uint64_t, Time> m_supersededAt; // by version of the weights
    std::optional<Time> m_healAt;
    std::optional<Time> m_storeBackAt;
    std::optional<Time> m_enginesReadyAt;
    std::map<int, Time> m_resumeAt; // of suspended nodes
    std::atomic<bool> m_isOver{false};
    std::vector<std::thread> m_threads;
};

} // namespace

TEST_CASE("context soak: no context is fetched while it is freed, whichever nodes are cut off, "
          "suspended or killed [node][stores][cut][soak]")
{
    const char *text = std::getenv("FORDWOOD_SEED");
    const unsigned seed = text != nullptr ? static_cast<unsigned>(std::stoul(text)) : 4;
    CAPTURE(seed);
    ContextSoak soak(seed);
    soak.run();
    const ContextFleet::Fetches fetches = soak.fleet().fetches();
    MESSAGE("seed ", seed, ": ", fetches.all, " fetches, ", soak.fleet().contextStore.freedParts(),
            " parts freed, weights ", soak.fleet().named);
    CHECK(fetches.all > 0);
    CHECK(soak.fleet().contextStore.freedParts() > 0);
    for (const std::string &it : fetches.late)
        CHECK_MESSAGE(false, it);
}
