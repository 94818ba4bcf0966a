// SPDX-License-Identifier: MIT
// Load pattern: requests that differ otherwise share one part of their prompts, and an upstream
// that begins to answer one of them crashes with all that runs there. Sound requests have the other
// parts.
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdint>
#include <functional>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "fordwood/manual_clock.hpp"
#include "fordwood/quarantine_gate.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

RequestFingerprint part(const std::string &id)
{
    return fingerprintOfPart("s", id);
}

const RequestFingerprint kPoison = part("poison");
const RequestFingerprint kCompany = part("company");
const RequestFingerprint kCommon = part("common");

RequestIdentity requestWith(std::vector<RequestFingerprint> parts)
{
    static std::uint64_t next = 0;
    return {{++next, 1}, std::move(parts)};
}

void fail(QuarantineGate &gate, const std::vector<RequestFingerprint> &parts, int instance)
{
    gate.onDisconnect(requestWith(parts), "i-" + std::to_string(instance));
}

// Nodes, upstreams and callers; a step is 10 ms, in which nodes hear of each other's reports.
class PartSimulation
{
public:
    struct Traits
    {
        std::size_t nodes = 8;
        std::size_t upstreams = 10;
        double soundPerSecond = 50.0;
        double poisonPerSecond = 6.0;
        double crashesPerSecond = 0.0; // for no reason that has to do with requests
        std::vector<std::string> poison{"poison"};
        bool hasCompany = false; // poisonous requests have a part that few sound ones have
        unsigned seed = 1;
    };

    explicit PartSimulation(Traits traits) : m_traits(std::move(traits)), m_random(m_traits.seed)
    {
        for (std::size_t n = 0; n < m_traits.nodes; ++n)
            m_gates.emplace_back(m_clock);
        m_upstreams.resize(m_traits.upstreams);
    }

    void run(Duration time, bool isPoisonSent)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;
             m_clock.advance(kStep))
            step(isPoisonSent);
    }

    // The share of sound requests that were answered, of those sent since the last call.
    double takeAnsweredShare()
    {
        const double share = static_cast<double>(m_answered) / std::max(m_sent, 1);
        m_sent = 0;
        m_answered = 0;
        return share;
    }

    int crashes() const { return static_cast<int>(m_poisonRuns.size()); }

    // Poisonous requests that were sent later than three seconds after the fifth crash.
    int lateRuns() const
    {
        if (m_poisonRuns.size() < 5)
            return 0;
        const TimePoint from = m_poisonRuns[4] + 3s;
        return static_cast<int>(std::count_if(m_poisonRuns.begin(), m_poisonRuns.end(),
                                              [&](TimePoint it) { return it > from; }));
    }

    QuarantineGate &gate(std::size_t n) { return m_gates[n]; }
    ManualClock &clock() { return m_clock; }

