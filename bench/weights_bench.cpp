// SPDX-License-Identifier: MIT
// How long a change of weight version takes over a whole fleet, and what it costs the platform;
// with whole nodes over a paused clock, engines that load for a second, and two loads at once.
#include <iomanip>
#include <iostream>

#include "support/world.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;
using support::World;

void row(int nodes, int engines)
{
    support::WorldSize size;
    size.nodes = nodes;
    size.domains = std::min(nodes, 4);
    size.engines = engines;
    World world(size);
    world.settle();
    const std::uint64_t reads = world.loadReads();
    const std::uint64_t writes = world.loadWrites();
    world.submit("v2");
    const auto remaining = [&] {
        int n = 0;
        for (int it = 0; it < engines; ++it)
            n += world.versionOn("engine-" + std::to_string(it)) == "v2" ? 0 : 1;
        return n;
    };
    constexpr Duration kStep = 100ms;
    constexpr Duration kMost = 10min;
    Duration time{0};
    double first = 0;
    for (; remaining() > 0 && time < kMost; time += kStep) {
        world.run(kStep);
        if (first == 0 && remaining() < engines)
            first = std::chrono::duration<double>(time).count();
    }
    const double seconds = std::chrono::duration<double>(time).count();
    std::cout << "| " << nodes << " | " << engines << " | "
              << engines / static_cast<int>(World::kMostLoads) << " | " << first << " | " << seconds
              << " | " << static_cast<double>(world.loadReads() - reads) / seconds << " | "
              << static_cast<double>(world.loadWrites() - writes) / seconds << " |\n"
              << std::flush;
}

} // namespace

int main()
{
    std::cout << std::fixed << std::setprecision(1)
              << "| nodes | engines | s at best | s to the first | s to the last | table reads/s | "
                 "table writes/s |\n|---|---|---|---|---|---|---|\n";
    row(3, 4);
    row(8, 18);
    row(16, 36);
    row(32, 72);
    row(64, 144);
    return 0;
}
