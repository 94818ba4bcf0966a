// SPDX-License-Identifier: MIT
#include "support/limit_fleet.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/rendezvous.hpp"
#include "support/busiest_window.hpp"

namespace fordwood::support {

using namespace std::chrono_literals;

GatePolicy::GatePolicy(const Clock &clock, const std::string &name, std::string upstream)
    : m_gate(clock, stableHash(name)), m_upstream(std::move(upstream))
{
    m_gate.upstreamLimits().addUpstream(m_upstream);
}

LimitFleet::LimitFleet(std::size_t size, double perSecond, MakePolicy make)
    : limit(perSecond), m_make(std::move(make))
{
    for (std::size_t n = 0; n < size; ++n)
        start("node-" + std::to_string(n));
    clock.advance(1s);
}

std::unique_ptr<LimitPolicy> LimitFleet::gatePolicy(const Clock &clock, const std::string &name)
{
    return std::make_unique<GatePolicy>(clock, name, kUpstream);
}

void LimitFleet::start(const std::string &name)
{
    Node node;
    node.name = name;
    node.policy = m_make(clock, name);
    nodes.push_back(std::move(node));
}

void LimitFleet::updateLiveNodes()
{
    std::map<int, std::vector<std::string>> live; // by side
    for (const Node &it : nodes) {
        if (!it.isFrozen)
            live[it.side].push_back(it.name);
    }
    for (Node &it : nodes) {
        if (!it.isFrozen)
            it.policy->setNodes(live[it.side]);
    }
}

void LimitFleet::run(Duration time)
{
    constexpr Duration kStep = 10ms;
    for (Duration passed{}; passed < time; passed += kStep) {
        clock.advance(kStep);
        deliver();
        if (clock.now() >= m_nextExchange)
            exchangeUpdates();
        // Nodes send in random order.
        const std::size_t first = m_random() % nodes.size();
        for (std::size_t n = 0; n < nodes.size(); ++n)
            send(nodes[(first + n) % nodes.size()]);
    }
}

std::size_t LimitFleet::maxInFourSeconds(TimePoint from) const
{
    return busiestWindow(arrivals, 4s, from);
}

double LimitFleet::utilization(TimePoint from) const
{
    const auto n = std::count_if(arrivals.begin(), arrivals.end(),
                                 [from](TimePoint it) { return it >= from; });
    const double seconds = std::chrono::duration<double>(clock.now() - from).count();
    return static_cast<double>(n) / (*limit * seconds);
}

void LimitFleet::send(Node &node)
{
    if (node.isFrozen || !node.hasCallers || !node.policy->maySend())
        return;
    // Short latency, or longer after a lost packet or a slow connection setup.
    const bool isLate = m_random() % 20 == 0;
    const TimePoint arrival = clock.now() + 1ms * (isLate ? 300 : m_random() % 20);
    // Without a limit, each node sends about one request per second.
    if (!node.gate().upstreamLimits().perSecond(kUpstream) && m_random() % 100 != 0)
        return;
    node.policy->recordSend();
    arrivals.push_back(arrival);
    m_answers.push_back({arrival + 50ms * (1 + m_random() % 6), clock.now(), node.name, limit});
}

// Models relays: two nodes on each side receive updates from all nodes there and forward them, each
// with a latency of 100 to 300 milliseconds.
void LimitFleet::exchangeUpdates()
{
    m_nextExchange = clock.now() + 200ms;
    std::map<int, std::vector<std::size_t>> relays; // by side
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        if (!nodes[n].isFrozen && relays[nodes[n].side].size() < 2)
            relays[nodes[n].side].push_back(n);
    }
    for (std::size_t n = 0; n < nodes.size(); ++n) {
        for (const std::size_t relay : relays[nodes[n].side]) {
            if (n == relay)
                continue;
            if (!nodes[n].isFrozen)
                exchangeUpdates(relay, nodes[n].gate().ownUpdates());
            exchangeUpdates(n, nodes[relay].gate().allUpdates());
        }
    }
}

void LimitFleet::exchangeUpdates(std::size_t to, std::vector<LimitGossip> updates)
{
    const bool isLost = m_random() % 30 == 0;
    const Duration latency = 100ms + 10ms * (m_random() % 20);
    if (!isLost)
        m_messages.push_back({clock.now() + latency, to, std::move(updates)});
}

// Messages to a paused node are delivered when it resumes.
void LimitFleet::deliver()
{
    std::erase_if(m_messages, [this](const Message &it) {
        if (it.to >= nodes.size())
            return true;
        if (clock.now() < it.when || nodes[it.to].isFrozen)
            return false;
        nodes[it.to].gate().applyUpdates(it.updates);
        return true;
    });
    std::erase_if(m_answers, [this](const Answer &it) {
        const auto node = std::find_if(nodes.begin(), nodes.end(),
                                       [&](const Node &other) { return other.name == it.node; });
        if (node == nodes.end())
            return true;
        if (clock.now() < it.when || node->isFrozen)
            return false;
        node->gate().upstreamLimits().onAnswer(kUpstream, it.named, it.sent);
        return true;
    });
}

} // namespace fordwood::support
