// SPDX-License-Identifier: MIT
// The load pattern: more callers are refused for a limit than the upstreams take, all at once.
#include "fordwood/retry_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

TEST_CASE("return times: refused callers come back one after the other, as often as requests are "
          "taken, those who came first before the others [limit]")
{
    ManualClock clock;
    RetrySchedule schedule(clock);
    std::vector<std::chrono::milliseconds> given;
    given.reserve(8);
    for (int n = 0; n < 8; ++n)
        given.push_back(schedule.next(2.0));
    CHECK(given.front() == 500ms);
    CHECK(given.back() == 4s);
    CHECK(std::is_sorted(given.begin(), given.end()));
    clock.advance(3s);
    CHECK(schedule.next(2.0) == 1500ms);
    // Who comes when nobody waits any more is not told to wait for those who did.
    clock.advance(10s);
    CHECK(schedule.next(2.0) == 500ms);
}

TEST_CASE("return times: nobody is told to stay away for longer than limits last [limit]")
{
    ManualClock clock;
    RetrySchedule schedule(clock);
    for (int n = 0; n < 1000; ++n)
        CHECK(schedule.next(n % 2 == 0 ? 3.0 : 0.0) <= 30s);
    CHECK(schedule.next(3.0) == 30s);
}
