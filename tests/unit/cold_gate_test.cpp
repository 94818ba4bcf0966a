// SPDX-License-Identifier: MIT
// Upstreams restart cold and idle, so every node would send to them at once.
#include "fordwood/cold_gate.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <memory>
#include <random>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr double kRate = 14.0;
constexpr std::size_t kCapacity = 26; // in any second: 1.5 x 14 + 5

ColdGate::Limits limits()
{
    ColdGate::Limits limits;
    limits.overshoot = 1.5;
    limits.slack = 5.0;
    return limits;
}

// Nodes that always have requests for one cold upstream, and the arrivals there.
class Fleet
{
public:
    explicit Fleet(std::size_t nodes)
    {
        for (std::size_t n = 0; n < nodes; ++n)
            start("node-" + std::to_string(n));
    }

    void start(const std::string &name)
    {
        m_names.push_back(name);
        m_gates[name] = std::make_unique<ColdGate>(clock, limits(), name);
        m_gates[name]->setCold("u", 1h);
    }

    void stopFirst()
    {
        m_gates.erase(m_names.front());
        m_names.erase(m_names.begin());
    }

    const std::vector<std::string> &names() const { return m_names; }

    // Passes the given live nodes to each of them.
    void setLiveNodes(const std::vector<std::string> &nodes)
    {
        for (const std::string &it : nodes) {
            std::vector<std::string> others = nodes;
            std::erase(others, it);
            m_gates.at(it)->setNodes(others);
        }
    }

    void run(Duration time)
    {
        constexpr Duration kStep = 10ms;
        for (Duration passed{}; passed < time; passed += kStep) {
            clock.advance(kStep);
            for (auto &[name, gate] : m_gates) {
                while (gate->maySend("u", kRate)) {
                    gate->recordSend("u");
                    // Short latency, or longer after a lost packet.
                    m_arrivals.push_back(clock.now() + 10ms * (m_random() % 10));
                }
            }
        }
    }

    // The peak of arrivals in any second.
    std::size_t busiestSecond()
    {
        std::sort(m_arrivals.begin(), m_arrivals.end());
        std::size_t most = 0;
        for (auto first = m_arrivals.begin(); first != m_arrivals.end(); ++first) {
            const auto end = std::lower_bound(first, m_arrivals.end(), *first + 1s);
            most = std::max(most, static_cast<std::size_t>(end - first));
        }
        return most;
    }

    std::size_t arrivals() const { return m_arrivals.size(); }

    ManualClock clock;

private:
    std::vector<std::string> m_names;
    std::map<std::string, std::unique_ptr<ColdGate>> m_gates; // by node
    std::vector<TimePoint> m_arrivals;
    std::mt19937 m_random{7}; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
};

} // namespace

TEST_CASE("cold upstreams: arrivals in any second stay within the capacity for any number of "
          "sending nodes, and the capacity is used [cold]")
{
    for (const std::size_t nodes : {1U, 3U, 79U, 300U}) {
        CAPTURE(nodes);
        Fleet fleet(nodes);
        fleet.clock.advance(2s);
        fleet.setLiveNodes(fleet.names());
        fleet.run(10s);
        CHECK(fleet.busiestSecond() <= kCapacity);
        CHECK(fleet.arrivals() >= 90); // of 140 at the configured rate
    }
}

TEST_CASE(
    "cold upstreams: two sides of a partition together stay within the capacity [cold][partition]")
{
    for (const std::size_t nodes : {8U, 79U, 300U}) {
        CAPTURE(nodes);
        Fleet fleet(nodes);
        fleet.clock.advance(2s);
        fleet.setLiveNodes(fleet.names());
        fleet.run(3s);
        const auto half = fleet.names().begin() + static_cast<std::ptrdiff_t>(nodes / 2);
        const std::vector<std::string> one(fleet.names().begin(), half);
        const std::vector<std::string> other(half, fleet.names().end());
        fleet.setLiveNodes(one);
        fleet.setLiveNodes(other);
        fleet.run(5s);
        fleet.setLiveNodes(fleet.names());
        fleet.run(3s);
        CHECK(fleet.busiestSecond() <= kCapacity);
    }
}

TEST_CASE("cold upstreams: nodes that are replaced one by one, or all at once, do not exceed the "
          "capacity [cold][restart]")
{
    Fleet fleet(79);
    fleet.clock.advance(2s);
    fleet.setLiveNodes(fleet.names());
    fleet.run(2s);
    SUBCASE("one by one")
    {
        for (std::size_t n = 0; n < 40; ++n) {
            fleet.stopFirst();
            fleet.start("new-" + std::to_string(n));
            fleet.setLiveNodes(fleet.names());
            fleet.run(200ms);
        }
    }
    SUBCASE("all at once, within a second")
    {
        while (!fleet.names().empty())
            fleet.stopFirst();
        fleet.run(500ms);
        for (std::size_t n = 0; n < 79; ++n) {
            fleet.start("new-" + std::to_string(n));
            fleet.setLiveNodes(fleet.names());
        }
    }
    const std::size_t before = fleet.arrivals();
    fleet.run(5s);
    CHECK(fleet.busiestSecond() <= kCapacity);
    CHECK(fleet.arrivals() > before + 20); // the upstream is used again
}

TEST_CASE("cold upstreams: an upstream is cold for the time in its record, and may become cold "
          "again [cold]")
{
    ManualClock clock;
    ColdGate gate(clock, limits(), "a");
    clock.advance(2s);
    gate.setNodes({});
    clock.advance(2s);
    gate.setCold("u", 0s);
    CHECK_FALSE(gate.isCold("u"));
    gate.setCold("u", 3s);
    CHECK(gate.isCold("u"));
    for (std::size_t n = 0; n < 13; ++n) {
        REQUIRE(gate.maySend("u", kRate));
        gate.recordSend("u");
    }
    CHECK_FALSE(gate.maySend("u", kRate));
    CHECK(gate.maySend("u", 0.0)); // a service without a configured rate
    CHECK(gate.maySend("warm", kRate));
    clock.advance(3s);
    CHECK_FALSE(gate.isCold("u"));
    CHECK(gate.maySend("u", kRate));
    gate.setCold("u", 1s);
    CHECK(gate.coldUpstreams() == 1);
    gate.forget("u");
    CHECK_FALSE(gate.isCold("u"));
}

TEST_CASE("cold upstreams: an upstream that refused a connection counts as cold for the time of a "
          "cold start, regardless of its old record [cold]")
{
    ManualClock clock;
    ColdGate gate(clock, limits(), "a");
    gate.suspectRestart("u", 3s);
    gate.setCold("u", 0s);
    CHECK(gate.isCold("u"));
    CHECK_FALSE(gate.maySend("u", kRate)); // the list of nodes has not arrived yet
    clock.advance(3s);
    CHECK_FALSE(gate.isCold("u"));
    gate.suspectRestart("v", 0s); // a service without a cold start
    CHECK_FALSE(gate.isCold("v"));
}
