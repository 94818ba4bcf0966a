// SPDX-License-Identifier: MIT
// Tells poison requests, which crash the upstreams that run them, from requests that happen to run
// beside them.
#include <doctest/doctest.h>

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fordwood/gossip_queue.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/quarantine_gate.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

const RequestFingerprint kPoison{1, 2};
const RequestFingerprint kOther{3, 4};

QuarantineUpdate failure(std::uint64_t instance, const RequestFingerprint &request = kPoison)
{
    return {request, instance};
}

// Nodes that exchange all reports at once.
struct Nodes
{
    Nodes() : gates{QuarantineGate(clock), QuarantineGate(clock), QuarantineGate(clock)} { }

    void exchangeUpdates()
    {
        for (QuarantineGate &from : gates) {
            const auto updates = from.takeUpdates();
            for (QuarantineGate &to : gates) {
                if (&to != &from)
                    to.applyUpdates(updates);
            }
        }
    }

    ManualClock clock;
    std::vector<QuarantineGate> gates;
};

} // namespace

TEST_CASE("quarantine: three failures hold a request, in any order and from any reporting node")
{
    ManualClock clock;
    Quarantine one(clock);
    Quarantine other(clock);
    for (const std::uint64_t instance : {7U, 8U, 7U, 9U})
        one.apply(failure(instance));
    for (const std::uint64_t instance : {9U, 7U, 8U, 7U})
        other.apply(failure(instance));
    CHECK(one.isHeld(kPoison));
    CHECK(other.isHeld(kPoison));
    CHECK_FALSE(one.isHeld(kOther));
    CHECK(one.heldRequests() == 1);
}

TEST_CASE("quarantine: an upstream that ends while running many copies of a request counts once")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    CHECK(quarantine.apply(failure(7)));
    for (int n = 0; n < 10; ++n)
        CHECK_FALSE(quarantine.apply(failure(7)));
    CHECK(quarantine.isSuspect(kPoison));
    CHECK_FALSE(quarantine.isHeld(kPoison));
}

TEST_CASE("quarantine: a successful response clears a request of earlier and later failures")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    for (std::uint64_t instance = 1; instance <= 3; ++instance)
        quarantine.apply(failure(instance));
    CHECK(quarantine.isHeld(kPoison));
    CHECK(quarantine.apply({kPoison, {}}));
    CHECK_FALSE(quarantine.isHeld(kPoison));
    for (std::uint64_t instance = 4; instance <= 9; ++instance)
        CHECK_FALSE(quarantine.apply(failure(instance)));
    CHECK_FALSE(quarantine.isHeld(kPoison));
}

TEST_CASE("quarantine: a request may be tried after the hold, and one more failure holds it again")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    for (std::uint64_t instance = 1; instance <= 3; ++instance)
        quarantine.apply(failure(instance));
    CHECK(quarantine.heldFor(kPoison) == 10min);
    clock.advance(10min);
    CHECK_FALSE(quarantine.isHeld(kPoison));
    quarantine.apply(failure(4));
    CHECK(quarantine.isHeld(kPoison));
    clock.advance(1h);
    quarantine.tick();
    CHECK(quarantine.isEmpty());
}

TEST_CASE("quarantine: the number of entries is bounded, and a held request is not evicted")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    for (std::uint64_t instance = 1; instance <= 3; ++instance)
        quarantine.apply(failure(instance));
    for (std::uint64_t n = 0; n < 5'000; ++n) {
        clock.advance(1ms);
        quarantine.apply(failure(1, {n, n + 10}));
    }
    CHECK(quarantine.isHeld(kPoison));
    CHECK_FALSE(quarantine.isSuspect({0, 10}));
    CHECK(quarantine.isSuspect({4'999, 5'009}));
}

TEST_CASE("quarantine: failures seen by three nodes, one each, hold the request at all of them")
{
    Nodes nodes;
    for (std::size_t n = 0; n < nodes.gates.size(); ++n)
        nodes.gates[n].onDisconnect(kPoison, "i-" + std::to_string(n));
    nodes.exchangeUpdates();
    for (const QuarantineGate &it : nodes.gates)
        CHECK(it.isHeld(kPoison));
}

