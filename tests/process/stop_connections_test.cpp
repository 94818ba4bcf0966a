// SPDX-License-Identifier: MIT
// Connections of callers that stay open during the planned stop of a node.
#include <doctest/doctest.h>

#include <chrono>
#include <thread>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

// Guards against a stop that lasts until its end because a connection whose close was announced is
// never closed. The answer ends shortly before the node closes its idle connections.
TEST_CASE("planned stop: a caller that does not close its side does not hold up the node's end "
          "[node][stop]")
{
    StopFleet fleet(1, 1, 8'000ms);
    PlannedStop stop(fleet, 0);
    std::this_thread::sleep_until(stop.begin() + 2'900ms);
    KeptConnection connection;
    REQUIRE(connection.connect(fleet.host(0)));
    // With this limit the request ends within the stop and is taken.
    REQUIRE(connection.send(
        StopFleet::head("GET", StopFleet::path("once", 50ms, "last"), "last", 3'000ms) + "\r\n"));
    const HttpAnswer answer = connection.read();
    CHECK(answer.isComplete);
    CHECK(answer.status == 200);
    CHECK_FALSE(connection.isKept());
    CHECK(stop.finish() == 0);
    CHECK(StopFleet::RealClock::now() - stop.begin() < 6'000ms);
}
