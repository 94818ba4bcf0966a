// SPDX-License-Identifier: MIT
// Load pattern: a rate limit refuses more callers at once than the upstreams accept.
#include "fordwood/retry_schedule.hpp"

#include <doctest/doctest.h>

#include <algorithm>
#include <vector>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

TEST_CASE("retry schedule: refused callers return in order, at the rate at which requests are "
          "accepted [limit]")
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
    // A caller refused when no others wait does not have to wait for earlier ones.
    clock.advance(10s);
    CHECK(schedule.next(2.0) == 500ms);
}

TEST_CASE("retry schedule: no retry time is later than limits usually last [limit]")
{
    ManualClock clock;
    RetrySchedule schedule(clock);
    for (int n = 0; n < 1000; ++n)
        CHECK(schedule.next(n % 2 == 0 ? 3.0 : 0.0) <= 30s);
    CHECK(schedule.next(3.0) == 30s);
}

TEST_CASE("retry schedule: a caller with little time does not bring later callers forward [limit]")
{
    ManualClock clock;
    RetrySchedule schedule(clock);
    CHECK(schedule.next(1.0, 5s) == 6s);
    CHECK(schedule.next(1.0, 5s, 2s) == 2s);
    CHECK(schedule.next(1.0) == 7s);
}
