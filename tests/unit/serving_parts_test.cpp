// SPDX-License-Identifier: MIT
// Tests of the smaller routing parts: routes, budgets, loads, health, plain services, events.
#include <doctest/doctest.h>

#include "fordwood/event_splitter.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/prefill_pace.hpp"
#include "fordwood/route_table.hpp"
#include "fordwood/service_chooser.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/weight_history.hpp"
#include "fordwood/window_budget.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

ServiceRoute routeOf(const std::string &name, const std::string &host, const std::string &prefix,
                     std::vector<SplitTarget> targets = {{"board", 1.0}})
{
    ServiceRoute route;
    route.name = name;
    route.host = host;
    route.pathPrefix = prefix;
    route.targets = std::move(targets);
    return route;
}

UpstreamRecord upstreamOf(const std::string &id, const std::string &domain = "x")
{
    UpstreamRecord record;
    record.instanceId = id;
    record.failureDomain = domain;
    record.slots = 4;
    return record;
}

} // namespace

TEST_CASE("routes: the longest prefix of the host wins, whatever the port, case or query [routes]")
{
    ServingConfig config;
    config.routes = {routeOf("short", "a.example", "/x/"), routeOf("long", "a.example", "/x/y/"),
                     routeOf("other", "b.example", "/x/y/z/")};
    const RouteTable table(config);
    CHECK(table.findRoute("a.example", "/x/y/z/1")->name == "long");
    CHECK(table.findRoute("A.Example:8080", "/x/1?q=/x/y/")->name == "short");
    CHECK(table.findRoute("a.example", "/x") == nullptr);
    CHECK(table.findRoute("c.example", "/x/y/") == nullptr);
}

