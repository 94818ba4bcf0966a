// SPDX-License-Identifier: MIT
// Requests that end the upstreams that run them, and requests that are merely there.
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

const RequestFingerprint kFatal{1, 2};
const RequestFingerprint kOther{3, 4};

RequestNews ended(std::uint64_t life, const RequestFingerprint &request = kFatal)
{
    return {request, life};
}

// Nodes that tell each other everything at once.
struct Nodes
{
    Nodes() : gates{QuarantineGate(clock), QuarantineGate(clock), QuarantineGate(clock)} { }

    void tellEachOther()
    {
        for (QuarantineGate &from : gates) {
            const auto news = from.takeNews();
            for (QuarantineGate &to : gates) {
                if (&to != &from)
                    to.heard(news);
            }
        }
    }

    ManualClock clock;
    std::vector<QuarantineGate> gates;
};

} // namespace

TEST_CASE("quarantine: three ends hold a request, whoever saw them and in whatever order")
{
    ManualClock clock;
    Quarantine one(clock);
    Quarantine other(clock);
    for (const std::uint64_t life : {7U, 8U, 7U, 9U})
        one.take(ended(life));
    for (const std::uint64_t life : {9U, 7U, 8U, 7U})
        other.take(ended(life));
    CHECK(one.isHeld(kFatal));
    CHECK(other.isHeld(kFatal));
    CHECK_FALSE(one.isHeld(kOther));
    CHECK(one.heldRequests() == 1);
}

TEST_CASE("quarantine: one upstream that ends under many copies of a request counts once")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    CHECK(quarantine.take(ended(7)));
    for (int n = 0; n < 10; ++n)
        CHECK_FALSE(quarantine.take(ended(7)));
    CHECK(quarantine.isSuspect(kFatal));
    CHECK_FALSE(quarantine.isHeld(kFatal));
}

TEST_CASE("quarantine: a request that an upstream answers is not to blame, before and after")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    for (std::uint64_t life = 1; life <= 3; ++life)
        quarantine.take(ended(life));
    CHECK(quarantine.isHeld(kFatal));
    CHECK(quarantine.take({kFatal, {}}));
    CHECK_FALSE(quarantine.isHeld(kFatal));
    for (std::uint64_t life = 4; life <= 9; ++life)
        CHECK_FALSE(quarantine.take(ended(life)));
    CHECK_FALSE(quarantine.isHeld(kFatal));
}

TEST_CASE("quarantine: after the hold a request may be tried, and one more end holds it again")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    for (std::uint64_t life = 1; life <= 3; ++life)
        quarantine.take(ended(life));
    CHECK(quarantine.heldFor(kFatal) == 10min);
    clock.advance(10min);
    CHECK_FALSE(quarantine.isHeld(kFatal));
    quarantine.take(ended(4));
    CHECK(quarantine.isHeld(kFatal));
    clock.advance(1h);
    quarantine.tick();
    CHECK(quarantine.isEmpty());
}

TEST_CASE("quarantine: what is remembered is bounded, and a held request is not forgotten for it")
{
    ManualClock clock;
    Quarantine quarantine(clock);
    for (std::uint64_t life = 1; life <= 3; ++life)
        quarantine.take(ended(life));
    for (std::uint64_t n = 0; n < 5'000; ++n) {
        clock.advance(1ms);
        quarantine.take(ended(1, {n, n + 10}));
    }
    CHECK(quarantine.isHeld(kFatal));
    CHECK_FALSE(quarantine.isSuspect({0, 10}));
    CHECK(quarantine.isSuspect({4'999, 5'009}));
}

TEST_CASE("quarantine: ends that three nodes saw, one each, hold the request at all of them")
{
    Nodes nodes;
    for (std::size_t n = 0; n < nodes.gates.size(); ++n)
        nodes.gates[n].brokeOff(kFatal, "i-" + std::to_string(n));
    nodes.tellEachOther();
    for (const QuarantineGate &it : nodes.gates)
        CHECK(it.isHeld(kFatal));
}

TEST_CASE("quarantine: a page that was answered a moment ago is not held when upstreams end one "
          "after the other, at no node")
{
    Nodes nodes;
    nodes.gates[0].answered(kOther);
    for (int n = 0; n < 6; ++n) {
        nodes.clock.advance(500ms);
        for (QuarantineGate &it : nodes.gates)
            it.brokeOff(kOther, "i-" + std::to_string(n));
        nodes.tellEachOther();
        nodes.tellEachOther(); // the answer goes back to those that told of an end
    }
    for (const QuarantineGate &it : nodes.gates)
        CHECK_FALSE(it.isHeld(kOther));
}

TEST_CASE("quarantine: an answer of long ago does not speak for a request")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    gate.answered(kFatal);
    clock.advance(1min);
    for (int n = 0; n < 3; ++n)
        gate.brokeOff(kFatal, "i-" + std::to_string(n));
    CHECK(gate.isHeld(kFatal));
}

TEST_CASE("quarantine: an upstream that loses power under a request counts once it is gone")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    // Its connections stay silent. The first caller leaves before the record runs out, the last
    // one after it.
    for (const char *it : {"i-1", "i-2"}) {
        gate.leftUnanswered(kFatal, it);
        clock.advance(4s);
        gate.upstreamEnded(it);
    }
    gate.upstreamEnded("i-3");
    clock.advance(1s);
    CHECK_FALSE(gate.isHeld(kFatal));
    gate.leftUnanswered(kFatal, "i-3");
    CHECK(gate.isHeld(kFatal));
}

