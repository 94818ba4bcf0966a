// SPDX-License-Identifier: MIT
// Replays the load that schedulers of engines are for: many nodes send long prompts to engines that
// all of them share.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>

#include "fordwood/engine_chooser.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/placement_ledger.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 29;
constexpr std::size_t kEngines = 90;
constexpr double kPromptsPerSecond = 232.0;
constexpr Duration kStep = 1ms;
constexpr double kTokensPerMs = 51.1;
// Nodes learn each 400 ms what the others had sent 100 ms before: loads of 100 to 500 ms.
constexpr Duration kSumInterval = 400ms;
constexpr Duration kSumAge = 100ms;
// An engine computes at a fraction of its speed now and then.
constexpr double kSlowdown = 2.5;
constexpr double kSlowShare = 0.15;
constexpr double kSlowMs = 600.0;
constexpr Duration kAnswerTime = 150ms; // from the first token to the end

enum class Knowledge { OldSums, Ledger };

// The mean over all prompts, in tokens that were queued when the prompt was sent.
struct Queues
{
    double chosen = 0.0; // at the chosen engine
    double median = 0.0; // at the median engine
    double nodeView = 0.0; // at the chosen engine, as far as the choice knew
};

class LoadReplay
{
public:
    explicit LoadReplay(Knowledge knowledge)
        : m_knowledge(knowledge), m_ledger(m_clock), m_health(m_clock), m_contexts(m_clock),
          m_chooser(m_clock, {}), m_engines(kEngines)
    {
        m_traits.slots = 16;
        m_traits.contextTokens = 45'447;
        for (std::size_t n = 0; n < kEngines; ++n) {
            UpstreamRecord record;
            record.instanceId = "e" + std::to_string(n);
            record.failureDomain = "z" + std::to_string(n % 4);
            record.weightVersions["m"] = 1;
            m_records.push_back(std::move(record));
        }
        for (std::size_t n = 0; n < kNodes; ++n)
            m_nodes.push_back(
                {UpstreamLoadTracker(m_clock), {}, n * kSumInterval / kNodes / kStep * kStep});
    }

    Queues run(Duration time)
    {
        std::uniform_real_distribution<double> chance;
        const double sendsPerStep
            = kPromptsPerSecond * std::chrono::duration<double>(kStep).count();
        for (m_elapsed = {}; m_elapsed < time; m_elapsed += kStep) {
            compute();
            exchangeSums();
            if (chance(m_random) < sendsPerStep)
                send();
            m_clock.advance(kStep);
        }
        const auto n = static_cast<double>(m_sent);
        return {m_total.chosen / n, m_total.median / n, m_total.nodeView / n};
    }

private:
    struct Running
    {
        std::uint64_t number = 0;
        std::size_t node = 0;
        RequestLoad load;
        double tokensLeft = 0.0;
        TimePoint endsAt{};
    };
    struct Engine
    {
        std::deque<Running> queue; // the first one is computed
        std::deque<Running> answering;
        bool isSlow = false;
        std::size_t queuedTokens = 0;
    };
    struct Node
    {
        UpstreamLoadTracker loads;
        UpstreamLoads sum; // of the others, on its way to the node
        Duration phase{};
    };

    // Computes prompts one after the other at each engine for one step.
    void compute()
    {
        std::uniform_real_distribution<double> chance;
        constexpr double kEndsPerMs = 1.0 / kSlowMs;
        constexpr double kBeginsPerMs = kEndsPerMs * kSlowShare / (1.0 - kSlowShare);
        for (std::size_t n = 0; n < kEngines; ++n) {
            Engine &engine = m_engines[n];
            if (chance(m_random) < (engine.isSlow ? kEndsPerMs : kBeginsPerMs))
                engine.isSlow = !engine.isSlow;
            double tokens = kTokensPerMs / (engine.isSlow ? kSlowdown : 1.0);
            while (!engine.queue.empty() && tokens > 0.0) {
                Running &first = engine.queue.front();
                const double done = std::min(tokens, first.tokensLeft);
                first.tokensLeft -= done;
                tokens -= done;
                if (first.tokensLeft <= 0.0)
                    finishPrompt(n);
            }
            while (!engine.answering.empty() && engine.answering.front().endsAt <= m_clock.now()) {
                const Running ended = engine.answering.front();
                engine.answering.pop_front();
                m_nodes[ended.node].loads.end(m_records[n].instanceId, ended.load, true);
                m_ledger.end({ended.node, ended.number});
            }
        }
    }

