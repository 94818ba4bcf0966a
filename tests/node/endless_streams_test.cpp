// SPDX-License-Identifier: MIT
// Upstreams that send bytes without end that are of no use to a caller.
#include <doctest/doctest.h>

#include <algorithm>
#include <chrono>
#include <list>
#include <memory>
#include <string>

#include "adapters/system_clock.hpp"
#include "fordwood/manual_clock.hpp"
#include "node/call_handler.hpp"
#include "support/endless_server.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

const std::string kStreamHead = "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\n"
                                "Content-Type: text/event-stream\r\n\r\n";

// The answer that a caller received, with the bytes of a stream.
struct StreamAnswer : CallerAnswer
{
    bool sendChunk(std::string_view bytes) override
    {
        stream += bytes;
        return true;
    }

    std::string stream;
};

// A node with one route of streams to one upstream.
struct EndlessStreamFixture
{
    explicit EndlessStreamFixture(std::string begin, const std::string &part = "",
                                  config::OneProcessSettings nodeSettings = {},
                                  bool isStreaming = true, std::size_t maxAttempts = 1)
        : settings(std::move(nodeSettings)), server(context, std::move(begin), part),
          state(context, clock, settings, metrics)
    {
        // Deadlines are measured on the machine's clock.
        clock.advance(std::max<Duration>(0s, adapters::BootClock::now() - clock.now()) + 1h);
        ServicePool pool;
        pool.name = "board";
        ServiceRoute route;
        route.host = "a.example";
        route.pathPrefix = "/";
        route.targets = {{"board", 1.0}};
        route.streaming = isStreaming;
        route.targetLatency = kTargetLatency;
        route.maxAttempts = maxAttempts;
        ServingConfig config;
        config.services = {pool};
        config.routes = {route};
        state.onLoadReportRequest([] {});
        state.onQuarantineUpdates([] {});
        state.handle(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
        UpstreamRecord record;
        record.instanceId = "i-1";
        record.service = "board";
        record.address = server.address();
        state.handle(UpstreamRecordWritten{record});
    }

    ~EndlessStreamFixture()
    {
        for (const auto &it : calls)
            it->onCallerDisconnect();
    }

    StreamAnswer &begin()
    {
        http::request_header<> head;
        head.method(http::verb::get);
        head.target("/x");
        head.set(http::field::host, "a.example");
        head.set("Request-Id", "r");
        StreamAnswer &answer = answers.emplace_back();
        calls.push_back(std::make_shared<CallHandler>(
            state, answer, std::move(head), HeldBody{"", BufferBudget::Buffer(state.buffers())},
            clock.now()));
        calls.back()->start();
        return answer;
    }

    // Runs the node until the answer has ended, or nothing moves any more, for a few seconds at
    // most.
    void run(const StreamAnswer &answer)
    {
        const auto until = std::chrono::steady_clock::now() + kPatience;
        while (answer.status == 0 && context.run_one_for(100ms) > 0
               && std::chrono::steady_clock::now() < until) { }
    }

    StreamAnswer &call()
    {
        StreamAnswer &answer = begin();
        run(answer);
        return answer;
    }

    // Sends `part` again and again on an answer that has begun, and lets `pause` pass after each.
    void sendSlowly(const StreamAnswer &answer, const std::string &part, int count, Duration pause)
    {
        for (int n = 0; n < count && answer.status == 0; ++n) {
            server.send(part);
            while (context.run_one_for(10ms) > 0) { }
            clock.advance(pause);
        }
    }

    std::size_t held() { return state.buffers().total(); }
    double failureRate() { return state.health().failureRate("i-1"); }

    static constexpr Duration kPatience = 5s;
    static constexpr std::chrono::milliseconds kTargetLatency{1'000};

    net::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    EndlessServer server;
    NodeState state;
    std::list<StreamAnswer> answers;
    std::list<std::shared_ptr<CallHandler>> calls;
};

std::string errorHead(int status, const std::string &field = "")
{
    return "HTTP/1.1 " + std::to_string(status) + " Error\r\nRequest-Id: r\r\n" + field + "\r\n";
}

std::string partOfEvent(std::size_t bytes)
{
    return "data: " + std::string(bytes, 'x');
}

} // namespace

// Guards against memory that no limit covers: each stream may hold an incomplete event of 1 MiB.
TEST_CASE("endless streams: an incomplete event is counted in the budget until it is passed on "
          "[endless]")
{
    EndlessStreamFixture fixture(kStreamHead + partOfEvent(100'000));
    StreamAnswer &answer = fixture.call();
    CHECK(answer.status == 0);
    CHECK(fixture.held() >= 100'000);
    fixture.server.send("\n\n");
    fixture.run(answer);
    CHECK(answer.stream == partOfEvent(100'000) + "\n\n");
    CHECK(fixture.held() == 0);
}

// Guards against streams that fill the memory of a node together.
TEST_CASE("endless streams: without space left, a stream ends whose event is not whole, and one "
          "of small events goes on [endless]")
{
    config::OneProcessSettings settings;
    settings.vm.memoryMegabytes = 1.0; // 250 kB of buffers
    constexpr std::size_t kMoreThanAll = 250'001;
    EndlessStreamFixture large(kStreamHead + partOfEvent(100'000), "", settings);
    BufferBudget::Buffer others(large.state.buffers());
    others.add(kMoreThanAll);
    CHECK(large.call().status == 502);
    CHECK(large.held() == kMoreThanAll);
    CHECK(large.failureRate() > 0.0);

    EndlessStreamFixture small(kStreamHead + partOfEvent(10'000) + "\n\n", "", settings);
    BufferBudget::Buffer othersOfSmall(small.state.buffers());
    othersOfSmall.add(kMoreThanAll);
    const StreamAnswer &answer = small.call();
    CHECK(answer.status == 0);
    CHECK(answer.stream == partOfEvent(10'000) + "\n\n");
}

TEST_CASE("endless streams: a hundred streams with large parts of events hold no more than the "
          "budget and what each may always hold [endless]")
{
    config::OneProcessSettings settings;
    settings.vm.memoryMegabytes = 1.0; // 250 kB of buffers
    constexpr std::size_t kStreams = 100;
    constexpr std::size_t kReadBytes = 8'192; // at once
    EndlessStreamFixture fixture(kStreamHead + partOfEvent(200'000), "", settings);
    for (std::size_t n = 0; n < kStreams; ++n)
        fixture.begin();
    std::size_t most = 0;
    while (fixture.context.run_one_for(100ms) > 0)
        most = std::max(most, fixture.held());
    CHECK(most > 100'000);
    CHECK(most <= 250'000 + kStreams * (BufferBudget::kAlwaysAllowed + kReadBytes));
    std::size_t ended = 0;
    for (const StreamAnswer &it : fixture.answers)
        ended += it.status == 502 ? 1 : 0;
    CHECK(ended >= kStreams - 2); // 250 kB are the space of one such part
}

// Guards against an upstream that sends one event without end and gets all requests nevertheless.
TEST_CASE("endless streams: an event that is too long counts against its upstream [endless]")
{
    EndlessStreamFixture fixture(kStreamHead, "x");
    CHECK(fixture.call().status == 502);
    CHECK(fixture.held() == 0);
    CHECK(fixture.failureRate() > 0.0);
}

// Guards against comments that are passed on until the deadline while their upstream gets the next
// requests.
TEST_CASE("endless streams: a stream of comments without end is ended, and counts against its "
          "upstream [endless]")
{
    EndlessStreamFixture fixture(kStreamHead, ": comment\n\n");
    const StreamAnswer &answer = fixture.call();
    CHECK(answer.status == 1);
    CHECK(answer.stream.size() <= 65'536);
    CHECK(fixture.failureRate() > 0.0);
}

TEST_CASE("endless streams: comments, and events without data, end a stream once they have come "
          "for longer than the target latency [endless]")
{
    for (const std::string part : {": comment\n\n", "retry: 5\n\n"}) {
        CAPTURE(part);
        EndlessStreamFixture fixture(kStreamHead);
        StreamAnswer &answer = fixture.call();
        fixture.sendSlowly(answer, part, 32, 100ms);
        CHECK(answer.status == 0);
        fixture.sendSlowly(answer, part, 1, 100ms);
        CHECK(answer.status != 0);
        CHECK(fixture.failureRate() > 0.0);
    }
}

// Guards against sound streams that are ended: comments keep connections alive.
TEST_CASE("endless streams: a few comments may take longer than the target latency, and many may "
          "come between events [endless]")
{
    EndlessStreamFixture fixture(kStreamHead);
    StreamAnswer &answer = fixture.call();
    for (int n = 0; n < 5; ++n) {
        fixture.sendSlowly(answer, ": comment\n\n", 20, 1s);
        fixture.sendSlowly(answer, "data: x\n\n", 1, 0s);
    }
    fixture.sendSlowly(answer, ": comment\n\n", 500, 1ms);
    CHECK(answer.status == 0);
    CHECK(answer.stream.size() == 600 * 11 + 5 * 9);
    CHECK(fixture.failureRate() == 0.0);
}

// Guards against sound streams that are ended since one of their events comes in many parts.
TEST_CASE("endless streams: an event may come in many parts for longer than the target latency "
          "[endless]")
{
    EndlessStreamFixture fixture(kStreamHead + "data: ");
    StreamAnswer &answer = fixture.call();
    fixture.sendSlowly(answer, "x", 40, 100ms);
    fixture.sendSlowly(answer, "\n\n", 1, 100ms);
    CHECK(answer.status == 0);
    CHECK(answer.stream == "data: " + std::string(40, 'x') + "\n\n");
    CHECK(fixture.failureRate() == 0.0);
}

// Guards against bodies of errors that are passed on until the deadline.
TEST_CASE("endless streams: an error answer whose body has no end is ended, and counts against "
          "its upstream [endless]")
{
    constexpr std::size_t kMaxErrorBody = 1 << 20;
    for (const bool isStreaming : {false, true}) {
        for (const int status : {302, 404, 500}) {
            CAPTURE(isStreaming);
            CAPTURE(status);
            EndlessStreamFixture fixture(errorHead(status), "x", {}, isStreaming);
            const StreamAnswer &answer = fixture.call();
            CHECK(answer.status == 1);
            CHECK(answer.stream.size() <= kMaxErrorBody);
            CHECK(fixture.held() == 0);
            CHECK(fixture.failureRate() > 0.0);
        }
    }
}

TEST_CASE(
    "endless streams: a body of a rejection that comes in small parts is waited for no longer "
    "than the target latency [endless]")
{
    EndlessStreamFixture fixture(errorHead(503, "Not-Executed: 1\r\n"));
    StreamAnswer &answer = fixture.call();
    fixture.sendSlowly(answer, "x", 32, 100ms);
    CHECK(answer.status == 0);
    fixture.sendSlowly(answer, "x", 1, 100ms);
    CHECK(answer.status == 503);
    CHECK(fixture.failureRate() == 0.0);
}

// Guards against pages of errors whose status is replaced since they come in many parts.
TEST_CASE("endless streams: the body of an error may come in many parts for longer than the target "
          "latency [endless]")
{
    EndlessStreamFixture fixture(errorHead(404, "Content-Length: 40\r\n"));
    StreamAnswer &answer = fixture.call();
    fixture.sendSlowly(answer, "x", 40, 100ms);
    CHECK(answer.status == 404);
    CHECK(fixture.failureRate() == 0.0);
}

// Guards against errors whose bodies come slowly and without end, and hold their requests until the
// deadline.
TEST_CASE("endless streams: an error without a length is waited for no longer than the target "
          "latency, and counts against its upstream [endless]")
{
    EndlessStreamFixture fixture(errorHead(500));
    StreamAnswer &answer = fixture.call();
    fixture.sendSlowly(answer, "x", 32, 100ms);
    CHECK(answer.status == 0);
    fixture.sendSlowly(answer, "x", 1, 100ms);
    CHECK(answer.status == 502);
    CHECK(fixture.held() == 0);
    CHECK(fixture.failureRate() > 0.0);
}

// Guards against requests that reach another upstream long after their caller has left.
TEST_CASE("ended input: a request whose caller has ended its input is not sent again "
          "[callers]")
{
    EndlessStreamFixture fixture(errorHead(503, "Not-Executed: 1\r\nContent-Length: 1\r\n"), "", {},
                                 false, 2);
    StreamAnswer &answer = fixture.call();
    CHECK(answer.status == 0);
    fixture.calls.back()->onInputEnded(false, false);
    CHECK(answer.status == 0);
    fixture.sendSlowly(answer, "x", 1, 0ms);
    CHECK(answer.status == 503);
    CHECK(answer.body.find("input-ended") != std::string::npos);
}

// Guards against long pages of errors that are cut.
TEST_CASE("endless streams: an error answer of many bytes is passed on whole [endless]")
{
    constexpr std::size_t kBytes = 1'000'000;
    EndlessStreamFixture fixture(errorHead(404, "Content-Length: 1000000\r\n")
                                 + std::string(kBytes, 'x'));
    const StreamAnswer &answer = fixture.call();
    CHECK(answer.status == 200); // of endStream()
    CHECK(answer.stream.size() == kBytes);
    CHECK(fixture.failureRate() == 0.0);
}
