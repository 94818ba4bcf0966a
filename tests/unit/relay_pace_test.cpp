// SPDX-License-Identifier: MIT
// How much a relay sends, and when.
#include "fordwood/relay_pace.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr double kWeakLink = 2.5e6; // bytes per second
constexpr std::size_t kNodes = 164;

} // namespace

TEST_CASE("relay pace: changes that follow each other take a bounded part of the link [relays]")
{
    constexpr std::size_t kBytes = kNodes * 300;
    ManualClock clock;
    RelayPace pace(clock, {.linkBytesPerSecond = kWeakLink});
    std::size_t sent = 0;
    for (int n = 0; n < 500; ++n) { // ten seconds
        if (pace.isMessageDue(true)) {
            pace.messagesSent(kBytes);
            sent += kBytes;
        }
        clock.advance(20ms);
    }
    CHECK(static_cast<double>(sent) <= 0.11 * 10.0 * kWeakLink);
    CHECK(static_cast<double>(sent) >= 0.08 * 10.0 * kWeakLink);
}

TEST_CASE("relay pace: a relay on the weakest link is heard twice within the time after which it "
          "is replaced [relays]")
{
    ManualClock clock;
    RelayPace pace(clock, {.linkBytesPerSecond = 1'000.0});
    pace.messagesSent(1'000'000);
    clock.advance(390ms);
    CHECK_FALSE(pace.isMessageDue(true));
    clock.advance(10ms);
    CHECK(pace.isMessageDue(false));
}

TEST_CASE("relay pace: a change is told at once, and nothing twice within the shortest pause "
          "[relays]")
{
    ManualClock clock;
    RelayPace pace(clock, {.linkBytesPerSecond = 25e6});
    pace.messagesSent(50'000);
    clock.advance(60ms);
    CHECK(pace.isMessageDue(true));
    CHECK_FALSE(pace.isMessageDue(false));
    pace.messagesSent(50'000);
    clock.advance(40ms);
    CHECK_FALSE(pace.isMessageDue(true));
}

TEST_CASE("relay pace: sums to many nodes are no burst, and reach all within their share of the "
          "link [relays][sums]")
{
    constexpr std::size_t kBytes = 8'500;
    ManualClock clock;
    RelayPace pace(clock, {.linkBytesPerSecond = kWeakLink});
    std::size_t sent = 0;
    for (int n = 0; n < 500; ++n) { // ten seconds
        const std::size_t admitted = pace.admitSums(kNodes, kBytes);
        CHECK(static_cast<double>(admitted * kBytes) <= 0.04 * kWeakLink);
        sent += admitted;
        clock.advance(20ms);
    }
    CHECK(sent >= 4 * kNodes);
    CHECK(static_cast<double>(sent * kBytes) <= 0.26 * 10.0 * kWeakLink);
}

TEST_CASE("relay pace: a sum that is larger than a burst is sent all the same [relays][sums]")
{
    ManualClock clock;
    RelayPace pace(clock, {.linkBytesPerSecond = 100'000.0});
    std::size_t sent = 0;
    for (int n = 0; n < 250; ++n) { // five seconds
        sent += pace.admitSums(kNodes, 50'000);
        clock.advance(20ms);
    }
    CHECK(sent == 2);
}
