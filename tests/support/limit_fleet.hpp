// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_LIMIT_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_LIMIT_FLEET_HPP_INCLUDED

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fordwood/limit_gate.hpp"
#include "fordwood/manual_clock.hpp"

namespace fordwood::support {

// A strategy by which one node respects a limit for all nodes together.
class LimitPolicy
{
public:
    LimitPolicy() = default;
    LimitPolicy(const LimitPolicy &) = delete;
    LimitPolicy &operator=(const LimitPolicy &) = delete;
    virtual ~LimitPolicy() = default;

    virtual bool maySend() = 0;
    virtual void recordSend() = 0;

    // The names of the live nodes, including this one.
    virtual void setNodes(const std::vector<std::string> &names) = 0;

    // The limits learned from responses and peers; the same for every policy.
    virtual LimitGate &gate() = 0;
};

// The production strategy, LimitGate.
class GatePolicy : public LimitPolicy
{
public:
    GatePolicy(const Clock &clock, const std::string &name, std::string upstream);

    bool maySend() override { return m_gate.maySend(m_upstream); }
    void recordSend() override { m_gate.recordSend(m_upstream); }
    void setNodes(const std::vector<std::string> &names) override
    {
        m_gate.setLiveNodeCount(names.size());
    }
    LimitGate &gate() override { return m_gate; }

private:
    LimitGate m_gate;
    std::string m_upstream;
};

// Simulates nodes with waiting callers, an upstream that advertises a limit in each response, and
// messages between the nodes that are delayed and sometimes lost.
class LimitFleet
{
public:
    using MakePolicy
        = std::function<std::unique_ptr<LimitPolicy>(const Clock &, const std::string &name)>;

    struct Node
    {
        std::string name;
        std::unique_ptr<LimitPolicy> policy;
        bool hasCallers = true;
        bool isFrozen = false;
        int side = 0; // of a partition

        LimitGate &gate() { return policy->gate(); }
    };

    LimitFleet(std::size_t size, double perSecond, MakePolicy make = gatePolicy);

    static std::unique_ptr<LimitPolicy> gatePolicy(const Clock &clock, const std::string &name);

    void start(const std::string &name);

    // Passes to each node the live nodes on its side.
    void updateLiveNodes();

    void run(Duration time);

    // The peak of arrivals in any four seconds from then on.
    std::size_t maxInFourSeconds(TimePoint from) const;

    // Arrivals from then on, as a fraction of the limit.
    double utilization(TimePoint from) const;

    static constexpr const char *kUpstream = "u";

    ManualClock clock;
    std::optional<double> limit; // that the upstream advertises
    std::deque<Node> nodes;
    std::vector<TimePoint> arrivals;

private:
    // A message between nodes.
    struct Message
    {
        TimePoint when{};
        std::size_t to = 0;
        std::vector<LimitGossip> updates;
    };

    // A response in transit.
    struct Answer
    {
        TimePoint when{};
        TimePoint sent{};
        std::string node;
        std::optional<double> named;
    };

    void send(Node &node);
    void exchangeUpdates();
    void exchangeUpdates(std::size_t to, std::vector<LimitGossip> updates);
    void deliver();

    MakePolicy m_make;
    std::vector<Message> m_messages;
    std::vector<Answer> m_answers;
    TimePoint m_nextExchange{};
    std::mt19937 m_random{11}; // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
};

} // namespace fordwood::support

#endif // FORDWOOD_TESTS_SUPPORT_LIMIT_FLEET_HPP_INCLUDED
