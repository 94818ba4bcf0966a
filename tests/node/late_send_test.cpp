// SPDX-License-Identifier: MIT
// Guards against a request that starts on weights that were replaced too long ago. The engine is
// chosen in time, but the process is suspended while the channel connects, and the weights are not
// checked again before the request is sent. This started a request 11 s after newer weights were
// announced, with a limit of 10 s.
#include <doctest/doctest.h>

#include <algorithm>
#include <memory>

#include <boost/asio/ip/tcp.hpp>

#include "adapters/system_clock.hpp"
#include "fordwood/manual_clock.hpp"
#include "node/call_handler.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// Records only the status of a complete answer.
class RecordingWriter : public AnswerWriter
{
public:
    void setTeam(const std::string & /*team*/) override { }
    void sendAnswer(http::response_header<> head, std::string) override
    {
        m_status = head.result_int();
    }
    void beginStream(http::response_header<>, StreamEnd) override { }
    bool sendChunk(std::string_view) override { return true; }
    void endStream() override { }
    void abort() override { }

    unsigned status() const { return m_status; }

private:
    unsigned m_status = 0; // none yet
};

// Accepts connections and never answers.
class SilentEngine
{
public:
    explicit SilentEngine(net::io_context &context)
        : m_acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0))
    {
        m_acceptor.non_blocking(true);
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    // Whether a part of a request has arrived.
    bool hasRequest()
    {
        ErrorCode ec;
        tcp::socket socket(m_acceptor.get_executor());
        while (!m_acceptor.accept(socket, ec)) {
            m_callers.push_back(std::move(socket));
            socket = tcp::socket(m_acceptor.get_executor());
        }
        return std::any_of(m_callers.begin(), m_callers.end(),
                           [](const tcp::socket &it) { return it.available() > 0; });
    }

    // Closes all connections without an answer.
    void disconnect() { m_callers.clear(); }

private:
    tcp::acceptor m_acceptor;
    std::vector<tcp::socket> m_callers;
};

// The state of a node that serves one service with one engine, whose weights are replaced at the
// start.
struct ServingFixture
{
    ServingFixture()
        : state(context, clock, makeSettings(), metrics), older(context), newer(context)
    {
        // Deadlines are measured on the machine's clock.
        clock.advance(std::max<Duration>(0s, adapters::BootClock::now() - clock.now()) + 1h);
        ServingConfig config;
        ServicePool pool;
        pool.name = "service";
        pool.engine.emplace();
        pool.engine->slots = 16;
        pool.engine->contextTokens = 100'000;
        config.services.push_back(pool);
        ServiceRoute route;
        route.name = "route";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.targets.push_back({"service", 1.0});
        route.streaming = true;
        route.resumable = true;
        route.maxAttempts = 2;
        config.routes.push_back(route);
        state.handle(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
        add("older", older, 1);
        state.handle(WeightVersionNamed{"m", 1, {EventTime::at(clock.now() - 1h), 0}});
        state.handle(WeightVersionNamed{"m", 2, {EventTime::at(clock.now()), 1}});
    }

    static config::OneProcessSettings makeSettings()
    {
        config::OneProcessSettings settings;
        settings.bounds.weightsWithin = 10s;
        return settings;
    }

    void add(const std::string &id, const SilentEngine &engine, std::uint64_t weights)
    {
        UpstreamRecord record;
        record.instanceId = id;
        record.service = "service";
        record.address = engine.address();
        record.weightVersions["m"] = weights;
        state.handle(UpstreamRecordWritten{record});
    }

    // Starts a request. The engine is chosen at once, but its channel is connected only when the
    // context runs again.
    void startCall()
    {
        http::request_header<> head;
        head.method(http::verb::post);
        head.target("/x");
        head.set(http::field::host, "a.example");
        head.set("Request-Id", "r");
        head.set("Model", "m");
        head.set("Token-Usage", "380,10");
        head.set("Prompt-Prefix", "a1:300,b2:80");
        call = std::make_shared<CallHandler>(state, caller, std::move(head),
                                             HeldBody{"", BufferBudget::Buffer(state.buffers())},
                                             clock.now());
        call->start();
    }

    // Runs until an engine has received the request or the caller an answer.
    void runUntilServed() { runUntilServed(newer); }
    void runUntilServed(SilentEngine &alternative)
    {
        // A real-time limit, which is reached only if the test fails.
        const auto until = std::chrono::steady_clock::now() + 5s;
        while (!older.hasRequest() && !alternative.hasRequest() && caller.status() == 0
               && std::chrono::steady_clock::now() < until)
            context.run_one_for(5ms);
    }

    ~ServingFixture() { call->onCallerDisconnect(); }

    net::io_context context;
    ManualClock clock;
    adapters::Metrics metrics;
    NodeState state;
    SilentEngine older;
    SilentEngine newer;
    RecordingWriter caller;
    std::shared_ptr<CallHandler> call;
};

} // namespace

TEST_CASE("late send: weights are checked again once the channel is connected [weights]")
{
    ServingFixture fixture;
    fixture.clock.advance(8s);
    fixture.startCall();
    fixture.add("newer", fixture.newer, 2);
    fixture.clock.advance(3s);
    fixture.runUntilServed();
    CHECK_FALSE(fixture.older.hasRequest());
    CHECK(fixture.newer.hasRequest());
}

// The opposite case: engines with replaced weights are used as long as that is allowed.
TEST_CASE("late send: a channel that connects slightly late is used [weights]")
{
    ServingFixture fixture;
    fixture.clock.advance(8s);
    fixture.startCall();
    fixture.add("newer", fixture.newer, 2);
    fixture.clock.advance(500ms);
    fixture.runUntilServed();
    CHECK(fixture.older.hasRequest());
}

TEST_CASE("late send: nothing is sent if the weights of the only engine have become too old "
          "[weights]")
{
    ServingFixture fixture;
    fixture.clock.advance(8s);
    fixture.startCall();
    fixture.clock.advance(3s);
    fixture.runUntilServed();
    CHECK_FALSE(fixture.older.hasRequest());
    CHECK(fixture.caller.status() == 503);
}

TEST_CASE("late send: a broken stream is resumed on replaced weights only within the limit "
          "[weights]")
{
    for (const Duration connectDelay : {Duration(500ms), Duration(3s)}) {
        ServingFixture fixture;
        fixture.clock.advance(8s);
        fixture.startCall();
        fixture.runUntilServed();
        REQUIRE(fixture.older.hasRequest());
        SilentEngine next(fixture.context);
        fixture.add("next", next, 1);
        fixture.clock.advance(connectDelay);
        fixture.older.disconnect();
        fixture.runUntilServed(next);
        CHECK(next.hasRequest() == (connectDelay < 2s));
        CHECK((fixture.caller.status() == 0) == (connectDelay < 2s));
    }
}
