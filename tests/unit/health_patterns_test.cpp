// SPDX-License-Identifier: MIT
// Load patterns: one of four plain upstreams fails part of its requests, alternates between down
// and up, or hangs. Its health checks may report anything, so nodes judge it by the results of
// their own requests.
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

// One node with four upstreams of six slots, and forty requests per second of 50 ms each; or with
// more upstreams at another request rate.
class Service
{
public:
    enum class Outcome { Answered, Failure, Refused, Silence };
    using Behaviour = std::function<Outcome(TimePoint)>; // behaviour of the first upstream

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
        int failed = 0; // failed requests to the first upstream
    };

    Counts run(Duration time)
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
            startRequest(chosen->instanceId, outcome);
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

    void startRequest(const std::string &id, Outcome outcome)
    {
        if (outcome == Outcome::Refused) { // connection refused
            m_health.failed(id);
            return;
        }
        m_loads.begin(id, {});
        m_health.sent(id);
        // A caller gives up on a silent upstream after a second.
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
                m_health.dataReceived(it.upstream);
                m_health.succeeded(it.upstream);
            } else if (it.outcome == Outcome::Failure) {
                m_health.dataReceived(it.upstream);
                m_health.answeredWithError(it.upstream);
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

double shareOf(int n, int all)
{
    return static_cast<double>(n) / static_cast<double>(all);
}

} // namespace

TEST_CASE("health patterns: a partly failing upstream gets few requests until it recovers [health]")
{
    std::mt19937 random(5); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
    bool isFailing = true;
    Service service([&](TimePoint) {
        return isFailing && random() % 10 < 4 ? Service::Outcome::Failure
                                              : Service::Outcome::Answered;
    });
    service.run(2s);
    const auto failing = service.run(30s);
    CHECK(shareOf(failing.failed, failing.requests) <= 0.02); // 0.1 at an equal share
    isFailing = false;
    service.run(10s);
    const auto recovered = service.run(30s);
    CHECK(shareOf(recovered.toFirst, recovered.requests) >= 0.15);
}

TEST_CASE("health patterns: an alternating upstream costs few attempts per outage and is used "
          "while up [health]")
{
    Service service([](TimePoint now) {
        const auto turn = now.time_since_epoch() / 5s;
        return turn % 2 == 0 ? Service::Outcome::Refused : Service::Outcome::Answered;
    });
    const auto counts = service.run(60s); // down six times for five seconds
    CHECK(counts.failed <= 6 * 5); // 300 if failures are ignored
    CHECK(counts.toFirst - counts.failed >= 100); // of about 300 at an equal share
}

TEST_CASE("health patterns: a partly failing upstream gets few requests even if each node rarely "
          "uses it [health]")
{
    std::mt19937 random(5); // NOLINT(cert-msc32-c,cert-msc51-cpp): the same each time
    constexpr std::size_t kUpstreams = 112;
    Service service(
        [&](TimePoint) {
            return random() % 10 < 4 ? Service::Outcome::Failure : Service::Outcome::Answered;
        },
        kUpstreams, 64ms);
    service.run(10min);
    const auto counts = service.run(1h);
    CHECK(shareOf(counts.toFirst, counts.requests) <= 0.3 / kUpstreams);
}

TEST_CASE(
    "health patterns: an upstream that hangs is avoided once its answers are overdue [health]")
{
    Service service([](TimePoint) { return Service::Outcome::Silence; });
    service.run(2s);
    const auto counts = service.run(30s);
    CHECK(shareOf(counts.failed, counts.requests) <= 0.05); // 0.25 at an equal share
}
