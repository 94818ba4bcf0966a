// SPDX-License-Identifier: MIT
// Eight entry VMs as real processes under load for two and a half minutes: a VM is killed every
// five seconds and started again, one stops as planned, the platform is down for a minute, an
// upstream leaves. Prints what callers saw, and how long the leaving upstream got new work. Exit
// code 1 when a promise broke.
#include <algorithm>
#include <csignal>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "process/fleet.hpp"

namespace {

using namespace fordwood::process;
using namespace std::chrono_literals;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

constexpr int kNodes = 8;
constexpr int kFirstKilled = 4; // nodes 4 to 7 are killed in turn; 0 to 2 live; 3 stops as planned
constexpr int kStopped = 3;
constexpr int kRate = 200;
constexpr int kSeconds = 150;
constexpr int kListLagMs = 1000;

std::string workload(const Fleet &fleet)
{
    const auto nodes = fleet.addresses([&](int it) { return fleet.entryAddress(it); }, kNodes);
    const auto engines
        = fleet.addresses([&](int it) { return fleet.engineAddress(it); }, fleet.engines());
    return "[run]\ntargets = " + Json(nodes).dump() + "\nengines = " + Json(engines).dump()
           + "\nservices = [\"" + fleet.serviceAddress() + "\"]\nrate = " + std::to_string(kRate)
           + ".0\nrequests = " + std::to_string(kRate * kSeconds)
           + "\ndeadline = \"20s\"\n"
             "[[conversation]]\nteam = \"team-0\"\nkey = \"key-0\"\nmodel = \"m\"\n"
             "contexts = 20\ncontext_tokens = 100\nnew_tokens = 20\n"
             "[[conversation]]\nteam = \"team-1\"\nkey = \"key-1\"\nmodel = \"m\"\nstream = false\n"
             "[[conversation]]\nteam = \"team-1\"\nkey = \"key-1\"\npath = \"/once\"\n";
}

int runsOf(const Fleet &fleet, int engine)
{
    const auto answer = httpCall("GET", "http://" + fleet.engineAddress(engine) + "/stats");
    const Json stats = Json::parse(answer.body, nullptr, false);
    return stats.is_object() ? stats.value("runs", 0) : 0;
}

// Seconds from the mark in the VM list until the engine's last new run, seen for ten seconds.
double leavingSeconds(Fleet &fleet, int engine)
{
    const auto begin = SteadyClock::now();
    fleet.publishVms({"engine-" + std::to_string(engine)});
    auto last = begin;
    int runs = runsOf(fleet, engine);
    while (SteadyClock::now() - begin < 10s) {
        const int now = runsOf(fleet, engine);
        if (now != runs)
            last = SteadyClock::now();
        runs = now;
        std::this_thread::sleep_for(20ms);
    }
    return std::chrono::duration<double>(last - begin).count();
}

void setOutage(const Fleet &fleet, bool down)
{
    httpCall("PUT", "http://" + fleet.platformHttp() + "/faults", Json{{"outage", down}}.dump());
}

void killAndRestart(Fleet &fleet, int node)
{
    fleet.entryds[static_cast<std::size_t>(node)].kill();
    fleet.controlds[static_cast<std::size_t>(node)].kill();
    std::this_thread::sleep_for(5s);
    fleet.startControld(node);
    fleet.startEntryd(node);
}

int count(const Json &result, int node, const Fleet &fleet, const char *outcome)
{
    const Json &targets = result["by_target"];
    const std::string target = fleet.entryAddress(node);
    return targets.contains(target) ? targets[target].value(outcome, 0) : 0;
}

} // namespace

int main()
{
    Fleet fleet({kNodes, 6, 4, 8, {"token_ms=5"}, ""});
    fleet.start();
    std::string text;
    std::thread load([&] { fleet.load(workload(fleet), text); });
    std::this_thread::sleep_for(5s);
    httpCall("PUT", "http://" + fleet.platformHttp() + "/faults",
             Json{{"list_lag_ms", kListLagMs}}.dump());
    double longest = 0;
    for (int it = 0; it < 4; ++it)
        longest = std::max(longest, leavingSeconds(fleet, it));
    std::cout << "leaving upstreams, list lag " << kListLagMs << " ms: last new run " << longest
              << " s after the mark at the longest of 4\n"
              << std::flush;
    killAndRestart(fleet, 4);
    killAndRestart(fleet, 5);
    setOutage(fleet, true);
    const auto outage = SteadyClock::now();
    for (int it = 0; SteadyClock::now() - outage < 60s; ++it) {
        killAndRestart(fleet, kFirstKilled + (it + 2) % 4);
        if (it == 4)
            fleet.entryds[kStopped].signal(SIGTERM);
    }
    setOutage(fleet, false);
    for (int it = 0; it < 3; ++it)
        killAndRestart(fleet, kFirstKilled + it);
    load.join();
    const int stopped = fleet.entryds[kStopped].wait();
    const Json result = Json::parse(text);
    std::cout << "outcomes " << result["outcomes"].dump() << "\nreasons "
              << result["reasons"].dump() << "\ndoubled runs " << result["doubled_runs"]
              << ", planned stop exit " << stopped << "\n";
    bool held = result["doubled_runs"] == 0 && stopped == 0;
    for (int node = 0; node < kNodes; ++node) {
        std::cout << "node " << node
                  << (node >= kFirstKilled ? " (killed)"
                      : node == kStopped   ? " (stopped)"
                                           : "")
                  << ":";
        for (const char *it : {"answered", "refused", "broken", "truncated", "lost", "crossed"})
            std::cout << " " << it << " " << count(result, node, fleet, it);
        std::cout << "\n";
        const bool lives = node < kStopped;
        const int cut
            = count(result, node, fleet, "truncated") + count(result, node, fleet, "broken");
        held = held && count(result, node, fleet, "crossed") == 0;
        held = held && (node >= kFirstKilled || cut == 0);
        held = held && (!lives || count(result, node, fleet, "lost") == 0);
    }
    std::cout << (held ? "every promise held\n" : "A PROMISE BROKE\n");
    return held ? 0 : 1;
}
