// SPDX-License-Identifier: MIT
// Compares three strategies for dividing the limit of an overloaded upstream among nodes, in
// simulated time. Prints the peak of requests in any four seconds as a fraction of the capacity,
// and the fraction of the limit that is used while callers wait. All strategies learn the limit in
// the same way; they differ in which nodes send.
#include <algorithm>
#include <iomanip>
#include <iostream>
#include <string>

#include "fordwood/rendezvous.hpp"
#include "support/limit_fleet.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;
using support::LimitFleet;
using support::LimitPolicy;

// Senders chosen without communication: the first few of all live nodes, each with the same share.
class FixedShares : public LimitPolicy
{
public:
    // `areAllSending`: all nodes send; otherwise as many as the limit allows.
    FixedShares(const Clock &clock, const std::string &name, bool areAllSending)
        : m_clock(clock), m_gate(clock, stableHash(name)), m_name(name),
          m_areAllSending(areAllSending)
    {
        m_gate.upstreamLimits().addUpstream(LimitFleet::kUpstream);
    }

    bool maySend() override
    {
        const auto limit = m_gate.upstreamLimits().perSecond(LimitFleet::kUpstream);
        if (!limit)
            return true;
        const LimitShare share = shareOfLimit(*limit, true);
        const std::size_t nodes = m_others.size() + 1;
        const std::size_t senders = m_areAllSending ? nodes : std::min(nodes, share.senders);
        const std::size_t rank
            = rendezvousRank(stableHash(LimitFleet::kUpstream), m_name, m_others);
        if (rank >= senders)
            return false;
        const auto pause = std::chrono::duration<double>(static_cast<double>(senders) / *limit);
        return !m_last || m_clock.now() - *m_last >= pause;
    }
    void recordSend() override { m_last = m_clock.now(); }
    void setNodes(const std::vector<std::string> &names) override
    {
        m_others = names;
        std::erase(m_others, m_name);
    }
    LimitGate &gate() override { return m_gate; }

private:
    const Clock &m_clock;
    LimitGate m_gate;
    const std::string m_name;
    const bool m_areAllSending;
    std::vector<std::string> m_others;
    std::optional<TimePoint> m_last;
};

struct Policy
{
    const char *name;
    LimitFleet::MakePolicy make;
};

struct Result
{
    double maxInFourSeconds = 0; // as a fraction of the capacity
    double utilization = 0;
};

enum class Pattern { Even, OneNode, QuarterOfNodes, TwoFrozen, Cut };

constexpr Pattern kPatterns[]{Pattern::Even, Pattern::OneNode, Pattern::QuarterOfNodes,
                              Pattern::TwoFrozen, Pattern::Cut};

const char *nameOf(Pattern pattern)
{
    switch (pattern) {
    case Pattern::Even:
        return "callers everywhere";
    case Pattern::OneNode:
        return "callers at one node";
    case Pattern::QuarterOfNodes:
        return "callers at a quarter of the nodes";
    case Pattern::TwoFrozen:
        return "two nodes paused, undetected";
    case Pattern::Cut:
        return "partition into halves";
    }
    return "";
}

void applyPattern(LimitFleet &fleet, Pattern pattern)
{
    const std::size_t nodes = fleet.nodes.size();
    for (std::size_t n = 0; n < nodes; ++n) {
        LimitFleet::Node &it = fleet.nodes[n];
        if (pattern == Pattern::OneNode)
            it.hasCallers = n == nodes / 2;
        if (pattern == Pattern::QuarterOfNodes)
            it.hasCallers = n % 4 == 0;
        if (pattern == Pattern::TwoFrozen)
            it.isFrozen = n == 0 || n == nodes / 2;
        if (pattern == Pattern::Cut)
            it.side = n < nodes / 2 ? 1 : 0;
    }
    if (pattern != Pattern::TwoFrozen)
        fleet.updateLiveNodes();
}

Result measure(const Policy &policy, std::size_t nodes, double perSecond, Pattern pattern)
{
    LimitFleet fleet(nodes, perSecond, policy.make);
    fleet.updateLiveNodes();
    const TimePoint named = fleet.clock.now();
    fleet.run(6s);
    applyPattern(fleet, pattern);
    fleet.run(6s);
    const TimePoint settled = fleet.clock.now();
    fleet.run(perSecond < 1.0 ? 60s : 20s);
    const double capacity = 1.5 * perSecond * 4.0 + 5.0;
    return {static_cast<double>(fleet.maxInFourSeconds(named + 3s)) / capacity,
            fleet.utilization(settled)};
}

} // namespace

int main()
{
    const auto fixed = [](bool areAllSending) {
        return [areAllSending](const Clock &clock, const std::string &name) {
            return std::make_unique<FixedShares>(clock, name, areAllSending);
        };
    };
    const Policy kPolicies[]{{"even", fixed(true)},
                             {"few of all nodes", fixed(false)},
                             {"few with requests", LimitFleet::gatePolicy}};
    std::cout << std::fixed << std::setprecision(2) << "| pattern | nodes | limit a second | "
              << kPolicies[0].name << " | " << kPolicies[1].name << " | " << kPolicies[2].name
              << " |\n|---|---|---|---|---|---|\n";
    for (const Pattern pattern : kPatterns) {
        for (const std::size_t nodes : {8U, 79U, 300U}) {
            for (const double perSecond : {0.3, 3.2, 30.0}) {
                std::cout << "| " << nameOf(pattern) << " | " << nodes << " | " << perSecond;
                for (const Policy &it : kPolicies) {
                    const Result result = measure(it, nodes, perSecond, pattern);
                    std::cout << " | " << result.maxInFourSeconds << " / " << result.utilization
                              << std::flush;
                }
                std::cout << " |\n";
            }
        }
    }
    return 0;
}