TEST_CASE("routes: requests are split by weight, each id always to the same service [routes]")
{
    const ServiceRoute route = routeOf("split", "a", "/", {{"one", 90.0}, {"two", 10.0}});
    int two = 0;
    for (int n = 0; n < 10'000; ++n) {
        const std::string id = "request-" + std::to_string(n);
        const std::string &target = RouteTable::targetOf(route, id);
        CHECK(target == RouteTable::targetOf(route, id));
        two += target == "two" ? 1 : 0;
    }
    CHECK(two > 850);
    CHECK(two < 1'150);
}

TEST_CASE("routes: a key identifies its own team only [teams]")
{
    ServingConfig config;
    config.teams = {{"a", {"k1", "k2"}, std::nullopt, false, {}}, {"b", {"k3"}, 1, true, {}}};
    const RouteTable table(config);
    CHECK(table.findTeam("k2")->name == "a");
    CHECK(table.findTeam("k3")->name == "b");
    CHECK(table.findTeam("") == nullptr);
    CHECK(table.findTeam("k") == nullptr);
}

TEST_CASE("window budget: all nodes together stay within the ratio and slack of the fleet [retry]")
{
    constexpr std::size_t kNodes = 8;
    ManualClock clock;
    WindowBudget::Limits limits;
    limits.ratio = 0.2;
    limits.slack = 56.0;
    WindowBudget budget(clock, limits);
    for (int n = 0; n < 100; ++n)
        budget.countRequest();
    int repeats = 0;
    while (repeats < 1'000 && budget.takeRetry(kNodes))
        ++repeats;
    CHECK(repeats > 10);
    CHECK(repeats <= (0.2 * 100 * kNodes + 56) / kNodes);
    clock.advance(11s);
    CHECK(budget.takeRetry(kNodes)); // the slack of a new window
}

TEST_CASE("loads: ended requests and computed prompts no longer count [routing]")
{
    const ManualClock clock;
    UpstreamLoadTracker loads(clock);
    loads.begin("a", {100, 150});
    loads.begin("a", {50, 70});
    CHECK(loads.total("a") == UpstreamLoad{2, 150, 220});
    loads.promptComputed("a", {100, 150});
    CHECK(loads.total("a") == UpstreamLoad{2, 50, 220});
    loads.end("a", {100, 150}, true);
    loads.end("a", {50, 70}, false);
    CHECK(loads.total("a") == UpstreamLoad{});
    CHECK(loads.own().empty());
}

TEST_CASE("health: pauses double with consecutive failures and end with a success [health]")
{
    ManualClock clock;
    UpstreamHealth health(clock);
    health.failed("a");
    CHECK(health.isPaused("a"));
    clock.advance(500ms);
    CHECK_FALSE(health.isPaused("a"));
    health.failed("a");
    clock.advance(500ms);
    CHECK(health.isPaused("a"));
    clock.advance(500ms);
    CHECK_FALSE(health.isPaused("a"));
    for (int n = 0; n < 100; ++n)
        health.failed("a");
    clock.advance(4s); // the longest pause
    CHECK_FALSE(health.isPaused("a"));
    health.succeeded("a");
    health.failed("a");
    clock.advance(500ms);
    CHECK_FALSE(health.isPaused("a"));
}

TEST_CASE("health: the failure rate follows the results of requests [health]")
{
    const ManualClock clock;
    UpstreamHealth health(clock);
    for (int n = 0; n < 30; ++n)
        health.answeredWithError("a");
    CHECK(health.failureRate("a") > 0.9);
    CHECK_FALSE(health.isPaused("a"));
    for (int n = 0; n < 30; ++n)
        health.succeeded("a");
    CHECK(health.failureRate("a") < 0.1);
}

TEST_CASE("services: the upstream with the least load is chosen, a near one among equals [routing]")
{
    const ManualClock clock;
    UpstreamLoadTracker loads(clock);
    UpstreamHealth health(clock);
    const UpstreamRecord near = upstreamOf("near", "home");
    const UpstreamRecord far = upstreamOf("far", "away");
    const std::vector<const UpstreamRecord *> all{&far, &near};
    CHECK(chooseUpstream(all, {}, "home", 1, loads, health) == &near);
    loads.begin("near", {});
    CHECK(chooseUpstream(all, {}, "home", 1, loads, health) == &far);
    CHECK(chooseUpstream(all, {"far"}, "home", 1, loads, health) == &near);
    CHECK(chooseUpstream(all, {"far", "near"}, "home", 1, loads, health) == nullptr);
    for (int n = 0; n < 10; ++n)
        health.answeredWithError("far");
    CHECK(chooseUpstream(all, {}, "home", 1, loads, health) == &near);
}

TEST_CASE("events: only complete ones are passed on, and the last id is tracked [streams]")
{
    EventSplitter events;
    CHECK(events.add("id: 1\ndata: a").empty());
    CHECK(events.hasPartialEvent());
    CHECK_FALSE(events.lastId());
    CHECK(events.add("\n\nid: 2\ndata: b\n\nid: 3\n") == "id: 1\ndata: a\n\nid: 2\ndata: b\n\n");
    CHECK(events.lastId() == 2);
    events.endRun(); // the stream broke in the middle of an event
    CHECK(events.add("id: 3\r\ndata: c\r\n\r\n") == "id: 3\r\ndata: c\r\n\r\n");
    CHECK(events.lastId() == 3);
    CHECK_FALSE(events.hasPartialEvent());
}

TEST_CASE("event splitter: a blank line is found wherever the bytes are divided [events]")
{
    const std::string text = "id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for (std::size_t size = 1; size < text.size(); ++size) {
        EventSplitter events;
        std::string joined;
        for (std::size_t at = 0; at < text.size(); at += size)
            joined += events.add(std::string_view(text).substr(at, size));
        CHECK(joined == text);
        CHECK(events.lastId() == 3);
        CHECK_FALSE(events.hasPartialEvent());
    }
}

TEST_CASE(
    "event splitter: events whose ids do not rise are withheld, wherever the bytes are divided "
    "[streams]")
{
    struct Case
    {
        std::string run; // of a stream that continues after event 3
        std::string passed;
        bool isOutOfOrder;
    };
    const std::vector<Case> cases{
        {"id: 4\ndata: d\n\nid: 5\ndata: e\n\n", "id: 4\ndata: d\n\nid: 5\ndata: e\n\n", false},
        {"id: 9\ndata: gaps are allowed\n\n", "id: 9\ndata: gaps are allowed\n\n", false},
        {"id: 1\ndata: a\n\nid: 4\ndata: d\n\n", "", true},
        {"id: 4\ndata: d\n\nid: 4\ndata: d\n\nid: 5\ndata: e\n\n", "id: 4\ndata: d\n\n", true},
        {"id:4\r\ndata:d\r\n\r\nid:3\r\n\r\n", "id:4\r\ndata:d\r\n\r\n", true},
        {"id: 4\ndata: d\n\r\nid: 2\r\n\n", "id: 4\ndata: d\n\r\n", true},
        {"id: 2\nid: 4\ndata: the last id counts\n\n", "id: 2\nid: 4\ndata: the last id counts\n\n",
         false},
        {": comment\n\nretry: 5\n\n", ": comment\n\nretry: 5\n\n", false},
        {"versions: 2\nid: 4\ndata: d\n\n", "versions: 2\nid: 4\ndata: d\n\n", false},
        {"data: no id\n\n", "", true},
        {"id: x4\ndata: no number\n\n", "", true},
        {"id: 4x\ndata: no number\n\n", "", true},
        {"id\ndata: empty\n\n", "", true}};
    for (const Case &it : cases) {
        CAPTURE(it.run);
        for (std::size_t size = 1; size <= it.run.size(); ++size) {
            EventSplitter events;
            events.continueAfter(3);
            std::string passed;
            for (std::size_t at = 0; at < it.run.size(); at += size)
                passed += events.add(std::string_view(it.run).substr(at, size));
            CHECK(passed == it.passed);
            CHECK(events.isOutOfOrder() == it.isOutOfOrder);
            CHECK(events.canContinue());
        }
    }
}

TEST_CASE("event splitter: the last id is that of the last event that was returned [streams]")
{
    EventSplitter events;
    CHECK(events.add("id: 1\ndata: a\n\nid: 1\ndata: a\n\nid: 2\n") == "id: 1\ndata: a\n\n");
    CHECK(events.outOfOrderId() == 1);
    CHECK(events.add("data: b\n\n").empty());
    CHECK(events.lastId() == 1);
    events.endRun();
    CHECK_FALSE(events.isOutOfOrder());
    CHECK(events.add("id: 2\ndata: b\n\nid: 3\nda") == "id: 2\ndata: b\n\n");
    CHECK(events.lastId() == 2);
    events.endRun();
    CHECK_FALSE(events.hasPartialEvent());
    CHECK(events.add("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

TEST_CASE("event splitter: a stream cannot be continued after data without an id [streams]")
{
    EventSplitter events;
    CHECK(events.add("data: a\n\n") == "data: a\n\n");
    CHECK_FALSE(events.canContinue());
    CHECK(events.add("id: 1\ndata: b\n\n") == "id: 1\ndata: b\n\n");
    CHECK(events.canContinue());
    CHECK(events.add(": comment\n\n") == ": comment\n\n");
    CHECK(events.canContinue());
    events.endRun();
    // After the first id of a resumed run, its place in the stream is known.
    CHECK(events.add("id: 2\ndata: c\n\ndata: d\n\n") == "id: 2\ndata: c\n\ndata: d\n\n");
    CHECK_FALSE(events.canContinue());
}

TEST_CASE("events: an event that is too long is detected [streams]")
{
    EventSplitter events;
    const std::string bytes(EventSplitter::kMaxEventBytes + 1, 'x');
    CHECK(events.add(bytes).empty());
    CHECK(events.isTooLong());
}

// Guards against streams that hold their largest event as long as they last.
TEST_CASE("events: what was returned can be dropped, and an incomplete event is kept [streams]")
{
    EventSplitter events;
    CHECK(events.add("id: 1\ndata: a\n\nid: 2") == "id: 1\ndata: a\n\n");
    CHECK(events.partialBytes() == 5);
    events.dropReturned();
    CHECK(events.partialBytes() == 5);
    const std::string large(100'000, 'x');
    CHECK(events.add("\ndata: " + large + "\n\n") == "id: 2\ndata: " + large + "\n\n");
    events.dropReturned();
    CHECK_FALSE(events.hasPartialEvent());
    CHECK(events.add("id: 2\ndata: again\n\nid: 3").empty());
    CHECK(events.outOfOrderId() == 2);
    events.dropReturned();
    events.endRun();
    CHECK(events.partialBytes() == 0);
    CHECK(events.add("id: 3\ndata: c\n\n") == "id: 3\ndata: c\n\n");
}

TEST_CASE("weights: a version is superseded when the first newer one is published [weights]")
{
    const TimePoint start{1h};
    WeightHistory history;
    CHECK(history.newest() == 0);
    CHECK(history.record(2, {EventTime::at(start), 1}));
    CHECK(history.record(3, {EventTime::at(start + 4s), 2}));
    CHECK(history.newest() == 3);
    CHECK(history.supersededAt(1) == EventTime::at(start));
    CHECK(history.supersededAt(2) == EventTime::at(start + 4s));
    CHECK_FALSE(history.supersededAt(3));
    CHECK_FALSE(history.record(2, {EventTime::at(start + 1s), 1})); // another node saw it later
    CHECK(history.record(2, {EventTime::at(start - 1s), 1})); // or earlier
    CHECK(history.supersededAt(1) == EventTime::at(start - 1s));
}

TEST_CASE("weights: the age of a publication bounds only what it may have replaced [weights]")
{
    const TimePoint start{1h};
    WeightHistory history;
    history.record(3, {EventTime::at(start), 2});
    CHECK(history.supersededAt(2) == EventTime::at(start));
    CHECK_FALSE(history.supersededAt(1)->earliest); // superseded by version 2, perhaps long before
    // Both were published while nothing was observed.
    history.record(3, {{start - 9s, start}, 1});
    CHECK_FALSE(history.supersededAt(1)->earliest);
    history.record(2, {{start - 2s, start}, 1});
    CHECK(history.supersededAt(1)->earliest == start - 2s);
}

TEST_CASE("prefill pace: only long prompts are measured [routing]")
{
    PrefillPace pace;
    for (int n = 0; n < 200; ++n)
        pace.observe(20'000, 100ms);
    CHECK(pace.timeFor(20'000) < 110ms);
    CHECK(pace.timeFor(20'000) > 90ms);
    for (int n = 0; n < 200; ++n)
        pace.observe(100, 100ms); // mostly fixed overhead
    CHECK(pace.timeFor(20'000) < 110ms);
}
