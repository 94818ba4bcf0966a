// SPDX-License-Identifier: MIT
// Time to first token and recomputed share for prompts that come back, by our decisions and by the
// usual ways of routing; whole nodes over a paused clock with engines that compute prompts at a
// rate and keep what they computed. Usage: routing-bench [seeds] [routing]
#include <algorithm>
#include <cmath>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <random>
#include <string>

#include "support/world.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;
using support::Routing;
using support::World;
using support::WorldRequest;

// What callers send. Contexts are asked for by Zipf's law, so some return soon and most much later.
struct Workload
{
    const char *name;
    int engines;
    int domains;
    std::size_t contexts;
    std::size_t contextTokens;
    std::size_t questionTokens;
    std::size_t newTokens;
    double skew;
    double most; // requests a second at load 1: all slots busy, two thirds of contexts cached
};

// Long minutes, digests; and long manuals with short follow-ups.
constexpr Workload kNoticeBoards{"notice boards", 18, 4, 400, 12'000, 80, 100, 0.9, 36};
constexpr Workload kMontevideo{"Montevideo", 14, 3, 120, 16'000, 60, 60, 1.0, 28};

constexpr int kNodes = 8;

class Contexts
{
public:
    explicit Contexts(const Workload &workload)
    {
        for (std::size_t it = 0; it < workload.contexts; ++it) {
            m_sum += 1.0 / std::pow(static_cast<double>(it + 1), workload.skew);
            m_sums.push_back(m_sum);
        }
    }

    std::uint64_t draw(std::mt19937_64 &random) const
    {
        const double at = std::uniform_real_distribution<double>(0, m_sum)(random);
        return 1
               + static_cast<std::uint64_t>(std::lower_bound(m_sums.begin(), m_sums.end(), at)
                                            - m_sums.begin());
    }

private:
    double m_sum = 0;
    std::vector<double> m_sums;
};

struct Figures
{
    std::vector<double> firstToken; // ms
    double promptTokens = 0;
    double uncachedTokens = 0;
    double refused = 0;
    double sent = 0;
};

void measure(const Workload &workload, Routing routing, double load, std::uint64_t seed,
             Figures &figures)
{
    support::WorldSize size;
    size.nodes = kNodes;
    size.domains = workload.domains;
    size.engines = workload.engines;
    size.slots = 8;
    size.seed = seed;
    size.routing = routing;
    size.engineModel.on = true;
    World world(size);
    world.settle();
    std::mt19937_64 random(seed);
    const Contexts contexts(workload);
    constexpr Duration kStep = 20ms;
    constexpr int kWarmUp = 6000;
    constexpr int kMeasured = 6000;
    std::size_t first = 0;
    std::poisson_distribution<int> arrivals(load * workload.most * 0.02);
    for (int it = 0; it < kWarmUp + kMeasured; ++it) {
        if (it == kWarmUp)
            first = world.requests();
        for (int n = arrivals(random); n > 0; --n) {
            WorldRequest request;
            request.node = static_cast<int>(random() % kNodes);
            request.deadline = 30s;
            request.context = contexts.draw(random);
            request.contextTokens = workload.contextTokens;
            request.questionTokens = workload.questionTokens;
            request.newTokens = workload.newTokens;
            world.send(request);
        }
        world.run(kStep);
    }
    const std::size_t last = world.requests();
    world.run(40s);
    for (std::size_t it = first; it < last; ++it) {
        const auto &result = world.result(it);
        figures.sent += 1;
        if (!result.answered) {
            figures.refused += 1;
            continue;
        }
        figures.firstToken.push_back(
            std::chrono::duration<double, std::milli>(result.firstToken - result.sent).count());
        figures.promptTokens
            += static_cast<double>(workload.contextTokens + workload.questionTokens);
        figures.uncachedTokens += static_cast<double>(result.uncachedTokens);
    }
}

double quantile(std::vector<double> &values, double part)
{
    if (values.empty())
        return 0;
    const auto at = static_cast<std::size_t>(part * static_cast<double>(values.size() - 1));
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(at),
                     values.end());
    return values[at];
}

void row(const Workload &workload, const std::string &name, Routing routing, double load, int seeds)
{
    Figures figures;
    for (int seed = 1; seed <= seeds; ++seed)
        measure(workload, routing, load, static_cast<std::uint64_t>(seed), figures);
    std::cout << "| " << workload.name << " | " << name << " | " << load << " | "
              << quantile(figures.firstToken, 0.5) << " | " << quantile(figures.firstToken, 0.95)
              << " | " << quantile(figures.firstToken, 0.99) << " | "
              << 100 * figures.uncachedTokens / std::max(1.0, figures.promptTokens) << " % | "
              << 100 * figures.refused / figures.sent << " % | "
              << static_cast<double>(figures.firstToken.size()) / (120.0 * seeds) << " |\n"
              << std::flush;
}

} // namespace

int main(int argc, char **argv)
{
    const int seeds = argc > 1 ? std::atoi(argv[1]) : 3;
    std::cout << std::fixed << std::setprecision(1)
              << "| workload | routing | load | first token p50 ms | p95 | p99 | recomputed | "
                 "refused | answered/s |\n|---|---|---|---|---|---|---|---|---|\n";
    const std::string only = argc > 2 ? argv[2] : "";
    const std::vector<std::pair<std::string, Routing>> ways{
        {"round robin", Routing::RoundRobin}, {"least loaded", Routing::LeastLoaded},
        {"two choices", Routing::TwoChoices}, {"prefix hash", Routing::PrefixHash},
        {"fordwood", Routing::Fordwood},
    };
    for (const Workload &workload : {kNoticeBoards, kMontevideo}) {
        for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0}) {
            for (const auto &[name, routing] : ways) {
                // Beyond their capacity the usual ways only grow their queues.
                const bool bounded = routing == Routing::Fordwood || load <= 1.0;
                if (bounded && (only.empty() || only == name))
                    row(workload, name, routing, load, seeds);
            }
        }
    }
    return 0;
}
