// SPDX-License-Identifier: MIT
// Compares three strategies for dividing the capacity of a cold upstream among nodes, in simulated
// time. Prints the peak of requests in any second as a fraction of the capacity (26 at 14 per
// second), and the fraction of the configured rate that is used during the three seconds of a cold
// start while callers wait.
#include <algorithm>
#include <deque>
#include <iomanip>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "fordwood/cold_gate.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"
#include "support/busiest_window.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;

constexpr const char *kUpstream = "u";
constexpr double kRate = 14.0;
constexpr double kOvershoot = 1.5;
constexpr double kSlack = 5.0;
constexpr double kCapacity = kRate * kOvershoot + kSlack; // in any second
constexpr Duration kColdFor = 3s;

// A strategy by which one node respects the capacity of the cold upstream.
class ColdPolicy
{
public:
    ColdPolicy() = default;
    ColdPolicy(const ColdPolicy &) = delete;
    ColdPolicy &operator=(const ColdPolicy &) = delete;
    virtual ~ColdPolicy() = default;

    // setNodes() sets the names of the known nodes, including this one; turnCold() marks the
    // upstream as cold.
    virtual void setNodes(const std::vector<std::string> &names) = 0;
    virtual void turnCold() = 0;
    virtual bool maySend() = 0;
    virtual void recordSend() = 0;
};

class EqualShares : public ColdPolicy
{
public:
    explicit EqualShares(const Clock &clock) : m_clock(clock) { }

    void setNodes(const std::vector<std::string> &names) override { m_nodes = names.size(); }
    void turnCold() override { }
    bool maySend() override
    {
        const auto pause = std::chrono::duration<double>(static_cast<double>(m_nodes) / kRate);
        return !m_last || m_clock.now() - *m_last >= pause;
    }
    void recordSend() override { m_last = m_clock.now(); }

private:
    const Clock &m_clock;
    std::size_t m_nodes = 1;
    std::optional<TimePoint> m_last;
};

// The production strategy, ColdGate.
class FewSenders : public ColdPolicy
{
public:
    FewSenders(const Clock &clock, const std::string &name)
        : m_name(name), m_gate(clock, limits(), name)
    { }

    void setNodes(const std::vector<std::string> &names) override
    {
        std::vector<std::string> others = names;
        std::erase(others, m_name);
        m_gate.setNodes(others);
    }
    void turnCold() override { m_gate.setCold(kUpstream, kColdFor); }
    bool maySend() override { return m_gate.maySend(kUpstream, kRate); }
    void recordSend() override { m_gate.recordSend(kUpstream); }

private:
    static ColdGate::Limits limits()
    {
        ColdGate::Limits limits;
        limits.overshoot = kOvershoot;
        limits.slack = kSlack;
        return limits;
    }

    const std::string m_name;
    ColdGate m_gate;
};

// The token bucket of the node that grants requests to the upstream.
struct TokenBucket
{
    double tokens = 0.0;
    TimePoint refilledAt{};
};

// One node, the first in rendezvous order, grants the capacity of the upstream one request at a
// time. The other nodes ask it for each request, which takes a round trip.
class TokenServer : public ColdPolicy
{
public:
    TokenServer(const Clock &clock, std::map<std::string, TokenBucket> &buckets)
        : m_clock(clock), m_buckets(buckets)
    { }

    void setNodes(const std::vector<std::string> &names) override
    {
        std::vector<std::uint64_t> hashes;
        hashes.reserve(names.size());
        for (const std::string &it : names)
            hashes.push_back(stableHash(it));
        m_server = names[static_cast<std::size_t>(rendezvousWinner(stableHash(kUpstream), hashes))];
    }
    void turnCold() override { }
    bool maySend() override
    {
        const TimePoint now = m_clock.now();
        if (!m_requestedAt)
            m_requestedAt = now;
        if (now - *m_requestedAt < kRoundTrip)
            return false;
        m_requestedAt.reset();
        // During a partition or a change of nodes two of them may grant, each half of the capacity.
        const double rate = std::min(kRate, kCapacity / 2.0);
        TokenBucket &bucket = m_buckets[m_server];
        const std::chrono::duration<double> passed = now - bucket.refilledAt;
        bucket.tokens = std::min(rate / 4.0, bucket.tokens + rate * passed.count());
        bucket.refilledAt = now;
        if (bucket.tokens < 1.0)
            return false;
        bucket.tokens -= 1.0;
        return true;
    }
    void recordSend() override { }

private:
    static constexpr Duration kRoundTrip = 40ms;

