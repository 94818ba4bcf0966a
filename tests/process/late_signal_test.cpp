// SPDX-License-Identifier: MIT
// Planned stops whose signal reaches the process late, as through a supervisor or a remote shell.
// The platform counts from its decision, which the process does not know.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

// Sends a request that the upstream answers after 4.9 s, on a connection of its own, with a limit
// of 5 s.
HttpAnswer ask(const StopFleet &fleet, const std::string &route, const std::string &id)
{
    KeptConnection connection;
    const std::string path = StopFleet::path(route, 4'900ms, id);
    if (!connection.connect(fleet.host(0))
        || !connection.send(StopFleet::head("GET", path, id, 5'000ms) + "\r\n"))
        return {};
    return connection.read();
}

} // namespace

// Guards against requests that are taken more than 3 s after the begin of a stop, as the signal
// came late, and that last until the process is killed.
TEST_CASE("planned stop: a signal that comes 0.6 s late loses no request [node][stop]")
{
    constexpr int kRequests = 12;
    StopFleet fleet(1, 2, 8'000ms);
    const auto begin = StopFleet::RealClock::now();
    std::vector<HttpAnswer> answers(kRequests);
    std::vector<std::thread> callers;
    callers.reserve(kRequests);
    for (int n = 0; n < kRequests; ++n) {
        callers.emplace_back([&, n] {
            std::this_thread::sleep_until(begin + 3'120ms + n * 20ms);
            answers[static_cast<std::size_t>(n)]
                = ask(fleet, n % 2 == 0 ? "talk" : "once", "r-" + std::to_string(n));
        });
    }
    PlannedStop stop = PlannedStop::delivered(fleet, 0, 600ms);
    const int code = stop.finish();
    for (std::thread &it : callers)
        it.join();
    // A rejection is complete as well, and a request that has run is told so.
    const auto whole = std::count_if(answers.begin(), answers.end(),
                                     [](const HttpAnswer &it) { return it.isComplete; });
    CHECK(whole == kRequests);
    CHECK(code == 0);
}
