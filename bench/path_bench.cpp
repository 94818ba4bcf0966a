// SPDX-License-Identifier: MIT
// Measures the whole path with real processes: what fordwood adds to calling an engine directly,
// how many short requests a node serves, and what the daemons use with many open streams. Usage:
// path-bench [requests] [streams]
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <thread>

#include <nlohmann/json.hpp>

#include "process/fleet.hpp"

namespace {

using namespace fordwood::process;
using Json = nlohmann::json;

std::string list(const std::vector<std::string> &addresses)
{
    return Json(addresses).dump();
}

std::string run(const std::string &targets, const std::string &rest)
{
    return "[run]\ntargets = " + targets + "\n" + rest;
}

constexpr const char *kShort
    = "[[conversation]]\nteam = \"team-0\"\nkey = \"key-0\"\nmodel = \"m\"\n"
      "contexts = 50\nquestion_tokens = 32\nnew_tokens = 2\n";

double milliseconds(fordwood::Duration time)
{
    return std::chrono::duration<double, std::milli>(time).count();
}

// Bytes that the loopback device has carried, with TCP and IP headers and acknowledgements.
double loopbackBytes()
{
    std::ifstream file("/proc/net/dev");
    std::string line;
    while (std::getline(file, line)) {
        const std::size_t colon = line.find("lo:");
        if (colon != std::string::npos)
            return std::strtod(line.c_str() + colon + 3, nullptr);
    }
    return 0;
}

double platformCalls(const Fleet &fleet)
{
    const Json counters
        = Json::parse(httpCall("GET", "http://" + fleet.platformHttp() + "/counters").body);
    double sum = 0;
    for (const auto &[name, value] : counters.items())
        sum += value.is_number() ? value.get<double>() : 0;
    return sum;
}

// First byte through the nodes against first byte from the engines themselves.
void overhead(int requests)
{
    Fleet fleet({3, 4, 3, 64, {"token_ms=0", "prefill_rate=100000000"}, ""});
    fleet.start();
    const std::string workload
        = "rate = 500.0\nrequests = " + std::to_string(requests) + "\n" + kShort;
    std::string direct;
    std::string through;
    fleet.load(
        run(list(fleet.addresses([&](int it) { return fleet.engineAddress(it); }, 4)), workload),
        direct);
    const int code = fleet.load(
        run(list(fleet.addresses([&](int it) { return fleet.entryAddress(it); }, 3)), workload),
        through);
    const Json a = Json::parse(direct)["first_byte_ms"];
    const Json b = Json::parse(through)["first_byte_ms"];
    std::cout << "overhead at 500/s over 3 nodes, " << requests << " requests, exit " << code
              << "\n";
    for (const char *it : {"p50", "p95", "p99"})
        std::cout << "  " << it << " direct " << a[it].get<double>() << " ms, through "
                  << b[it].get<double>() << " ms, added "
                  << b[it].get<double>() - a[it].get<double>() << " ms\n";
    std::cout << "  outcomes " << Json::parse(through)["outcomes"].dump() << "\n";
}

// Offered load on one node, and the processor time that its daemons used for it.
void throughput(double rate, bool direct)
{
    Fleet fleet({1, 4, 1, 256, {"token_ms=0", "prefill_rate=100000000", "queue=0"}, "", direct});
    fleet.start();
    const int requests = static_cast<int>(rate * 5);
    const Usage entryBefore = fleet.entryds[0].usage();
    const Usage controlBefore = fleet.controlds[0].usage();
    const double bytesBefore = loopbackBytes();
    std::string result;
    fleet.load(run(list({fleet.entryAddress(0)}), "rate = " + std::to_string(rate)
                                                      + "\nrequests = " + std::to_string(requests)
                                                      + "\n" + kShort + "stream = false\n"),
               result, {"--threads", "2"});
    const Usage entry = fleet.entryds[0].usage();
    const Usage control = fleet.controlds[0].usage();
    const Json json = Json::parse(result);
    const double answered = json["outcomes"]["answered"];
    const double entryMs = milliseconds(entry.processorTime - entryBefore.processorTime);
    const double controlMs = milliseconds(control.processorTime - controlBefore.processorTime);
    std::cout << "one node, " << (direct ? "direct" : "permits") << ", offered " << rate
              << "/s: answered " << answered / json["seconds"].get<double>() << "/s, whole p50 "
              << json["whole_ms"]["p50"].get<double>() << " ms p99 "
              << json["whole_ms"]["p99"].get<double>() << " ms, entryd "
              << 1000 * entryMs / answered << " us, controld " << 1000 * controlMs / answered
              << " us, " << (loopbackBytes() - bytesBefore) / answered
              << " B a request\n  outcomes " << json["outcomes"].dump() << " reasons "
              << json["reasons"].dump() << "\n";
}

// What daemons use with no requests at all, over ten seconds.
void idle(int nodes)
{
    Fleet fleet({nodes, 4, std::max(1, nodes / 4), 8, {}, ""});
    fleet.start();
    std::this_thread::sleep_for(std::chrono::seconds(3));
    const Usage entry = fleet.entryds[0].usage();
    const Usage control = fleet.controlds[0].usage();
    const double calls = platformCalls(fleet);
    const double bytes = loopbackBytes();
    constexpr int kSeconds = 10;
    std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
    const double bytesAfter = loopbackBytes();
    const double callsAfter = platformCalls(fleet);
    const Usage entryAfter = fleet.entryds[0].usage();
    const Usage controlAfter = fleet.controlds[0].usage();
    constexpr double kMegabyte = 1 << 20;
    std::cout << "idle, " << nodes << " nodes: entryd "
              << milliseconds(entryAfter.processorTime - entry.processorTime) / kSeconds
              << " ms/s, controld "
              << milliseconds(controlAfter.processorTime - control.processorTime) / kSeconds
              << " ms/s, " << static_cast<double>(controlAfter.residentBytes) / kMegabyte << " MB, "
              << (bytesAfter - bytes) / kSeconds / nodes
              << " B/s a node on the wire, platform and engines included, "
              << (callsAfter - calls) / kSeconds << " platform calls/s of the fleet\n";
}

// Memory and processor time of the daemons while many streams are open.
void openStreams(int streams, int tokenMs)
{
    Fleet fleet(
        {1, 4, 1, streams, {"token_ms=" + std::to_string(tokenMs), "prefill_rate=100000000"}, ""});
    fleet.start();
    const Usage idleEntry = fleet.entryds[0].usage();
    const Usage idleControl = fleet.controlds[0].usage();
    constexpr int kSeconds = 5;
    const int tokens = (kSeconds + 10) * 1000 / tokenMs;
    std::string result;
    std::thread load([&] {
        fleet.load(run(list({fleet.entryAddress(0)}),
                       "rate = 500.0\nrequests = " + std::to_string(streams)
                           + "\n[[conversation]]\nteam = \"team-0\"\nkey = \"key-0\"\nmodel = "
                             "\"m\"\ncontexts = 100\nquestion_tokens = 1000\nnew_tokens = "
                           + std::to_string(tokens) + "\n"),
                   result, {"--threads", "2"});
    });
    const bool open
        = Fleet::waitFor([&] { return fleet.metric(0, "fordwood_in_flight") >= streams; });
    const Usage before = fleet.entryds[0].usage();
    std::this_thread::sleep_for(std::chrono::seconds(kSeconds));
    const Usage entry = fleet.entryds[0].usage();
    const Usage control = fleet.controlds[0].usage();
    load.join();
    constexpr double kMegabyte = 1 << 20;
    const Json json = Json::parse(result);
    const double between = json["between_tokens_ms"]["p50"];
    const double perSecond = 1000.0 * streams / between;
    const double entryMs = milliseconds(entry.processorTime - before.processorTime);
    std::cout << streams << " open streams (" << (open ? "all open at once" : "never all open")
              << "), " << perSecond << " tokens/s: entryd "
              << static_cast<double>(idleEntry.residentBytes) / kMegabyte << " -> "
              << static_cast<double>(entry.residentBytes) / kMegabyte << " MB, "
              << 1000 * entryMs / kSeconds / perSecond << " us a token; controld "
              << static_cast<double>(idleControl.residentBytes) / kMegabyte << " -> "
              << static_cast<double>(control.residentBytes) / kMegabyte
              << " MB; between tokens p50 " << between << " p95 "
              << json["between_tokens_ms"]["p95"].get<double>() << " ms\n  outcomes "
              << json["outcomes"].dump() << "\n";
}

} // namespace

int main(int argc, char **argv)
{
    const std::string part = argc > 1 ? argv[1] : "all";
    const auto wanted = [&](const char *name) { return part == "all" || part == name; };
    if (wanted("idle")) {
        for (const int nodes : {3, 8, 16, 32, 64})
            idle(nodes);
    }
    if (wanted("overhead"))
        overhead(2000);
    if (wanted("throughput")) {
        for (const bool direct : {false, true}) {
            for (const double rate : {43.0, 1000.0, 3000.0, 5000.0})
                throughput(rate, direct);
        }
    }
    if (wanted("streams")) {
        openStreams(450, 31);
        openStreams(1000, 200);
    }
    return 0;
}
