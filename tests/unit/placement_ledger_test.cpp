// SPDX-License-Identifier: MIT
#include "fordwood/placement_ledger.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr PlacementId kFirst{1, 1};
constexpr PlacementId kSecond{2, 1}; // the same number at another process

class LedgerFixture
{
public:
    LedgerFixture() : m_ledger(m_clock) { }

    void add(const PlacementId &id, const std::string &engine, const RequestLoad &load,
             std::map<std::string, std::size_t> fetchTokens = {})
    {
        m_ledger.add(
            id, {engine, load, std::move(fetchTokens), m_clock.now() + 1s, m_clock.now() + 8s});
    }

    void advance(Duration by)
    {
        m_clock.advance(by);
        m_ledger.removeExpired();
    }

    ManualClock m_clock;
    PlacementLedger m_ledger;
};

} // namespace

TEST_CASE("ledger: the load of an engine follows its placements [placement]")
{
    LedgerFixture it;
    it.add(kFirst, "e1", {900, 1'000});
    it.add(kSecond, "e1", {50, 70});
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{2, 950, 1'070});
    CHECK(it.m_ledger.total("e2") == UpstreamLoad{});
    it.m_ledger.promptComputed(kFirst);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{2, 50, 1'070});
    it.m_ledger.end(kFirst);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{1, 50, 70});
    it.m_ledger.end(kSecond); // without a report that its prompt was computed
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{});
    CHECK(it.m_ledger.size() == 0);
}

TEST_CASE("ledger: context to fetch counts at its store until the prompt is computed [placement]")
{
    LedgerFixture it;
    it.add(kFirst, "e1", {100, 1'000}, {{"s1", 700}, {"s2", 200}});
    it.add(kSecond, "e2", {100, 1'000}, {{"s1", 700}});
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{2, 1'400, 0});
    it.m_ledger.promptComputed(kFirst);
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{1, 700, 0});
    CHECK(it.m_ledger.total("s2") == UpstreamLoad{});
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{1, 0, 1'000});
    it.m_ledger.end(kSecond);
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{});
}

// Guards against a load that is subtracted twice: datagrams are repeated, and late replies are
// released by more than one message.
TEST_CASE("ledger: unknown ids and repeated reports change nothing [placement]")
{
    LedgerFixture it;
    it.m_ledger.promptComputed(kFirst);
    it.m_ledger.end(kFirst);
    CHECK(it.m_ledger.size() == 0);
    it.add(kFirst, "e1", {900, 1'000}, {{"s1", 700}});
    it.add(kSecond, "e1", {50, 70}, {{"s1", 700}});
    for (int n = 0; n < 2; ++n)
        it.m_ledger.promptComputed(kFirst);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{2, 50, 1'070});
    for (int n = 0; n < 2; ++n)
        it.m_ledger.end(kFirst);
    it.m_ledger.promptComputed(kFirst);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{1, 50, 70});
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{1, 700, 0});
    it.advance(10s);
    CHECK(it.m_ledger.size() == 0);
}

TEST_CASE("ledger: a placement replaces an earlier one with its id [placement]")
{
    LedgerFixture it;
    it.add(kFirst, "e1", {900, 1'000}, {{"s1", 700}});
    it.m_clock.advance(500ms);
    it.add(kFirst, "e2", {50, 70});
    CHECK(it.m_ledger.size() == 1);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{});
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{});
    CHECK(it.m_ledger.total("e2") == UpstreamLoad{1, 50, 70});
    it.advance(500ms); // the first one's time does not apply to the second
    CHECK(it.m_ledger.total("e2") == UpstreamLoad{1, 50, 70});
    it.advance(500ms);
    CHECK(it.m_ledger.total("e2") == UpstreamLoad{1, 0, 70});
}

// Guards against engines that seem busy for good: progress messages get lost, and nodes die.
TEST_CASE("ledger: without reports a prompt counts as computed and its request as ended in time "
          "[placement]")
{
    LedgerFixture it;
    it.add(kFirst, "e1", {900, 1'000}, {{"s1", 700}});
    it.advance(999ms);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{1, 900, 1'000});
    it.advance(1ms);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{1, 0, 1'000});
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{});
    it.m_ledger.promptComputed(kFirst); // reported after all
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{1, 0, 1'000});
    it.advance(6'999ms);
    CHECK(it.m_ledger.size() == 1);
    it.advance(1ms);
    CHECK(it.m_ledger.size() == 0);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{});
}

TEST_CASE("ledger: a request whose deadline comes before its estimated first token ends then "
          "[placement]")
{
    LedgerFixture it;
    it.m_ledger.add(kFirst,
                    {"e1", {900, 1'000}, {}, it.m_clock.now() + 5s, it.m_clock.now() + 200ms});
    it.advance(199ms);
    CHECK(it.m_ledger.size() == 1);
    it.advance(1ms);
    CHECK(it.m_ledger.size() == 0);
    CHECK(it.m_ledger.total("e1") == UpstreamLoad{});
}

TEST_CASE("ledger: expiry ends each of many placements once [placement]")
{
    LedgerFixture it;
    constexpr std::size_t kPlacements = 1'000;
    for (std::size_t n = 0; n < kPlacements; ++n) {
        it.add({n % 29, n}, "e" + std::to_string(n % 9), {10, 20}, {{"s1", 5}});
        if (n % 3 == 0)
            it.m_ledger.promptComputed({n % 29, n});
    }
    CHECK(it.m_ledger.total("s1").running == kPlacements - (kPlacements + 2) / 3);
    it.advance(1s);
    CHECK(it.m_ledger.total("s1") == UpstreamLoad{});
    CHECK(it.m_ledger.size() == kPlacements);
    it.advance(7s);
    CHECK(it.m_ledger.size() == 0);
    for (int n = 0; n < 9; ++n)
        CHECK(it.m_ledger.total("e" + std::to_string(n)) == UpstreamLoad{});
}
