// SPDX-License-Identifier: MIT
#include <set>
#include <string>

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "node/node_state.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A scheduler of twelve engines, and a node that sends one request after the other.
class SchedulerFixture
{
public:
    SchedulerFixture()
    {
        ServicePool pool;
        pool.name = "s";
        pool.engine = EngineTraits{16, 45'000, {"m"}, 0};
        ServingConfig config;
        config.version = 1;
        config.services = {pool};
        m_state.onLoadReportRequest([] {});
        m_state.handle(ConfigApplied{std::make_shared<RouteTable>(std::move(config))});
        for (int n = 0; n < 12; ++n) {
            UpstreamRecord record;
            record.instanceId = "e" + std::to_string(n);
            record.announcedId = record.instanceId;
            record.service = "s";
            record.address = "127.0.0.1:1";
            record.weightVersions["m"] = 1;
            m_state.handle(UpstreamRecordWritten{record});
        }
    }

    // Returns the engine that was chosen.
    std::string place(bool isShort, const std::string &context)
    {
        PlacementRequest request;
        request.id = {1, ++m_number};
        request.service = "s";
        request.prompt = {"m",
                          {{context, isShort ? 650U : 7'500U}, {"own", isShort ? 150U : 1'500U}},
                          isShort ? 800U : 9'000U,
                          40};
        request.remaining = 10s;
        const PlacementReply reply = m_scheduler.place(request);
        CHECK(reply.outcome == PlacementOutcome::Placed);
        return reply.instanceId;
    }

    void reportComputed() { m_scheduler.apply({1, {}, {m_number}, {}, {}}); }
    void reportEnd() { m_scheduler.apply({1, {}, {}, {m_number}, {m_number}}); }

    void advance(Duration by)
    {
        m_clock.advance(by);
        m_scheduler.tick();
    }

    // Sends long prompts with contexts that no engine has. Returns how many went to the engine.
    int countPlacedAt(const std::string &engine)
    {
        int placed = 0;
        for (int n = 0; n < 60; ++n) {
            placed += place(false, "other" + std::to_string(m_number)) == engine ? 1 : 0;
            reportEnd();
        }
        return placed;
    }

    // Keeps the ledger in use until it is complete.
    void completeLedger()
    {
        for (int n = 0; n < 5; ++n) {
            place(false, "first");
            reportEnd();
            advance(500ms);
        }
    }

    std::string metrics() const { return m_metrics.text(); }

private:
    net::io_context m_context;
    ManualClock m_clock;
    config::OneProcessSettings m_settings;
    adapters::Metrics m_metrics;
    NodeState m_state{m_context, m_clock, m_settings, m_metrics};
    EngineScheduler m_scheduler{m_state, m_clock};
    std::uint64_t m_number = 0;
};

} // namespace

// Guards against a scheduler that does not tell its planner of the prompts, or uses other engines.
TEST_CASE("engine scheduler: with both kinds of prompt, short ones have engines of their own "
          "[routing]")
{
    SchedulerFixture fixture;
    fixture.place(false, "b");
    fixture.reportEnd();
    for (int n = 0; n < 5; ++n) {
        fixture.place(true, "a");
        fixture.reportEnd(); // the answer has paused
    }
    std::set<std::string> engines;
    for (int n = 0; n < 40; ++n) {
        engines.insert(fixture.place(true, "s" + std::to_string(n)));
        fixture.reportEnd();
    }
    CHECK(engines.size() <= 3); // a quarter of twelve
    for (int n = 0; n < 40; ++n) {
        CHECK_FALSE(engines.contains(fixture.place(false, "l" + std::to_string(n))));
        fixture.reportEnd();
    }
    fixture.advance(100ms);
    CHECK(fixture.metrics().find("fordwood_short_prompt_engines{service=\"s\"} 3")
          != std::string::npos);
    fixture.advance(21s);
    CHECK(fixture.metrics().find("fordwood_short_prompt_engines{service=\"s\"} 0")
          != std::string::npos);
}

// Guards against prompts that are placed at an engine because it is idle, although it is slow.
TEST_CASE("engine scheduler: an idle engine whose last first token was late is avoided for a while "
          "[routing]")
{
    SchedulerFixture fixture;
    fixture.completeLedger();
    const std::string slow = fixture.place(false, "slow");
    fixture.reportComputed();
    fixture.reportEnd();
    CHECK(fixture.countPlacedAt(slow) > 0); // it was on time
    fixture.place(false, "slow");
    fixture.advance(900ms);
    fixture.reportComputed();
    fixture.reportEnd();
    CHECK(fixture.countPlacedAt(slow) == 0);
    fixture.advance(600ms);
    CHECK(fixture.countPlacedAt(slow) > 0);
}
