// SPDX-License-Identifier: MIT
#include "adapters/observe/log_queue.hpp"

#include <doctest/doctest.h>

#include <string>
#include <vector>

using namespace fordwood::adapters;

namespace {

std::vector<std::string> drain(LogQueue &queue, std::uint64_t &dropped)
{
    std::vector<std::string> lines;
    dropped = queue.drain([&](const LogQueue::Line &it) { lines.push_back(it.text); });
    return lines;
}

} // namespace

TEST_CASE("log: a full queue drops and counts new lines and keeps the older ones [log]")
{
    LogQueue queue(2);
    for (const char *it : {"one", "two", "three", "four", "five"})
        queue.push({EventLevel::Info, it});
    std::uint64_t dropped = 0;
    CHECK(drain(queue, dropped) == std::vector<std::string>{"one", "two"});
    CHECK(dropped == 3);
}

TEST_CASE("log: each dropped line is counted once, and a drained queue accepts lines again [log]")
{
    LogQueue queue(1);
    queue.push({EventLevel::Info, "one"});
    queue.push({EventLevel::Error, "two"});
    std::uint64_t dropped = 0;
    CHECK(drain(queue, dropped).size() == 1);
    CHECK(dropped == 1);
    queue.push({EventLevel::Info, "three"});
    CHECK(drain(queue, dropped) == std::vector<std::string>{"three"});
    CHECK(dropped == 0);
}

// Guards against log lines as long as a caller's head, thousands of which wait for a slow reader.
TEST_CASE("log: values that others choose are cut to a bounded length")
{
    const EventField field("request", std::string(100'000, 'a'));
    CHECK(field.value.size() == EventField::kMaxValueBytes);
    CHECK(EventField("request", std::string("short")).value == "short");
}
