// SPDX-License-Identifier: MIT
// What the log of a node tells of requests that end without an answer, and of an end by an error.
#include <doctest/doctest.h>

#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>

#include <unistd.h>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

// Guards against requests that end in a stop without a line that a record of warnings keeps.
TEST_CASE("planned stop: a request that is cut has a warning that tells why, and its caller's "
          "address [node][stop]")
{
    StopFleet fleet(1, 1, 3'000ms);
    KeptConnection caller;
    REQUIRE(caller.connect(fleet.host(0)));
    REQUIRE(caller.send(StopFleet::request("talk", 5'000ms, "open")));
    REQUIRE(Fleet::waitFor([&] { return !fleet.runs("open").empty(); }));
    PlannedStop stop(fleet, 0);
    CHECK(stop.finish() == 0);
    CHECK_FALSE(caller.read().isComplete);
    const std::string inStop = fleet.lastLogged(0, " name=RequestInStop ");
    CHECK(fleet.fieldOf(inStop, "request") == "open");
    CHECK(fleet.fieldOf(inStop, "open") == "1");
    CHECK(fleet.fieldOf(inStop, "caller").ends_with(":" + std::to_string(caller.port())));
    const std::string unfinished = fleet.lastLogged(0, " name=RequestUnfinishedInStop ");
    CHECK(unfinished.find(" level=warning ") != std::string::npos);
    CHECK(fleet.fieldOf(unfinished, "request") == "open");
    CHECK(fleet.fieldOf(unfinished, "outcome") == "cut-by-stop");
    CHECK(std::stoi("0" + fleet.fieldOf(unfinished, "left_ms")) > 0);
    const std::string connection = fleet.lastLogged(0, " name=ConnectionEndedEarlyInStop ");
    CHECK(connection.find(" level=warning ") != std::string::npos);
    CHECK(fleet.fieldOf(connection, "request") == "open");
    const std::string ended = fleet.lastLogged(0, " name=StopEnded ");
    CHECK(fleet.fieldOf(ended, "begun") == "1");
    CHECK(fleet.fieldOf(ended, "ended") == "1");
}

// Guards against a process that ends by an exception and whose log does not tell of it.
TEST_CASE("log: a process that ends by an exception tells which one, and keeps its earlier lines "
          "[log]")
{
    const std::string log = "/tmp/fordwood-terminating-" + std::to_string(getpid()) + ".log";
    Process program({FORDWOOD_TERMINATING_PROGRAM}, log);
    CHECK(program.wait() == -SIGABRT);
    std::ifstream in(log);
    const std::string text{std::istreambuf_iterator<char>(in), {}};
    std::filesystem::remove(log);
    CHECK(text.find(" name=Stopping ") != std::string::npos);
    CHECK(text.find(" name=EndsByError level=error ") != std::string::npos);
    CHECK(text.find(" error=\"thrown by a handler\"") != std::string::npos);
}
