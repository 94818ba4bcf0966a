// SPDX-License-Identifier: MIT
// Callers that stop reading their answers, and answers that are too large to hold.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <memory>

#include <boost/asio/write.hpp>

#include "adapters/system_clock.hpp"
#include "fordwood/manual_clock.hpp"
#include "node/caller_session.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// More than the kernel holds for the two connections of a request.
constexpr std::size_t kLargeAnswer = 64'000'000;

// Answers one request with a head and `bytes` of body, as fast as the node reads.
class BulkUpstream
{
public:
    BulkUpstream(net::io_context &context, std::string head, std::size_t bytes)
        : m_acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0)),
          m_socket(context), m_head(std::move(head)), m_left(bytes), m_part(100'000, 'x')
    {
        m_acceptor.async_accept(m_socket, [this](const ErrorCode &ec) {
            if (!ec)
                m_socket.async_read_some(net::buffer(m_request),
                                         [this](const ErrorCode &readEc, std::size_t) {
                                             if (!readEc)
                                                 sendHead();
                                         });
        });
    }

    std::string address() const
    {
        return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port());
    }

    // Bytes of the body that are not written to the connection yet.
    std::size_t left() const { return m_left; }

    // Closes the connection in the middle of the body.
    void cut() { m_socket.close(); }

private:
    void sendHead()
    {
        net::async_write(m_socket, net::buffer(m_head), [this](const ErrorCode &ec, std::size_t) {
            if (!ec)
                sendBody();
        });
    }

    void sendBody()
    {
        const std::size_t n = std::min(m_left, m_part.size());
        if (n == 0)
            return;
        m_socket.async_write_some(net::buffer(m_part.data(), n),
                                  [this](const ErrorCode &ec, std::size_t written) {
                                      m_left -= written;
                                      if (!ec)
                                          sendBody();
                                  });
    }

    tcp::acceptor m_acceptor;
    tcp::socket m_socket;
    std::array<char, 4'096> m_request{};
    std::string m_head;
    std::size_t m_left;
    std::string m_part;
};

std::string plainHead(std::size_t bytes)
{
    return "HTTP/1.1 200 OK\r\nRequest-Id: r\r\nResponse-Seal: s\r\nContent-Length: "
           + std::to_string(bytes) + "\r\n\r\n";
}

// A node with one route to one upstream, and a caller's connection.
struct SlowReaderFixture
{
    explicit SlowReaderFixture(const std::string &upstreamHead = plainHead(kLargeAnswer),
                               config::OneProcessSettings nodeSettings = {})
        : settings(std::move(nodeSettings)), upstream(context, upstreamHead, kLargeAnswer),
          state(context, clock, settings, metrics), caller(context)
    {
        // Deadlines are measured on the machine's clock.
        clock.advance(std::max<Duration>(0s, adapters::BootClock::now() - clock.now()) + 1h);
        ServicePool pool;
        pool.name = "board";
        ServiceRoute route;
        route.host = "a.example";
        route.pathPrefix = "/";
        route.targets = {{"board", 1.0}};
        route.repeatable = true;
        route.maxAttempts = 2;
        ServingConfig config;
        config.services = {pool};
        config.routes = {route};
        state.onLoadReportRequest([] {});
        state.handle(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
        UpstreamRecord record;
        record.instanceId = "i-1";
        record.service = "board";
        record.address = upstream.address();
        state.handle(UpstreamRecordWritten{record});

        tcp::acceptor acceptor(context, tcp::endpoint(net::ip::make_address("127.0.0.1"), 0));
        caller.connect(acceptor.local_endpoint());
        session = std::make_shared<CallerSession>(state, acceptor.accept(),
                                                  [this](CallerSession *) { isClosed = true; });
        session->start();
    }

    void send(const std::string &head, const std::string &body = "")
    {
        const std::string text
            = head + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: r\r\n"
              + (body.empty() ? "" : "Content-Length: " + std::to_string(body.size()) + "\r\n")
              + "\r\n" + body;
        ErrorCode ec; // the node may reject the request before it has read all of it
        net::write(caller, net::buffer(text), ec);
    }

    // Runs the node until nothing moves any more.
    void runUntilIdle()
    {
        while (context.run_one_for(100ms) > 0) { }
    }

    // Reads what arrives until the connection ends, nothing moves any more, or `most` bytes are
    // read.
    std::string read(std::size_t most = SIZE_MAX)
    {
        std::string received;
        std::array<char, 65'536> part{};
        caller.non_blocking(true);
        ErrorCode ec;
        do {
            const std::size_t n = caller.read_some(net::buffer(part), ec);
            received.append(part.data(), n);
            if (ec == net::error::would_block && context.run_one_for(100ms) > 0)
                ec = {};
        } while (!ec && received.size() < most);
        return received;
    }

    std::size_t held() { return state.buffers().total(); }

    net::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    BulkUpstream upstream;
    NodeState state;
    tcp::socket caller;
    std::shared_ptr<CallerSession> session;
    bool isClosed = false;
};

} // namespace

