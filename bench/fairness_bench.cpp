// SPDX-License-Identifier: MIT
// How well teams get their shares, and what it costs, for permits always, permits only under
// contention, and static equal parts; over several seeds, with whole nodes over a paused clock.
#include <cmath>
#include <iomanip>
#include <iostream>
#include <random>

#include "support/world.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;
using support::World;
using support::WorldRequest;
using support::WorldSize;

constexpr int kNodes = 8;
constexpr int kEngines = 8;
constexpr int kSlots = 4;
constexpr double kMeanRunSeconds = 0.4;
constexpr double kCapacity = kEngines * kSlots / kMeanRunSeconds; // requests a second

struct Mode
{
    const char *name;
    bool direct;
    bool staticParts;
};

struct Sums
{
    double large = 0; // answered a second
    double small = 0;
    double refused = 0;
    double messages = 0; // per request
    double waitMs = 0; // mean time to the answer
};

// Team "large" has share 3 and "small" share 1; each offers so many requests a second.
Sums measure(const Mode &mode, double large, double small, std::uint64_t seed)
{
    WorldSize size;
    size.nodes = kNodes;
    size.domains = 2;
    size.engines = kEngines;
    size.slots = kSlots;
    size.seed = seed;
    size.direct = mode.direct;
    size.staticParts = mode.staticParts;
    size.shares = {{"large", 3.0}, {"small", 1.0}};
    World world(size);
    world.settle();
    std::mt19937_64 random(seed);
    const auto arrivals = [&](double rate, Duration step) {
        return std::poisson_distribution<int>(rate * std::chrono::duration<double>(step).count())(
            random);
    };
    constexpr Duration kStep = 20ms;
    constexpr int kWarmUp = 250; // steps
    constexpr int kMeasured = 1500;
    std::size_t first = 0;
    std::uint64_t messages = 0;
    for (int it = 0; it < kWarmUp + kMeasured; ++it) {
        if (it == kWarmUp) {
            first = world.requests();
            messages = world.permitMessages();
        }
        for (const auto &[team, rate] : {std::pair{"large", large}, std::pair{"small", small}}) {
            for (int n = arrivals(rate, kStep); n > 0; --n) {
                WorldRequest request;
                request.node = static_cast<int>(random() % kNodes);
                request.team = team;
                request.deadline = 2s;
                world.send(request);
            }
        }
        world.run(kStep);
    }
    Sums sums;
    const double seconds = kMeasured * std::chrono::duration<double>(kStep).count();
    sums.messages = static_cast<double>(world.permitMessages() - messages)
                    / static_cast<double>(world.requests() - first);
    for (std::size_t it = first; it < world.requests(); ++it) {
        const auto &result = world.result(it);
        if (!result.ended)
            continue;
        if (!result.answered)
            sums.refused += 1 / seconds;
        else if (result.request.team == "large")
            sums.large += 1 / seconds;
        else
            sums.small += 1 / seconds;
    }
    return sums;
}

void row(const Mode &mode, double load)
{
    constexpr int kSeeds = 5;
    const double offered = load * kCapacity / 2; // by each team
    double errors = 0;
    Sums mean;
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        const Sums it = measure(mode, offered, offered, seed);
        const double served = it.large + it.small;
        // The ideal: the small team gets a quarter of what is served, or all it offers if that is
        // less.
        const double idealSmall = std::max(std::min(offered, served / 4), served - offered);
        errors += std::abs(it.small - idealSmall) / idealSmall / kSeeds;
        mean.large += it.large / kSeeds;
        mean.small += it.small / kSeeds;
        mean.refused += it.refused / kSeeds;
        mean.messages += it.messages / kSeeds;
    }
    std::cout << "| " << mode.name << " | " << load << " | " << mean.large << " | " << mean.small
              << " | " << mean.refused << " | " << 100 * errors << " % | " << mean.messages
              << " |\n"
              << std::flush;
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(2);
    std::cout
        << "capacity " << kCapacity << " requests/s; shares 3 and 1; each team offers half\n\n"
        << "| mode | load | large/s | small/s | refused/s | fairness error | messages a request "
           "|\n|---|---|---|---|---|---|---|\n";
    for (const Mode &mode :
         {Mode{"permits always", false, false}, Mode{"permits under contention", true, false},
          Mode{"static equal parts", false, true}}) {
        for (const double load : {0.5, 0.8, 1.0, 1.5, 2.0, 3.0})
            row(mode, load);
    }
    return 0;
}