private:
    static constexpr Duration kStep = 10ms;

    struct Running
    {
        RequestIdentity request;
        std::size_t node = 0;
        TimePoint until{};
        bool isPoison = false;
        bool isRepeat = false;
    };
    struct Upstream
    {
        int life = 0;
        TimePoint downUntil{};
        std::vector<Running> running;
    };

    double random() { return std::uniform_real_distribution<double>(0.0, 1.0)(m_random); }
    bool happens(double perSecond)
    {
        return random() < perSecond * std::chrono::duration<double>(kStep).count();
    }
    std::string pick(const std::string &kind, std::uint32_t n)
    {
        return kind + std::to_string(m_random() % n);
    }

    void step(bool isPoisonSent)
    {
        if (happens(m_traits.soundPerSecond)) {
            std::vector<RequestFingerprint> parts{kCommon, part(pick("topic", 8)),
                                                  part(pick("document", 30))};
            if (m_traits.hasCompany && random() < 0.02)
                parts.push_back(kCompany);
            m_sent += 1;
            send({requestWith(std::move(parts)), m_random() % m_gates.size(), {}, false, false});
        }
        for (const std::string &it : m_traits.poison) {
            if (!isPoisonSent || !happens(m_traits.poisonPerSecond))
                continue;
            std::vector<RequestFingerprint> parts{kCommon, part(it), part(pick("document", 30))};
            if (m_traits.hasCompany)
                parts.push_back(kCompany);
            send({requestWith(std::move(parts)), m_random() % m_gates.size(), {}, true, false});
        }
        for (std::size_t n = 0; n < m_upstreams.size(); ++n) {
            if (isUp(m_upstreams[n])
                && happens(m_traits.crashesPerSecond / static_cast<double>(m_upstreams.size())))
                crash(n);
            finish(n);
        }
        exchange();
    }

    bool isUp(const Upstream &upstream) const { return m_clock.now() >= upstream.downUntil; }

    void send(Running request)
    {
        if (m_gates[request.node].isHeld(request.request))
            return;
        std::vector<Upstream *> up;
        for (Upstream &it : m_upstreams) {
            if (isUp(it))
                up.push_back(&it);
        }
        if (up.empty())
            return;
        request.until = m_clock.now() + 80ms;
        if (request.isPoison)
            m_poisonRuns.push_back(m_clock.now());
        up[m_random() % up.size()]->running.push_back(std::move(request));
    }

    void finish(std::size_t n)
    {
        Upstream &upstream = m_upstreams[n];
        const auto isDone = [&](const Running &it) { return m_clock.now() >= it.until; };
        const bool isPoisoned
            = std::any_of(upstream.running.begin(), upstream.running.end(),
                          [&](const Running &it) { return it.isPoison && isDone(it); });
        if (isPoisoned) {
            crash(n);
            return;
        }
        for (const Running &it : upstream.running) {
            if (!isDone(it))
                continue;
            m_gates[it.node].onAnswer(it.request);
            m_answered += 1;
        }
        std::erase_if(upstream.running, isDone);
    }

    void crash(std::size_t n)
    {
        Upstream &upstream = m_upstreams[n];
        const std::string id = std::to_string(n) + "." + std::to_string(upstream.life++);
        upstream.downUntil = m_clock.now() + 2500ms;
        const std::vector<Running> broken = std::exchange(upstream.running, {});
        for (const Running &it : broken)
            m_gates[it.node].onDisconnect(it.request, id);
        for (Running it : broken) {
            if (it.isRepeat || m_gates[it.node].isRepeatUnsafe(it.request))
                continue;
            it.isRepeat = true;
            send(std::move(it));
        }
    }

    void exchange()
    {
        std::vector<std::vector<QuarantineUpdate>> updates;
        for (QuarantineGate &it : m_gates)
            updates.push_back(it.takeUpdates());
        for (std::size_t from = 0; from < m_gates.size(); ++from) {
            for (std::size_t to = 0; to < m_gates.size(); ++to) {
                if (to != from && !updates[from].empty())
                    m_gates[to].applyUpdates(updates[from]);
            }
        }
        for (QuarantineGate &it : m_gates)
            it.tick();
    }

    const Traits m_traits;
    ManualClock m_clock;
    std::mt19937 m_random;
    std::vector<QuarantineGate> m_gates;
    std::vector<Upstream> m_upstreams;
    std::vector<TimePoint> m_poisonRuns;
    int m_sent = 0;
    int m_answered = 0;
};

// Plays a calm time and then poisonous requests, and checks what the platform demands of both kinds
// of requests.
void checkIsHeld(const PartSimulation::Traits &traits, Duration time = 15s)
{
    PartSimulation simulation(traits);
    simulation.run(5s, false);
    const double before = simulation.takeAnsweredShare();
    simulation.run(6s, true);
    simulation.takeAnsweredShare();
    simulation.run(time, true);
    CAPTURE(simulation.crashes());
    CHECK(simulation.lateRuns() <= 3);
    CHECK(simulation.takeAnsweredShare() >= before - 0.1);
}

} // namespace

TEST_CASE("quarantine of parts: a part under which three upstreams have ended is held, in requests "
          "that differ otherwise [parts]")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    gate.onAnswer(requestWith({kCommon}));
    for (int n = 0; n < 3; ++n) {
        CHECK_FALSE(gate.isHeld(requestWith({kCommon, kPoison})));
        fail(gate, {kCommon, kPoison, part("d" + std::to_string(n))}, n);
    }
    const RequestIdentity next = requestWith({kCommon, part("d9"), kPoison});
    CHECK(gate.isHeld(next));
    CHECK(gate.findHold(next)->part == kPoison);
    CHECK(gate.heldFor(next) == 10min);
    CHECK_FALSE(gate.isHeld(requestWith({kCommon, part("d0")})));
}

TEST_CASE("quarantine of parts: parts that were always there together are held together, until one "
          "is answered or present alone [parts]")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    for (int n = 0; n < 3; ++n)
        fail(gate, {kPoison, kCompany}, n);
    CHECK(gate.isHeld(requestWith({kPoison, kCompany})));
    CHECK_FALSE(gate.isHeld(requestWith({kCompany})));
    CHECK_FALSE(gate.isHeld(requestWith({kPoison})));
    SUBCASE("an answer clears the company")
    {
        gate.onAnswer(requestWith({kCompany}));
        CHECK(gate.isHeld(requestWith({kPoison})));
    }
    SUBCASE("a failure without the company")
    {
        fail(gate, {kPoison}, 3);
        CHECK(gate.isHeld(requestWith({kPoison})));
        CHECK_FALSE(gate.isHeld(requestWith({kCompany})));
    }
}