TEST_CASE("slow reader: a large answer is held up to the channel's limit, and reaches the caller "
          "whole once it reads [slow-reader]")
{
    SlowReaderFixture fixture;
    fixture.send("GET /x");
    fixture.runUntilIdle();
    CHECK(fixture.upstream.left() > 0);
    CHECK(fixture.held() >= fixture.settings.callers.channelBuffer);
    CHECK(fixture.held() <= 2 * fixture.settings.callers.channelBuffer);
    const std::string answer = fixture.read();
    CHECK(fixture.upstream.left() == 0);
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK(static_cast<std::size_t>(std::count(answer.begin(), answer.end(), 'x')) >= kLargeAnswer);
    CHECK(answer.ends_with("\r\n0\r\n\r\n"));
    CHECK(fixture.held() == 0);
    CHECK_FALSE(fixture.isClosed);
}

TEST_CASE("slow reader: an answer that breaks off after a part was forwarded does not appear "
          "complete [slow-reader]")
{
    SlowReaderFixture fixture;
    fixture.send("GET /x");
    fixture.runUntilIdle();
    fixture.upstream.cut();
    const std::string answer = fixture.read();
    CHECK(answer.starts_with("HTTP/1.1 200"));
    CHECK_FALSE(answer.ends_with("0\r\n\r\n"));
    fixture.runUntilIdle();
    CHECK(fixture.isClosed);
    CHECK(fixture.held() == 0);
}

TEST_CASE("slow reader: a caller that reads nothing loses its connection after the unread timeout "
          "[slow-reader]")
{
    SlowReaderFixture fixture;
    fixture.send("GET /x");
    fixture.runUntilIdle();
    fixture.clock.advance(fixture.settings.callers.unreadTimeout - 1ms);
    fixture.session->closeIfUnread();
    CHECK_FALSE(fixture.isClosed);
    fixture.clock.advance(1ms);
    fixture.session->closeIfUnread();
    fixture.runUntilIdle();
    CHECK(fixture.isClosed);
    CHECK(fixture.held() == 0);
    CHECK(fixture.metrics.text().find("fordwood_unread_answers_total 1") != std::string::npos);
}

TEST_CASE("slow reader: a caller that keeps reading slowly keeps its connection [slow-reader]")
{
    SlowReaderFixture fixture;
    fixture.send("GET /x");
    for (int n = 0; n < 3; ++n) {
        fixture.runUntilIdle();
        fixture.clock.advance(fixture.settings.callers.unreadTimeout - 1ms);
        fixture.session->closeIfUnread();
        CHECK(fixture.read(8'000'000).size() >= 8'000'000);
        fixture.runUntilIdle();
    }
    CHECK_FALSE(fixture.isClosed);
}

TEST_CASE(
    "slow reader: with no space left, a large request is rejected as not run, and a small one "
    "is served [slow-reader]")
{
    config::OneProcessSettings settings;
    settings.vm.memoryMegabytes = 1.0; // 250 kB of buffers
    SlowReaderFixture fixture(plainHead(kLargeAnswer), settings);
    BufferBudget::Buffer others(fixture.state.buffers());
    others.add(250'001);
    fixture.send("POST /x", std::string(20'000, 'b'));
    const std::string answer = fixture.read();
    CHECK(answer.starts_with("HTTP/1.1 503"));
    CHECK(answer.find("Retry-After: 1.000") != std::string::npos);
    CHECK(fixture.upstream.left() == kLargeAnswer);
    CHECK(fixture.metrics.text().find("reason=\"buffers-full\"} 1") != std::string::npos);

    SlowReaderFixture small(plainHead(kLargeAnswer), settings);
    BufferBudget::Buffer othersOfSmall(small.state.buffers());
    othersOfSmall.add(250'001);
    small.send("POST /x", std::string(10'000, 'b'));
    small.runUntilIdle();
    CHECK(small.upstream.left() < kLargeAnswer);
    CHECK(small.held() <= 250'001 + 10'000 + 3 * BufferBudget::kAlwaysAllowed);
}

// Guards against requests that wait until their deadline behind a rejection whose body does not
// end.
TEST_CASE("slow reader: a rejection is taken although its body does not end [endless]")
{
    SlowReaderFixture fixture("HTTP/1.1 503 Service Unavailable\r\nRequest-Id: r\r\n"
                              "Not-Executed: 1\r\nContent-Length: "
                              + std::to_string(kLargeAnswer) + "\r\n\r\n");
    fixture.send("GET /x");
    CHECK(fixture.read().starts_with("HTTP/1.1 503"));
    CHECK(fixture.upstream.left() > kLargeAnswer / 2);
    CHECK(fixture.held() == 0);
}
