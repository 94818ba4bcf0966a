// SPDX-License-Identifier: MIT
// Aggregation of the load on the upstreams by relays.
#include "fordwood/load_sums.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

LoadReport report(std::size_t running, std::size_t tokens = 0)
{
    LoadReport report;
    report.loads = {{"e", {running, tokens, tokens}}};
    report.shortContextTokens = 10;
    return report;
}

} // namespace

TEST_CASE("load sums: each node and each other failure domain is counted once [sums]")
{
    ManualClock clock;
    LoadSums sums(clock);
    sums.setOwn(report(1));
    sums.setNode("a", 1, report(2));
    sums.setNode("a", 2, report(3)); // replaces the first one
    LoadReport domain = report(10);
    domain.nodes = 5;
    sums.setDomain("d2", domain);
    sums.setDomain("d2", domain); // from its other relay
    CHECK(sums.domainSum().loads.at("e").running == 4);
    CHECK(sums.domainSum().nodes == 2);
    CHECK(sums.othersSum().loads.at("e").running == 13);
    CHECK(sums.othersSum().nodes == 6);
    CHECK(sums.othersSum().shortContextTokens == 20);
    CHECK(sums.reportNumbers() == ReportNumbers{{stableHash("a"), 2}});
    CHECK(findReportNumber(sums.reportNumbers(), "a") == 2);
    CHECK_FALSE(findReportNumber(sums.reportNumbers(), "b"));
}

TEST_CASE("load sums: the load of a node that is gone is counted for at most a second [sums]")
{
    ManualClock clock;
    LoadSums sums(clock);
    sums.setNode("gone", 1, report(2));
    sums.setNode("live", 1, report(3));
    sums.setDomain("gone", report(4));
    clock.advance(900ms);
    CHECK(sums.othersSum().loads.at("e").running == 9);
    sums.setNode("live", 2, report(3));
    clock.advance(200ms);
    CHECK(sums.othersSum().loads.at("e").running == 3);
    CHECK(sums.othersSum().nodes == 1);
    CHECK(sums.reportNumbers().size() == 1);
}

TEST_CASE("load sums: entries of replaced nodes are removed [sums]")
{
    ManualClock clock;
    LoadSums sums(clock);
    for (int n = 0; n < 1'000; ++n) {
        sums.setNode("n" + std::to_string(n), 1, report(1));
        clock.advance(100ms);
    }
    CHECK(sums.nodeCount() <= 12);
}

TEST_CASE("load sums: a node that leaves is no longer counted [sums]")
{
    ManualClock clock;
    LoadSums sums(clock);
    sums.setNode("a", 1, report(2));
    sums.removeNode("a");
    CHECK(sums.othersSum() == LoadReport{0, {}, 0, {}});
}

TEST_CASE("load sums: a node subtracts the report that the sum includes, not its newest [sums]")
{
    SentReports sent;
    CHECK(sent.add(report(2, 100)) == 1);
    CHECK(sent.add(report(5, 700)) == 2);
    LoadReport sum = report(9, 1'000);
    sum.nodes = 4;
    CHECK(sent.withoutOwn(sum, 1).loads.at("e") == UpstreamLoad{7, 900, 900});
    CHECK(sent.withoutOwn(sum, 2).loads.at("e") == UpstreamLoad{4, 300, 300});
    CHECK(sent.withoutOwn(sum, 1).nodes == 3);
    // The relay has no report of this node, or one from before it was restarted.
    CHECK(sent.withoutOwn(sum, std::nullopt) == sum);
    CHECK(sent.withoutOwn(sum, 77) == sum);
}

TEST_CASE("load sums: an upstream that only this node uses is not in the sum without it [sums]")
{
    SentReports sent;
    sent.add(report(2));
    LoadReport sum = report(2);
    sum.nodes = 2;
    CHECK(sent.withoutOwn(sum, 1).loads.isEmpty());
}

TEST_CASE("load sums: old sent reports are dropped [sums]")
{
    SentReports sent;
    for (int n = 0; n < 1'000; ++n)
        sent.add(report(1));
    const LoadReport sum = report(3);
    CHECK(sent.withoutOwn(sum, 1) == sum);
    CHECK(sent.withoutOwn(sum, 1'000).loads.at("e").running == 2);
}
