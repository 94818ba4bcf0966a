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

// How one node keeps to a limit that an upstream names for all nodes together.
class LimitPolicy
{
public:
    LimitPolicy() = default;
    LimitPolicy(const LimitPolicy &) = delete;
    LimitPolicy &operator=(const LimitPolicy &) = delete;
    virtual ~LimitPolicy() = default;

    virtual bool maySend() = 0;
    virtual void recordSend() = 0;

    // The nodes that live, this one included, by name.
    virtual void setNodes(const std::vector<std::string> &names) = 0;

    // What answers and peers have said of the limit; the same for every way.
    virtual LimitGate &gate() = 0;
};

// The way of the product.
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

// Nodes with callers that wait at all times, an upstream that names a limit in each answer, and
// messages between the nodes that take their time and now and then are lost.
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
        int side = 0; // of a cut

        LimitGate &gate() { return policy->gate(); }
    };

    LimitFleet(std::size_t size, double perSecond, MakePolicy make = gatePolicy);

    static std::unique_ptr<LimitPolicy> gatePolicy(const Clock &clock, const std::string &name);

    void start(const std::string &name);

    // Each node hears which nodes of its side live.
    void updateLiveNodes();

    void run(Duration time);

    // The most arrivals in any four seconds from then on.
    std::size_t maxInFourSeconds(TimePoint from) const;

    // The part of what the upstream takes that arrives from then on.
    double utilization(TimePoint from) const;

    static constexpr const char *kUpstream = "u";

    ManualClock clock;
    std::optional<double> limit; // that the upstream names
    std::deque<Node> nodes;
    std::vector<TimePoint> arrivals;

private:
    // What nodes tell each other.
    struct Message
    {
        TimePoint when{};
        std::size_t to = 0;
        std::vector<LimitGossip> updates;
    };

    // An answer that is on its way back.
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