TEST_CASE("quarantine: no node holds a recently answered page when several upstreams end in a row")
{
    Nodes nodes;
    nodes.gates[0].onAnswer(kOther);
    for (int n = 0; n < 6; ++n) {
        nodes.clock.advance(500ms);
        for (QuarantineGate &it : nodes.gates)
            it.onDisconnect(kOther, "i-" + std::to_string(n));
        nodes.exchangeUpdates();
        // The successful response reaches the nodes that reported a failure.
        nodes.exchangeUpdates();
    }
    for (const QuarantineGate &it : nodes.gates)
        CHECK_FALSE(it.isHeld(kOther));
}

TEST_CASE("quarantine: an old response does not clear a request")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    gate.onAnswer(kPoison);
    clock.advance(1min);
    for (int n = 0; n < 3; ++n)
        gate.onDisconnect(kPoison, "i-" + std::to_string(n));
    CHECK(gate.isHeld(kPoison));
}

TEST_CASE("quarantine: an upstream that loses power while running a request counts once it is "
          "known to have ended")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    // The connections of a failed upstream stay open without data. The first two callers leave
    // before its record expires, the last one after that.
    for (const char *it : {"i-1", "i-2"}) {
        gate.onUnanswered(kPoison, it);
        clock.advance(4s);
        gate.onUpstreamEnded(it);
    }
    gate.onUpstreamEnded("i-3");
    clock.advance(1s);
    CHECK_FALSE(gate.isHeld(kPoison));
    gate.onUnanswered(kPoison, "i-3");
    CHECK(gate.isHeld(kPoison));
}

TEST_CASE("quarantine: a request whose caller left long before the upstream ended does not count")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    for (const char *it : {"i-1", "i-2", "i-3"}) {
        gate.onUnanswered(kPoison, it);
        clock.advance(10s);
        gate.tick();
        gate.onUpstreamEnded(it);
    }
    CHECK_FALSE(gate.isHeld(kPoison));
}

TEST_CASE(
    "quarantine: reports are repeated for peers that miss messages, a bounded number of times")
{
    ManualClock clock;
    GossipQueue queue(clock);
    queue.add(failure(7));
    CHECK(queue.hasUnsent());
    int timesSent = 0;
    for (int n = 0; n < 200; ++n) {
        timesSent += static_cast<int>(queue.takeDue().size());
        clock.advance(100ms);
    }
    CHECK(timesSent == 6);
    CHECK_FALSE(queue.hasUnsent());
}