TEST_CASE("quarantine: a caller that left long before an upstream ended has nothing to do with it")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    for (const char *it : {"i-1", "i-2", "i-3"}) {
        gate.leftUnanswered(kFatal, it);
        clock.advance(10s);
        gate.tick();
        gate.upstreamEnded(it);
    }
    CHECK_FALSE(gate.isHeld(kFatal));
}

TEST_CASE("quarantine: news are told again for peers that miss some messages, then no more")
{
    ManualClock clock;
    GossipQueue spreader(clock);
    spreader.add(ended(7));
    CHECK(spreader.hasUnsent());
    int told = 0;
    for (int n = 0; n < 200; ++n) {
        told += static_cast<int>(spreader.takeDue().size());
        clock.advance(100ms);
    }
    CHECK(told == 6);
    CHECK_FALSE(spreader.hasUnsent());
}

TEST_CASE("quarantine: many news at once go out in messages of bounded size, each of them")
{
    ManualClock clock;
    GossipQueue spreader(clock);
    for (std::uint64_t n = 0; n < 1'000; ++n)
        spreader.add(ended(n));
    std::size_t messages = 0;
    while (spreader.hasUnsent() && messages < 100) {
        CHECK(spreader.takeDue().size() <= 200);
        messages += 1;
    }
    CHECK(messages <= 15);
}

namespace {

// Callers send to any node for 20 s, one request in 33 with the content that ends each engine that
// runs it, always under a new id; and each engine that ended starts again as another life.
class FleetUnderFatalRequests
{
public:
    explicit FleetUnderFatalRequests(std::uint64_t seed) : m_random(seed)
    {
        for (int n = 0; n < 8; ++n)
            m_gates.emplace_back(m_clock);
    }

    void run()
    {
        const TimePoint end = m_clock.now() + 20s;
        while (m_clock.now() < end) {
            arrive(m_random() % 33 == 0 ? kFatal : RequestFingerprint{m_random() % 100, 10});
            m_clock.advance(kBetweenRequests);
            finishRuns();
            if (m_clock.now() >= m_nextRound)
                tellEachOther();
        }
    }

    std::size_t ends = 0;
    std::size_t fatalSentOnceKnown = 0; // a round of messages after the third end, or later
    std::size_t fatalRefused = 0;
    std::size_t othersRefused = 0;
    std::size_t othersAnswered = 0;

private:
    static constexpr Duration kBetweenRequests = 5ms;
    static constexpr Duration kRunTime = 30ms;
    static constexpr Duration kRound = 100ms;
    static constexpr Duration kDown = 3s;

    struct Engine
    {
        std::uint64_t life = 0;
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
        return std::to_string(engine) + "-" + std::to_string(m_engines[engine].life);
    }

    // Nothing: all are down.
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
            (request == kFatal ? fatalRefused : othersRefused) += 1;
            return;
        }
        const std::optional<std::size_t> engine = pickEngine();
        if (!engine) {
            othersRefused += 1;
            return;
        }
        if (request == kFatal && m_knownFrom && m_clock.now() >= *m_knownFrom)
            fatalSentOnceKnown += 1;
        m_runs.push_back({request, node, *engine, m_clock.now() + kRunTime});
    }

    void finishRuns()
    {
        while (!m_runs.empty() && m_runs.front().until <= m_clock.now()) {
            const Run run = m_runs.front();
            m_runs.pop_front();
            if (run.request == kFatal) {
                m_gates[run.node].brokeOff(run.request, idOf(run.engine));
                endEngine(run.engine);
            } else {
                m_gates[run.node].answered(run.request);
                othersAnswered += 1;
            }
        }
    }

    // All that runs there breaks off at the same moment.
    void endEngine(std::size_t engine)
    {
        for (const Run &it : m_runs) {
            if (it.engine == engine)
                m_gates[it.node].brokeOff(it.request, idOf(engine));
        }
        std::erase_if(m_runs, [engine](const Run &it) { return it.engine == engine; });
        m_engines[engine].life += 1;
        m_engines[engine].upFrom = m_clock.now() + kDown;
        ends += 1;
        if (ends == 3)
            m_knownFrom = m_clock.now() + kRound;
    }

    void tellEachOther()
    {
        m_nextRound = m_clock.now() + kRound;
        for (QuarantineGate &from : m_gates) {
            const auto news = from.takeNews();
            for (QuarantineGate &to : m_gates) {
                if (&to != &from)
                    to.heard(news);
            }
        }
    }

    ManualClock m_clock;
    std::mt19937_64 m_random;
    std::deque<QuarantineGate> m_gates;
    std::array<Engine, 18> m_engines;
    std::deque<Run> m_runs; // by end
    TimePoint m_nextRound{};
    std::optional<TimePoint> m_knownFrom;
};

} // namespace

TEST_CASE("quarantine: one request in many that comes again for 20 s at any node ends a few "
          "engines only and the others are answered")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        FleetUnderFatalRequests fleet(seed);
        fleet.run();
        CHECK(fleet.ends >= 3);
        CHECK(fleet.ends <= 6);
        CHECK(fleet.fatalSentOnceKnown == 0);
        CHECK(fleet.fatalRefused > 50);
        CHECK(fleet.othersRefused == 0);
        CHECK(fleet.othersAnswered > 3'700);
    }
}
