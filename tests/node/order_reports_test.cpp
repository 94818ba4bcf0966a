// SPDX-License-Identifier: MIT
// Forwarding of nodes' reports on their orders to engines.
#include "node/order_reports.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

OrderReport makeReport(std::chrono::milliseconds age, std::chrono::milliseconds lastOrder)
{
    return {age, lastOrder, {"e"}, {}};
}

} // namespace

TEST_CASE("order reports: empty reports are neither kept nor forwarded [sums]")
{
    ManualClock clock;
    OrderReports reports(clock);
    for (int n = 0; n < 300; ++n)
        CHECK_FALSE(reports.record("n" + std::to_string(n), {}));
    CHECK(reports.toForward().empty());
}

TEST_CASE("order reports: the newest report counts, whichever way it arrived [sums]")
{
    ManualClock clock;
    clock.advance(10s);
    OrderReports reports(clock);
    CHECK(reports.record("a", makeReport(300ms, 50ms)));
    CHECK(reports.record("a", makeReport(20ms, 10ms)));
    CHECK_FALSE(reports.record("a", makeReport(200ms, 50ms))); // an echo
    CHECK(reports.lastOrder("a") == clock.now() - 30ms);
    CHECK(reports.lastReportTime("a") == clock.now() - 20ms);
    CHECK_FALSE(reports.lastOrder("b"));
}

TEST_CASE("order reports: a forwarded report ages and expires [sums]")
{
    ManualClock clock;
    clock.advance(10s);
    OrderReports reports(clock);
    reports.record("a", makeReport(0ms, 50ms));
    clock.advance(400ms);
    REQUIRE(reports.toForward().contains("a"));
    CHECK(reports.toForward().at("a").age == 400ms);
    CHECK(reports.toForward().at("a").lastOrder == 50ms);
    clock.advance(3s);
    CHECK(reports.toForward().empty());
}

TEST_CASE("order reports: an empty report replaces the last one [sums]")
{
    ManualClock clock;
    clock.advance(10s);
    OrderReports reports(clock);
    reports.record("a", makeReport(0ms, 50ms));
    clock.advance(10ms);
    CHECK(reports.record("a", {}));
    CHECK(reports.toForward().empty());
}