    const Clock &m_clock;
    std::map<std::string, TokenBucket> &m_buckets; // by name
    std::string m_server;
    std::optional<TimePoint> m_requestedAt;
};

enum class PolicyKind { EqualShares, FewSenders, TokenServer };
enum class Pattern { Everywhere, OneDomain, Cut };

struct Result
{
    double peak = 0; // as a fraction of the capacity
    double utilization = 0;
};

Result measure(PolicyKind kind, std::size_t nodes, Pattern pattern)
{
    ManualClock clock;
    std::map<std::string, TokenBucket> buckets;
    std::vector<std::string> names;
    std::vector<std::unique_ptr<ColdPolicy>> policies;
    for (std::size_t n = 0; n < nodes; ++n) {
        names.push_back("node-" + std::to_string(n));
        if (kind == PolicyKind::EqualShares)
            policies.push_back(std::make_unique<EqualShares>(clock));
        else if (kind == PolicyKind::FewSenders)
            policies.push_back(std::make_unique<FewSenders>(clock, names.back()));
        else
            policies.push_back(std::make_unique<TokenServer>(clock, buckets));
    }
    const auto half = names.begin() + static_cast<std::ptrdiff_t>(nodes / 2);
    const std::vector<std::string> one(names.begin(), half);
    const std::vector<std::string> other(half, names.end());
    const bool isCut = pattern == Pattern::Cut;
    for (std::size_t n = 0; n < nodes; ++n)
        policies[n]->setNodes(!isCut ? names : n < nodes / 2 ? one : other);
    clock.advance(5s);
    for (const auto &it : policies)
        it->turnCold();
    std::mt19937 random(7); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
    std::vector<TimePoint> arrivals;
    constexpr Duration kStep = 10ms;
    for (Duration passed = kStep; passed < kColdFor; passed += kStep) {
        clock.advance(kStep);
        for (std::size_t n = 0; n < nodes; ++n) {
            const bool hasCallers = pattern != Pattern::OneDomain || n % 4 == 0;
            if (!hasCallers || !policies[n]->maySend())
                continue;
            policies[n]->recordSend();
            arrivals.push_back(clock.now() + 10ms * (random() % 10));
        }
    }
    const double utilization = static_cast<double>(arrivals.size())
                               / (kRate * std::chrono::duration<double>(kColdFor).count());
    return {static_cast<double>(support::busiestWindow(arrivals, 1s, TimePoint{})) / kCapacity,
            utilization};
}

const char *nameOf(Pattern pattern)
{
    switch (pattern) {
    case Pattern::Everywhere:
        return "callers everywhere";
    case Pattern::OneDomain:
        return "callers in one failure domain of four";
    case Pattern::Cut:
        return "partition into halves";
    }
    return "";
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(2)
              << "| pattern | nodes | equal shares | few senders | token server |\n"
                 "|---|---|---|---|---|\n";
    for (const Pattern pattern : {Pattern::Everywhere, Pattern::OneDomain, Pattern::Cut}) {
        for (const std::size_t nodes : {3U, 8U, 79U, 295U}) {
            std::cout << "| " << nameOf(pattern) << " | " << nodes;
            for (const PolicyKind it :
                 {PolicyKind::EqualShares, PolicyKind::FewSenders, PolicyKind::TokenServer}) {
                const Result result = measure(it, nodes, pattern);
                std::cout << " | " << result.peak << " / " << result.utilization;
            }
            std::cout << " |\n";
        }
    }
    return 0;
}
