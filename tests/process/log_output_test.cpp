// SPDX-License-Identifier: MIT
// A node whose standard output is a pipe that stands for a while, breaks, or that nobody reads.
#include <doctest/doctest.h>

#include <chrono>
#include <sstream>
#include <string>
#include <vector>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

// Time in which the log thread writes what is pending.
constexpr std::chrono::milliseconds kBatchTime{500};

// A node whose standard output is a pipe.
class PipedNode
{
public:
    explicit PipedNode(OutputPipe::Writes writes = OutputPipe::Writes::Block) : m_pipe(writes)
    {
        fleet.output = m_pipe.writeEnd();
        fleet.startNode(0);
        REQUIRE(Fleet::waitFor([&] { return fleet.isReady(0); }));
    }

    OutputPipe &pipe() { return m_pipe; }

    // Sends requests one after the other, each of which leaves at least one line.
    void call(const std::string &id, int count)
    {
        KeptConnection connection;
        REQUIRE(connection.connect(fleet.host(0)));
        for (int n = 0; n < count; ++n) {
            REQUIRE(connection.send(StopFleet::request("safe", 0ms, id + std::to_string(n))));
            REQUIRE(connection.read().status == 200);
        }
    }

    // Adds what the pipe holds to the lines.
    void readLines()
    {
        std::istringstream in(m_rest + m_pipe.read());
        m_rest.clear();
        for (std::string it; std::getline(in, it);) {
            if (in.eof())
                m_rest = it;
            else if (!it.empty())
                m_lines.push_back(it);
        }
    }

    // The number of lines that contain the text.
    std::uint64_t count(const std::string &text) const
    {
        std::uint64_t n = 0;
        for (const std::string &it : m_lines)
            n += it.find(text) == std::string::npos ? 0 : 1;
        return n;
    }

    // The sum of a field of all lines of an event.
    std::uint64_t sum(const std::string &event, const std::string &field) const
    {
        std::uint64_t all = 0;
        for (const std::string &it : m_lines) {
            const std::size_t at = it.find(" " + field + "=\"");
            if (it.find(event) != std::string::npos && at != std::string::npos)
                all += std::stoull(it.substr(at + field.size() + 3));
        }
        return all;
    }

    // Stops the node. The last line then tells how many lines there are, and how many are missing.
    void stopAndCheckCounts()
    {
        PlannedStop stop(fleet, 0);
        CHECK(stop.finish() == 0);
        readLines();
        REQUIRE_FALSE(m_lines.empty());
        REQUIRE_MESSAGE(count("name=Stopped") == 1, m_lines.back());
        CHECK_MESSAGE(m_lines.back().find("name=Stopped") != std::string::npos, m_lines.back());
        const std::uint64_t dropped = sum("name=Stopped", "dropped");
        CHECK(dropped == sum("name=LogLinesDropped", "lines"));
        const std::uint64_t written = m_lines.size() - 1 - count("name=LogLinesDropped");
        CHECK(sum("name=Stopped", "lines") == written + dropped);
        const std::uint64_t time = sum("name=Stopped", "since_signal_ms");
        CHECK(time > 0);
        CHECK(time < static_cast<std::uint64_t>(fleet.stopWithin.count()));
    }

    StopFleet fleet{0, 2, 3'000ms};

private:
    OutputPipe m_pipe;
    std::string m_rest; // of a line whose end has not been read
    std::vector<std::string> m_lines;
};

// Stops the node while nobody reads its log.
void checkEndsUnread(PipedNode &node)
{
    node.pipe().fill();
    node.call("unread-", 10);
    PlannedStop stop(node.fleet, 0);
    CHECK(stop.finish() == 0);
}

} // namespace

// Guards against an exit that waits for a write which never returns, so that the node is killed.
TEST_CASE("planned stop: a node whose log nobody reads ends in time [node][stop]")
{
    PipedNode node;
    checkEndsUnread(node);
}

// The same, where the log thread waits until a non-blocking pipe can be written.
TEST_CASE("planned stop: a node whose non-blocking log nobody reads ends in time [node][stop]")
{
    PipedNode node(OutputPipe::Writes::FailWhenFull);
    checkEndsUnread(node);
}

// Guards against an error state of the output after a write that would have blocked, with which all
// later lines are dropped.
TEST_CASE("log: a non-blocking pipe that was full for a while loses no line [node][log]")
{
    PipedNode node(OutputPipe::Writes::FailWhenFull);
    node.pipe().fill();
    node.call("while-full-", 10);
    std::this_thread::sleep_for(kBatchTime);
    node.readLines();
    node.call("later-", 10);
    std::this_thread::sleep_for(kBatchTime);
    node.stopAndCheckCounts();
    CHECK(node.count("request=\"later-") == 10);
    CHECK(node.count("request=\"while-full-") == 10);
    CHECK(node.count("name=LogLinesDropped") == 0);
}

// Guards against an error state of the output after a write that failed, and against lines that are
// missing without a word.
TEST_CASE("log: lines that could not be written are counted, later ones are written [node][log]")
{
    PipedNode node;
    std::this_thread::sleep_for(kBatchTime);
    node.readLines();
    node.pipe().closeReadEnd();
    node.call("failed-", 10);
    std::this_thread::sleep_for(kBatchTime);
    node.pipe().openReadEnd();
    node.call("later-", 10);
    std::this_thread::sleep_for(kBatchTime);
    node.stopAndCheckCounts();
    CHECK(node.count("request=\"later-") == 10);
    CHECK(node.sum("name=LogLinesDropped", "lines") >= 10);
}

// Guards against counts that miss the lines for which the queue of the log thread had no room.
TEST_CASE("log: lines beyond those that may be pending are dropped and counted [node][log]")
{
    PipedNode node;
    std::this_thread::sleep_for(kBatchTime);
    node.readLines();
    node.pipe().fill();
    node.call("many-", 5'000);
    CHECK(Fleet::waitFor([&] {
        node.readLines();
        return node.count("name=LogLinesDropped") > 0;
    }));
    node.call("later-", 10);
    std::this_thread::sleep_for(kBatchTime);
    node.stopAndCheckCounts();
    CHECK(node.count("request=\"later-") == 10);
    CHECK(node.sum("name=Stopped", "dropped") >= 500);
}
