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

// The answer that a caller received.
struct CallerAnswer : AnswerWriter
{
    void setTeam(const std::string & /*team*/) override { }
    void sendAnswer(http::response_header<> answer, std::string text) override
    {
        status = answer.result_int();
        head = std::move(answer);
        body = std::move(text);
    }
    void beginStream(http::response_header<> /*answer*/, StreamEnd /*end*/) override { }
    bool sendChunk(std::string_view /*bytes*/) override { return true; }
    void endStream() override { status = 200; }
    void abort() override { status = 1; }

    // The Retry-After field in seconds; negative without one.
    double retryAfter() const
    {
        const auto it = head.find("Retry-After");
        return it == head.end() ? -1.0 : std::stod(std::string(it->value()));
    }

    unsigned status = 0; // zero until the answer ends; 1 after abort()
    http::response_header<> head;
    std::string body;
};

// The serving thread of a node, with the upstreams of one service and a manual clock.
class ServingThread
{
public:
    // Completes the only route with the fields that all tests share.
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

    // Sends a request and waits for its answer; `fields` are added to its head.
    CallerAnswer send(const http::fields &fields = {})
    {
        http::request_header<> head;
        head.method(http::verb::post);
        head.target("/a");
        head.set(http::field::host, "a.example");
        head.set("Request-Id", "r" + std::to_string(++m_requests));
        // Deadlines use the real clock, not the manual one.
        head.set("Request-Deadline",
                 std::to_string(std::chrono::milliseconds(std::chrono::hours(24 * 365)).count()));
        for (const auto &it : fields)
            head.set(it.name_string(), it.value());
        CallerAnswer answer;
        const auto run = std::make_shared<CallHandler>(
            m_traffic, answer, std::move(head),
            HeldBody{"", BufferBudget::Buffer(m_traffic.buffers())}, m_clock.now());
        run->start();
        // In real time. Only a defect makes the answer take this long.
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