TEST_CASE("quarantine of parts: a request with a suspect part is not repeated [parts]")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    fail(gate, {kPoison}, 1);
    CHECK_FALSE(gate.isRepeatUnsafe(requestWith({kPoison})));
    fail(gate, {kPoison}, 2);
    CHECK(gate.isRepeatUnsafe(requestWith({kPoison})));
    CHECK_FALSE(gate.isRepeatUnsafe(requestWith({kCommon})));
}

TEST_CASE("quarantine of parts: a part that turns poisonous after it was answered is held [parts]")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    gate.onAnswer(requestWith({kPoison}));
    clock.advance(10s);
    gate.tick();
    for (int n = 0; n < 3; ++n)
        fail(gate, {kPoison}, n);
    CHECK(gate.isHeld(requestWith({kPoison})));
}

TEST_CASE("quarantine of parts: one node tries a held part at growing intervals, and an answer "
          "releases it [parts]")
{
    ManualClock clock;
    std::vector<QuarantineGate> gates{QuarantineGate(clock), QuarantineGate(clock)};
    gates[0].setNodes("a", {"b"});
    gates[1].setNodes("b", {"a"});
    for (QuarantineGate &it : gates) {
        for (int n = 0; n < 3; ++n)
            fail(it, {kPoison}, n);
    }
    const auto trials = [&] {
        int n = 0;
        for (QuarantineGate &it : gates)
            n += it.takeTrial(it.findHold(requestWith({kPoison})).value()) ? 1 : 0;
        return n;
    };
    CHECK(trials() == 0);
    clock.advance(30s);
    CHECK(trials() == 1);
    CHECK(trials() == 0);
    for (QuarantineGate &it : gates)
        fail(it, {kPoison}, 4);
    clock.advance(60s);
    CHECK(trials() == 0);
    clock.advance(60s);
    CHECK(trials() == 1);
    gates[0].onAnswer(requestWith({kPoison}));
    gates[1].applyUpdates(gates[0].takeUpdates());
    for (const QuarantineGate &it : gates)
        CHECK_FALSE(it.isHeld(requestWith({kPoison})));
}

TEST_CASE("quarantine of parts: many made-up parts leave what is held [parts]")
{
    ManualClock clock;
    QuarantineGate gate(clock);
    for (int n = 0; n < 3; ++n)
        fail(gate, {kPoison}, n);
    for (int n = 0; n < 5'000; ++n) {
        clock.advance(1ms);
        fail(gate, {part("made-up" + std::to_string(n))}, 9);
    }
    CHECK(gate.isHeld(requestWith({kPoison})));
}

TEST_CASE("quarantine of parts: few upstreams end and sound requests are served, for several "
          "courses of events [parts]")
{
    PartSimulation::Traits traits;
    SUBCASE("some requests a second") { }
    SUBCASE("with a part that sound requests seldom have")
    {
        traits.hasCompany = true;
    }
    SUBCASE("two poisonous parts at once")
    {
        traits.poison = {"poison", "venom"};
        traits.upstreams = 16;
    }
    SUBCASE("a flood")
    {
        traits.poisonPerSecond = 25.0;
        traits.upstreams = 16;
    }
    SUBCASE("a trickle")
    {
        traits.poisonPerSecond = 1.0;
    }
    SUBCASE("many nodes")
    {
        traits.nodes = 100;
        traits.upstreams = 40;
    }
    SUBCASE("upstreams also end by themselves")
    {
        traits.crashesPerSecond = 1.0;
    }
    for (traits.seed = 1; traits.seed <= 20; ++traits.seed) {
        CAPTURE(traits.seed);
        checkIsHeld(traits);
    }
}

TEST_CASE("quarantine of parts: no part is held where upstreams end by themselves [parts]")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        CAPTURE(seed);
        PartSimulation::Traits traits;
        traits.seed = seed;
        traits.crashesPerSecond = 1.0;
        PartSimulation simulation(traits);
        simulation.run(20s, false);
        for (int n = 0; n < 30; ++n)
            CHECK_FALSE(
                simulation.gate(0).isHeld(requestWith({part("document" + std::to_string(n))})));
    }
}
