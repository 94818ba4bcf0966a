// SPDX-License-Identifier: MIT
// Slopes of the control traffic: bytes, messages and processor time a node, platform calls of the
// whole fleet, and time until a version is in force, over the number of nodes, the number of
// upstreams and the rate of changes. Many replicators run in this process over a paused clock;
// bytes are those of the encoded messages with their HTTP/2 and gRPC frames, without TCP and IP.
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iomanip>
#include <iostream>

#include "support/replica_fleet.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;
using support::ReplicaFleet;

constexpr std::size_t kTableBytes = 250; // one upstream as text

double processorSeconds()
{
    timespec time{};
    clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) / 1e9;
}

// A configuration of so many upstreams, in pieces of 32; the mark changes one table.
std::map<std::string, std::string> piecesOf(int upstreams, int mark)
{
    std::map<std::string, std::string> pieces;
    for (int it = 0; it * 32 < upstreams; ++it) {
        std::string text;
        for (int table = 0; table < 32; ++table)
            text += std::string(kTableBytes - 10, static_cast<char>('a' + table % 26))
                    + std::to_string(it) + "\n";
        pieces["upstream." + std::to_string(it)] = text;
    }
    pieces["upstream.0"] += "mark " + std::to_string(mark) + std::string(60, 'm');
    return pieces;
}

struct Figures
{
    double bytes = 0; // a node and second, mean
    double mostBytes = 0; // of the node that sends most
    double messages = 0;
    double processorMicroseconds = 0; // a node and second
    double platformCalls = 0; // of the fleet a second
    double worstInForce = 0; // seconds
};

Figures measure(ReplicaFleet &fleet, int upstreams, double changesPerSecond, int seconds)
{
    int mark = 1;
    fleet.resetCounters();
    Figures figures;
    const double before = processorSeconds();
    double submitting = 0;
    const int changes = static_cast<int>(changesPerSecond * seconds);
    Duration passed{0};
    for (int it = 0; it < changes; ++it) {
        const double begin = processorSeconds();
        const std::uint64_t version = fleet.submit(piecesOf(upstreams, ++mark));
        submitting += processorSeconds() - begin;
        Duration took{0};
        fleet.runUntilServed(version, 30s, &took);
        figures.worstInForce
            = std::max(figures.worstInForce, std::chrono::duration<double>(took).count());
        const Duration gap = std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(1.0 / changesPerSecond));
        if (gap > took)
            fleet.run(gap - took);
        passed += std::max(gap, took);
    }
    if (changes == 0) {
        passed = std::chrono::seconds(seconds);
        fleet.run(passed);
    }
    const double time = std::chrono::duration<double>(passed).count();
    const double nodeSeconds = time * fleet.nodes();
    figures.bytes = static_cast<double>(fleet.bytes()) / nodeSeconds;
    figures.mostBytes = static_cast<double>(fleet.maxNodeBytes()) / time;
    figures.messages = static_cast<double>(fleet.messages()) / nodeSeconds;
    figures.processorMicroseconds = (processorSeconds() - before - submitting) * 1e6 / nodeSeconds;
    figures.platformCalls = static_cast<double>(fleet.platformCalls()) / time;
    return figures;
}

void row(int nodes, int domains, int upstreams, double changes, int seconds)
{
    ReplicaFleet fleet(nodes, domains);
    const std::uint64_t first = fleet.submit(piecesOf(upstreams, 0));
    fleet.runUntilServed(first, 120s);
    fleet.run(20s);
    const Figures it = measure(fleet, upstreams, changes, seconds);
    std::cout << "| " << nodes << " | " << domains << " | " << upstreams << " | " << changes
              << " | " << it.bytes << " | " << it.mostBytes << " | " << it.messages << " | "
              << it.processorMicroseconds << " | " << it.platformCalls << " | " << it.worstInForce
              << " |\n"
              << std::flush;
}

} // namespace

int main(int argc, char **argv)
{
    std::cout << std::fixed << std::setprecision(2);
    std::cout
        << "| nodes | domains | upstreams | changes/s | bytes sent/s a node | of the busiest | "
           "messages/s a node | processor us/s a node | platform calls/s, fleet | worst s "
           "until in force |\n|---|---|---|---|---|---|---|---|---|---|\n";
    // One row of one's own: nodes, domains, upstreams, changes a second, seconds.
    if (argc == 6) {
        row(std::atoi(argv[1]), std::atoi(argv[2]), std::atoi(argv[3]), std::atof(argv[4]),
            std::atoi(argv[5]));
        return 0;
    }
    for (const int nodes : {3, 8, 16, 32, 64, 128, 256})
        row(nodes, std::max(1, nodes / 32), 352, 0, 60);
    for (const double changes : {0.1, 0.625, 2.0})
        row(64, 2, 352, changes, 40);
    for (const int upstreams : {32, 1376, 11'000})
        row(64, 2, upstreams, 0.625, 40);
    row(512, 8, 352, 0.625, 30);
    return 0;
}