    void finishPrompt(std::size_t engine)
    {
        Running running = m_engines[engine].queue.front();
        m_engines[engine].queue.pop_front();
        m_engines[engine].queuedTokens -= running.load.tokensToCompute;
        m_nodes[running.node].loads.promptComputed(m_records[engine].instanceId, running.load);
        m_ledger.promptComputed({running.node, running.number});
        running.endsAt = m_clock.now() + kAnswerTime;
        m_engines[engine].answering.push_back(running);
    }

    void exchangeSums()
    {
        for (Node &it : m_nodes) {
            const Duration sinceSum = (m_elapsed + it.phase) % kSumInterval;
            if (sinceSum == kSumAge)
                it.loads.setPeerLoads("others", it.sum);
            if (sinceSum != Duration::zero())
                continue;
            it.sum = {};
            for (const Node &other : m_nodes) {
                if (&other != &it)
                    it.sum += UpstreamLoads(other.loads.own());
            }
        }
    }

    void send()
    {
        const std::size_t node
            = std::uniform_int_distribution<std::size_t>(0, kNodes - 1)(m_random);
        const std::uint64_t number = ++m_sent;
        // A context that neither an engine nor a store has: all of the prompt is computed.
        const Prompt prompt{"m", {{"c" + std::to_string(number), 7'520}, {"own", 1'670}}, 9'190, 9};
        std::vector<const UpstreamRecord *> engines;
        for (const UpstreamRecord &it : m_records)
            engines.push_back(&it);
        const bool hasLedger = m_knowledge == Knowledge::Ledger;
        const LoadView &loads
            = hasLedger ? static_cast<const LoadView &>(m_ledger) : m_nodes[node].loads;
        const EngineChooser::Query query{prompt,
                                         "",
                                         m_weights,
                                         m_traits,
                                         {},
                                         {},
                                         hasLedger ? 1.0 : candidateFractionFor(kNodes),
                                         m_random()};
        const auto choice = m_chooser.choose(query, engines, loads, m_health, m_contexts);
        REQUIRE(choice);
        const auto chosen = static_cast<std::size_t>(std::stoul(choice->instanceId.substr(1)));
        measure(chosen, *choice);
        m_nodes[node].loads.begin(choice->instanceId, choice->load);
        m_ledger.add(
            {node, number},
            {choice->instanceId, choice->load, {}, m_clock.now() + 1h, m_clock.now() + 1h});
        const auto tokens = static_cast<double>(choice->load.tokensToCompute);
        m_engines[chosen].queue.push_back({number, node, choice->load, tokens, {}});
        m_engines[chosen].queuedTokens += choice->load.tokensToCompute;
    }

    void measure(std::size_t chosen, const EngineChoice &choice)
    {
        std::array<double, kEngines> queued{};
        for (std::size_t n = 0; n < kEngines; ++n)
            queued[n] = static_cast<double>(m_engines[n].queuedTokens);
        m_total.chosen += queued[chosen];
        m_total.nodeView += static_cast<double>(choice.loadBefore.tokensToCompute);
        std::nth_element(queued.begin(), queued.begin() + kEngines / 2, queued.end());
        m_total.median += queued[kEngines / 2];
    }

    const Knowledge m_knowledge;
    ManualClock m_clock;
    std::mt19937_64 m_random{20};
    PlacementLedger m_ledger;
    UpstreamHealth m_health;
    ContextDirectory m_contexts;
    EngineChooser m_chooser;
    EngineTraits m_traits;
    WeightHistory m_weights;
    std::vector<UpstreamRecord> m_records;
    std::vector<Engine> m_engines;
    std::vector<Node> m_nodes;
    Duration m_elapsed{};
    std::uint64_t m_sent = 0;
    Queues m_total;
};

} // namespace

// Guards against nodes that choose the same idle engine, while others have nothing to compute.
TEST_CASE("placement load: with a ledger the chosen engine has less than half of the median "
          "engine's queue [placement][load]")
{
    constexpr Duration kTime = 20s;
    const Queues old = LoadReplay(Knowledge::OldSums).run(kTime);
    const Queues ledger = LoadReplay(Knowledge::Ledger).run(kTime);
    INFO("old sums: chosen ", old.chosen, ", known of it ", old.nodeView, ", median ", old.median);
    INFO("ledger: chosen ", ledger.chosen, ", median ", ledger.median);
    CHECK(ledger.median > 0.0);
    CHECK(ledger.chosen < ledger.median / 2);
    CHECK(ledger.chosen < old.chosen / 2);
    CHECK(ledger.nodeView == doctest::Approx(ledger.chosen)); // nothing is unknown to it
    CHECK(old.nodeView < old.chosen / 2);
}
