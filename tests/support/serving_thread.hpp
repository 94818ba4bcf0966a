// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_SERVING_THREAD_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_SERVING_THREAD_HPP_INCLUDED

#include <chrono>
#include <memory>
#include <string>
#include <utility>

#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "node/call_handler.hpp"

namespace fordwood::node {

// A loopback address that no other run of the tests uses at the same time.
inline std::string ownAddress(int host)
{
    return "127.7." + std::to_string(getpid() % 250 + 1) + "." + std::to_string(host) + ":8080";
}

// What a caller was answered.
struct CallerAnswer : AnswerWriter
{
    void sendAnswer(http::response_header<> answer, std::string text) override
    {
        status = answer.result_int();
        head = std::move(answer);
        body = std::move(text);
    }
    void beginStream(http::response_header<> /*answer*/) override { }
    bool sendChunk(std::string_view /*bytes*/) override { return true; }
    void endStream() override { status = 200; }
    void abort() override { status = 1; }

    // Seconds; below zero: none.
    double retryAfter() const
    {
        const auto it = head.find("Retry-After");
        return it == head.end() ? -1.0 : std::stod(std::string(it->value()));
    }

    unsigned status = 0; // zero: not over
    http::response_header<> head;
    std::string body;
};

// The thread of a node that serves requests, before upstreams of one service, over a paused clock.
class ServingThread
{
public:
    // Fills in what a test leaves open of the only route.
    explicit ServingThread(ServicePool pool, ServiceRoute route = {})
        : m_traffic(m_context, m_clock, m_settings, m_metrics)
    {
        route.name = "r";
        route.host = "a.example";
        route.pathPrefix = "/";
        route.targets = {{pool.name, 1.0}};
        route.repeatable = true;
        route.maxAttempts = 2;
        ServingConfig config;
        config.version = 1;
        config.routes = {route};
        config.services = {std::move(pool)};
        m_traffic.onLoadReportRequest([] {});
        m_traffic.onQuarantineUpdates([] {});
        m_traffic.handle(ConfigApplied{std::make_shared<RouteTable>(std::move(config))});
    }

    void write(const UpstreamRecord &record) { m_traffic.handle(UpstreamRecordWritten{record}); }

    void advance(Duration by)
    {
        m_clock.advance(by);
        m_traffic.tick();
    }

    // A request, until its answer; `fields` are added to its head.
    CallerAnswer send(const http::fields &fields = {})
    {
        http::request_header<> head;
        head.method(http::verb::post);
        head.target("/a");
        head.set(http::field::host, "a.example");
        head.set("Request-Id", "r" + std::to_string(++m_requests));
        // Deadlines go by the machine's clock.
        head.set("Request-Deadline",
                 std::to_string(std::chrono::milliseconds(std::chrono::hours(24 * 365)).count()));
        for (const auto &it : fields)
            head.set(it.name_string(), it.value());
        CallerAnswer answer;
        const auto run
            = std::make_shared<CallHandler>(m_traffic, answer, std::move(head), "", m_clock.now());
        run->start();
        // By the wall's clock: only a fault makes it take this long.
        const auto until = std::chrono::steady_clock::now() + std::chrono::seconds(20);
        while (answer.status == 0 && std::chrono::steady_clock::now() < until)
            m_context.run_one_for(std::chrono::milliseconds(10));
        return answer;
    }

    NodeState &traffic() { return m_traffic; }

private:
    net::io_context m_context;
    ManualClock m_clock;
    config::OneProcessSettings m_settings;
    adapters::Metrics m_metrics;
    NodeState m_traffic;
    int m_requests = 0;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_SERVING_THREAD_HPP_INCLUDED
