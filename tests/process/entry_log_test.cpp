// SPDX-License-Identifier: MIT
// A fordwood-entryd whose standard output is a pipe that nobody reads.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>

#include "process/fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

// Guards against requests and an exit that wait for a write to the log.
TEST_CASE("entry stop: an entry process whose log nobody reads serves on and ends in time [stop]")
{
    FleetSize size;
    size.nodes = size.engines = size.domains = 1;
    Fleet fleet(size);
    const OutputPipe pipe;
    fleet.entryOutput = pipe.writeEnd();
    fleet.start();
    pipe.fill();
    for (int n = 0; n < 10; ++n)
        CHECK(httpCall("GET", fleet.caller(0) + "/v1/unknown", "", {Fleet::bearer()}).status
              >= 400);
    fleet.entryds[0].signal(SIGTERM);
    int code = -SIGKILL;
    CHECK(fleet.entryds[0].waitFor(5s, code));
    CHECK(code == 0);
}
