// SPDX-License-Identifier: MIT
// The load patterns: one of four plain upstreams is grey, goes down and up by turns, or hangs,
// while its health answers may say anything: nodes judge by what their own requests show.
#include <doctest/doctest.h>

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"
#include "fordwood/service_chooser.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

// One node before four upstreams of six slots, forty requests a second of 50 ms each; or of a fleet
// with more of both.
class Service
{
public:
    enum class Outcome { Answered, Failure, Refused, Silence };
    using Behaviour = std::function<Outcome(TimePoint)>; // of the first upstream

    explicit Service(Behaviour behaviour, std::size_t upstreams = 4, Duration pause = 25ms)
        : m_pause(pause), m_behaviour(std::move(behaviour))
    {
        for (std::size_t n = 0; n < upstreams; ++n) {
            UpstreamRecord record;
            record.instanceId = "u" + std::to_string(n);
            record.failureDomain = "x";
            record.slots = 6;
            m_records.push_back(record);
        }
        for (const UpstreamRecord &it : m_records)
            m_all.push_back(&it);
    }

    struct Counts
    {
        int requests = 0;
        int toFirst = 0;
        int failed = 0; // of these
    };

    Counts play(Duration time)
    {
        Counts counts;
        for (Duration passed{}; passed < time; passed += m_pause) {
            m_clock.advance(m_pause);
            endRuns();
            counts.requests += 1;
            const UpstreamRecord *chosen = chooseUpstream(
                m_all, {}, "x", stableHash(std::to_string(m_sent++)), m_loads, m_health);
            REQUIRE(chosen != nullptr);
            const bool isFirst = chosen == m_all.front();
            counts.toFirst += isFirst ? 1 : 0;
            const Outcome outcome = isFirst ? m_behaviour(m_clock.now()) : Outcome::Answered;
            counts.failed += outcome == Outcome::Answered ? 0 : 1;
            run(chosen->instanceId, outcome);
        }
        return counts;
    }

    TimePoint now() const { return m_clock.now(); }

private:
    struct Run
    {
        TimePoint until{};
        std::string upstream;
        Outcome outcome = Outcome::Answered;
    };

    void run(const std::string &id, Outcome outcome)
    {
        if (outcome == Outcome::Refused) { // nothing listens there
            m_health.failed(id);
            return;
        }
        m_loads.begin(id, {});
        m_health.sent(id);
        // A caller gives a silent one up after a second.
        const Duration takes = outcome == Outcome::Silence ? 1s : 50ms;
        m_runs.push_back({m_clock.now() + takes, id, outcome});
    }

    void endRuns()
    {
        std::erase_if(m_runs, [this](const Run &it) {
            if (m_clock.now() < it.until)
                return false;
            m_loads.end(it.upstream, {}, true);
            m_health.ended(it.upstream);
            if (it.outcome == Outcome::Answered) {
                m_health.heard(it.upstream);
                m_health.succeeded(it.upstream);
            } else if (it.outcome == Outcome::Failure) {
                m_health.heard(it.upstream);
                m_health.answeredFailure(it.upstream);
            }
            return true;
        });
    }

    const Duration m_pause;
    ManualClock m_clock;
    UpstreamLoadTracker m_loads{m_clock};
    UpstreamHealth m_health{m_clock};
    Behaviour m_behaviour;
    std::vector<UpstreamRecord> m_records;
    std::vector<const UpstreamRecord *> m_all;
    std::deque<Run> m_runs;
    std::size_t m_sent = 0;
};

double partOf(int n, int all)
{
    return static_cast<double>(n) / static_cast<double>(all);
}

} // namespace

TEST_CASE("health patterns: a grey upstream gets few requests, and its part again once it is well "
          "[health]")
{
    std::mt19937 random(5); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
    bool isGrey = true;
    Service service([&](TimePoint) {
        return isGrey && random() % 10 < 4 ? Service::Outcome::Failure : Service::Outcome::Answered;
    });
    service.play(2s);
    const auto grey = service.play(30s);
    CHECK(partOf(grey.failed, grey.requests) <= 0.02); // 0.1 where it gets its equal part
    isGrey = false;
    service.play(10s);
    const auto well = service.play(30s);
    CHECK(partOf(well.toFirst, well.requests) >= 0.15);
}

TEST_CASE(
    "health patterns: an upstream that goes down and up by turns costs a few attempts each time "
    "it goes, and is used while it is up [health]")
{
    Service service([](TimePoint now) {
        const auto turn = now.time_since_epoch() / 5s;
        return turn % 2 == 0 ? Service::Outcome::Refused : Service::Outcome::Answered;
    });
    const auto counts = service.play(60s); // six times down, for five seconds each
    CHECK(counts.failed <= 6 * 5); // 300 where nothing is learnt from a failure
    CHECK(counts.toFirst - counts.failed >= 100); // of some 300 at its equal part
}

TEST_CASE("health patterns: a grey upstream gets few requests also where each node has one for it "
          "only now and then [health]")
{
    std::mt19937 random(5); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
    constexpr std::size_t kUpstreams = 112;
    Service service(
        [&](TimePoint) {
            return random() % 10 < 4 ? Service::Outcome::Failure : Service::Outcome::Answered;
        },
        kUpstreams, 64ms);
    service.play(10min);
    const auto counts = service.play(1h);
    CHECK(partOf(counts.toFirst, counts.requests) <= 0.3 / kUpstreams);
}

TEST_CASE("health patterns: an upstream that hangs is avoided as soon as it owes answers for long "
          "[health]")
{
    Service service([](TimePoint) { return Service::Outcome::Silence; });
    service.play(2s);
    const auto counts = service.play(30s);
    CHECK(partOf(counts.failed, counts.requests) <= 0.05); // 0.25 at its equal part
}