TEST_CASE("quarantine: many reports at once are split into messages of bounded size")
{
    ManualClock clock;
    GossipQueue queue(clock);
    for (std::uint64_t n = 0; n < 1'000; ++n)
        queue.add(failure(n));
    std::size_t messages = 0;
    while (queue.hasUnsent() && messages < 100) {
        CHECK(queue.takeDue().size() <= 200);
        messages += 1;
    }
    CHECK(messages <= 15);
}

namespace {

// Callers send to random nodes for 20 s, one request in 33 with content that crashes each engine
// that runs it, always under a new id. Each crashed engine restarts as another instance.
class FleetUnderPoisonRequests
{
public:
    explicit FleetUnderPoisonRequests(std::uint64_t seed) : m_random(seed)
    {
        for (int n = 0; n < 8; ++n)
            m_gates.emplace_back(m_clock);
    }

    void run()
    {
        const TimePoint end = m_clock.now() + 20s;
        while (m_clock.now() < end) {
            arrive(m_random() % 33 == 0 ? kPoison : RequestFingerprint{m_random() % 100, 10});
            m_clock.advance(kBetweenRequests);
            finishRuns();
            if (m_clock.now() >= m_nextRound)
                exchangeUpdates();
        }
    }

    std::size_t crashes = 0;
    std::size_t poisonSentOnceKnown = 0; // one round of messages after the third crash, or later
    std::size_t poisonRefused = 0;
    std::size_t othersRefused = 0;
    std::size_t othersAnswered = 0;

private:
    static constexpr Duration kBetweenRequests = 5ms;
    static constexpr Duration kRunTime = 30ms;
    static constexpr Duration kRound = 100ms;
    static constexpr Duration kRestartTime = 3s;

    struct Engine
    {
        std::uint64_t instance = 0;
        TimePoint upFrom{};
    };

    struct Run
    {
        RequestFingerprint request;
        std::size_t node = 0;
        std::size_t engine = 0;
        TimePoint until{};
    };

    std::string idOf(std::size_t engine) const
    {
        return std::to_string(engine) + "-" + std::to_string(m_engines[engine].instance);
    }

    // Empty: all engines are down.
    std::optional<std::size_t> pickEngine()
    {
        const std::size_t first = m_random() % m_engines.size();
        for (std::size_t n = 0; n < m_engines.size(); ++n) {
            const std::size_t engine = (first + n) % m_engines.size();
            if (m_engines[engine].upFrom <= m_clock.now())
                return engine;
        }
        return {};
    }

    void arrive(const RequestFingerprint &request)
    {
        const std::size_t node = m_random() % m_gates.size();
        if (m_gates[node].isHeld(request)) {
            (request == kPoison ? poisonRefused : othersRefused) += 1;
            return;
        }
        const std::optional<std::size_t> engine = pickEngine();
        if (!engine) {
            othersRefused += 1;
            return;
        }
        if (request == kPoison && m_knownFrom && m_clock.now() >= *m_knownFrom)
            poisonSentOnceKnown += 1;
        m_runs.push_back({request, node, *engine, m_clock.now() + kRunTime});
    }

    void finishRuns()
    {
        while (!m_runs.empty() && m_runs.front().until <= m_clock.now()) {
            const Run run = m_runs.front();
            m_runs.pop_front();
            if (run.request == kPoison) {
                m_gates[run.node].onDisconnect(run.request, idOf(run.engine));
                crashEngine(run.engine);
            } else {
                m_gates[run.node].onAnswer(run.request);
                othersAnswered += 1;
            }
        }
    }

    // All requests on the engine are disconnected at the same moment.
    void crashEngine(std::size_t engine)
    {
        for (const Run &it : m_runs) {
            if (it.engine == engine)
                m_gates[it.node].onDisconnect(it.request, idOf(engine));
        }
        std::erase_if(m_runs, [engine](const Run &it) { return it.engine == engine; });
        m_engines[engine].instance += 1;
        m_engines[engine].upFrom = m_clock.now() + kRestartTime;
        crashes += 1;
        if (crashes == 3)
            m_knownFrom = m_clock.now() + kRound;
    }

    void exchangeUpdates()
    {
        m_nextRound = m_clock.now() + kRound;
        for (QuarantineGate &from : m_gates) {
            const auto updates = from.takeUpdates();
            for (QuarantineGate &to : m_gates) {
                if (&to != &from)
                    to.applyUpdates(updates);
            }
        }
    }

    ManualClock m_clock;
    std::mt19937_64 m_random;
    std::deque<QuarantineGate> m_gates;
    std::array<Engine, 18> m_engines;
    std::deque<Run> m_runs; // ordered by end
    TimePoint m_nextRound{};
    std::optional<TimePoint> m_knownFrom;
};

} // namespace

TEST_CASE("quarantine: a poison request repeated for 20 s at all nodes ends only a few engines, "
          "and other requests are answered")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FleetUnderPoisonRequests fleet(seed);
        fleet.run();
        CHECK(fleet.crashes >= 3);
        CHECK(fleet.crashes <= 6);
        CHECK(fleet.poisonSentOnceKnown == 0);
        CHECK(fleet.poisonRefused > 50);
        CHECK(fleet.othersRefused == 0);
        CHECK(fleet.othersAnswered > 3'700);
    }
}
