// SPDX-License-Identifier: MIT
// A channel that a peer opens, from the node that asks to the upstream.
#include <doctest/doctest.h>

#include <functional>

#include <boost/asio/write.hpp>

#include "fordwood/manual_clock.hpp"
#include "node/http_channel.hpp"
#include "node/proxy_server.hpp"
#include "process/platform_standins.hpp"
#include "support/serving_thread.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

struct Host : ProxyHost
{
    std::optional<UpstreamRecord> upstreamForPeer(const std::string &instanceId) override
    {
        if (instanceId != record.instanceId)
            return std::nullopt;
        return record;
    }
    void connected(const UpstreamRecord & /*upstream*/) override { ++connects; }
    void connectFailed(const UpstreamRecord & /*upstream*/, const ErrorCode & /*cause*/) override
    {
        ++failures;
    }

    UpstreamRecord record;
    int connects = 0;
    int failures = 0;
};

// A node whose own paths to two upstreams are lost, and a peer that reaches both.
class LostPathFixture : ProxyHost
{
public:
    // What happens to connections on the node's own paths.
    enum class Path { Silent, Refused };

    explicit LostPathFixture(Path path)
        : m_first(ownAddress(75), "i-1"), m_second(ownAddress(76), "i-2"), m_thread(pool()),
          m_proxy(context(), m_clock, *this, m_buffers, m_metrics), m_timer(context())
    {
        ErrorCode ec;
        m_silent.reserve(2); // the pending accepts refer to the elements
        for (const int host : {73, 74}) {
            m_thread.write(record("i-" + std::to_string(host - 72), host));
            if (path == Path::Refused)
                continue;
            m_silent.push_back(openAcceptor(context(), ownAddress(host), ec));
            REQUIRE(!ec);
            accept(m_silent.back());
        }
        REQUIRE(m_proxy.listen(ownAddress(72), ec));
    }

    void usePeer() { state().paths().setPeers({{"n2", ownAddress(72), "x"}}); }

    NodeState &state() { return m_thread.traffic(); }

    // In real time. Only a defect makes the condition take this long.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto until = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < until)
            context().run_one_for(10ms);
        CHECK(condition());
    }

    // Sends a request, and cuts this node off once the request waits for its answer.
    CallerAnswer send()
    {
        advanceTime();
        return m_thread.send();
    }

    void stopPeer() { m_proxy.close(); }

    int runs(const std::string &id) { return m_first.runs(id) + m_second.runs(id); }

private:
    static ServicePool pool()
    {
        ServicePool pool;
        pool.name = "board";
        pool.coldStart = 1h;
        pool.coldRequestsPerSecond = 1.0;
        return pool;
    }

    static UpstreamRecord record(const std::string &id, int host)
    {
        UpstreamRecord record;
        record.instanceId = id;
        record.announcedId = id;
        record.service = "board";
        record.address = ownAddress(host);
        return record;
    }

    net::io_context &context() { return m_thread.traffic().context(); }

    void accept(tcp::acceptor &acceptor)
    {
        acceptor.async_accept([this](const ErrorCode &ec, tcp::socket it) {
            if (ec)
                return;
            m_accepted.push_back(std::move(it));
            cutOff();
        });
    }

    void cutOff()
    {
        for (tcp::acceptor &it : m_silent)
            it.close();
        for (const int n : {1, 2})
            m_thread.traffic().paths().channelFailed(record("i-" + std::to_string(n), 72 + n));
    }

    void advanceTime()
    {
        m_timer.expires_after(5ms);
        m_timer.async_wait([this](const ErrorCode &) {
            m_thread.advance(100ms);
            advanceTime();
        });
    }

    std::optional<UpstreamRecord> upstreamForPeer(const std::string &instanceId) override
    {
        return record(instanceId, 74 + std::stoi(instanceId.substr(2))); // nobody listens as i-3
    }
    void connected(const UpstreamRecord & /*upstream*/) override { }
    void connectFailed(const UpstreamRecord & /*upstream*/, const ErrorCode & /*cause*/) override {
    }

    process::UpstreamStandin m_first;
    process::UpstreamStandin m_second;
    ManualClock m_clock;
    adapters::Metrics m_metrics;
    BufferBudget m_buffers{BufferLimits{}};
    ServingThread m_thread;
    ProxyServer m_proxy;
    net::steady_timer m_timer;
    std::vector<tcp::acceptor> m_silent;
    std::vector<tcp::socket> m_accepted;
};

struct Answer : AnswerHandler
{
    void onHead(const http::response_header<> & /*head*/) override { }
    bool onBody(std::string_view bytes) override
    {
        body += bytes;
        return true;
    }
    void onAnswerEnd(AnswerEnd /*end*/) override { isComplete = true; }
    void onChannelFailure(const ErrorCode & /*cause*/) override { hasFailed = true; }

    std::string body;
    bool isComplete = false;
    bool hasFailed = false;
};

// A proxy, and an upstream that sends a fixed text on its connection.
class ProxyFixture
{
public:
    ProxyFixture() : m_proxy(context, m_clock, host, m_buffers, m_metrics), upstream(context)
    {
        host.record.instanceId = "i-1";
        host.record.address = ownAddress(71);
        ErrorCode ec;
        REQUIRE(m_proxy.listen(ownAddress(70), ec));
        m_acceptor.emplace(openAcceptor(context, ownAddress(71), ec));
        REQUIRE(!ec);
    }

    // Asks the proxy for a connection to the instance.
    ProxyResult connect(const std::string &instanceId)
    {
        if (m_acceptor)
            m_acceptor->async_accept(
                [this](const ErrorCode &, tcp::socket it) { upstream = std::move(it); });
        std::optional<ProxyResult> result;
        channel = std::make_shared<HttpChannel>(context);
        channel->connectThrough({*parseEndpoint<tcp>(ownAddress(70)), "n1", instanceId, nullptr},
                                {1s, 1s, std::nullopt}, [&](ProxyResult it) { result = it; });
        runUntil([&] { return result.has_value(); });
        REQUIRE(result);
        return *result;
    }

    void exchange(Answer &answer)
    {
        http::request_header<> head;
        head.method(http::verb::get);
        head.target("/");
        head.version(11);
        channel->exchange(std::move(head), std::make_shared<const std::string>(), answer);
    }

    void sendFromUpstream(const std::string &text) { net::write(upstream, net::buffer(text)); }

    // In real time. Only a defect makes the condition take this long.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto until = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < until)
            context.run_one_for(10ms);
        CHECK(condition());
    }

    void stopUpstream() { m_acceptor.reset(); }
    void stopProxy() { m_proxy.close(); }
    std::size_t openConnections() const { return m_proxy.openConnections(); }

    net::io_context context;
    Host host;
    std::shared_ptr<HttpChannel> channel;

private:
    ManualClock m_clock;
    BufferBudget m_buffers{BufferLimits{}};
    adapters::Metrics m_metrics;
    ProxyServer m_proxy;
    std::optional<tcp::acceptor> m_acceptor;

public:
    tcp::socket upstream;
};

} // namespace

TEST_CASE("proxy: an answer passes through a peer, and its connection is not used again [cut]")
{
    ProxyFixture fixture;
    REQUIRE(fixture.connect("i-1") == ProxyResult::Connected);
    CHECK(fixture.host.connects == 1);
    Answer answer;
    fixture.exchange(answer);
    fixture.runUntil([&] { return fixture.upstream.available() > 0; });
    fixture.sendFromUpstream("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
    fixture.runUntil([&] { return answer.isComplete; });
    CHECK(answer.body == "whole");
    CHECK_FALSE(fixture.channel->isReusable());
    fixture.runUntil([&] { return fixture.openConnections() == 0; });
}

TEST_CASE("proxy: an unknown upstream is declined, and one that cannot be connected to is reported "
          "[cut]")
{
    ProxyFixture fixture;
    CHECK(fixture.connect("i-2") == ProxyResult::PeerFailed);
    CHECK(fixture.host.connects == 0);
    fixture.stopUpstream();
    CHECK(fixture.connect("i-1") == ProxyResult::UpstreamUnreachable);
    CHECK(fixture.host.failures == 1);
    fixture.runUntil([&] { return fixture.openConnections() == 0; });
}

// A peer that ends closes the connection in the same way.
TEST_CASE("proxy: an answer whose end is not stated is not taken for complete [cut][whole]")
{
    ProxyFixture fixture;
    REQUIRE(fixture.connect("i-1") == ProxyResult::Connected);
    Answer answer;
    fixture.exchange(answer);
    fixture.sendFromUpstream("HTTP/1.1 200 OK\r\n\r\npart");
    fixture.upstream.shutdown(tcp::socket::shutdown_both);
    fixture.runUntil([&] { return answer.hasFailed; });
    CHECK_FALSE(answer.isComplete);
}

TEST_CASE("proxy: an upstream's reset reaches the node that asked [cut][whole]")
{
    ProxyFixture fixture;
    REQUIRE(fixture.connect("i-1") == ProxyResult::Connected);
    Answer answer;
    fixture.exchange(answer);
    fixture.sendFromUpstream("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    fixture.runUntil([&] { return answer.body == "part"; });
    fixture.upstream.set_option(net::socket_base::linger(true, 0));
    fixture.upstream.close();
    fixture.runUntil([&] { return answer.hasFailed; });
    fixture.runUntil([&] { return fixture.openConnections() == 0; });
}

TEST_CASE("proxy: the end of the request at the node that asked reaches the upstream [cut]")
{
    ProxyFixture fixture;
    REQUIRE(fixture.connect("i-1") == ProxyResult::Connected);
    Answer answer;
    fixture.exchange(answer);
    fixture.runUntil([&] { return fixture.upstream.available() > 0; });
    fixture.channel->close();
    bool hasEnded = false;
    std::array<char, 1'024> buf{};
    std::function<void()> read = [&] {
        fixture.upstream.async_read_some(net::buffer(buf), [&](const ErrorCode &ec, std::size_t) {
            hasEnded = static_cast<bool>(ec);
            if (!ec)
                read();
        });
    };
    read();
    fixture.runUntil([&] { return hasEnded; });
    fixture.runUntil([&] { return fixture.openConnections() == 0; });
}

// Guards against peers that wait for a node whose planned stop has ended, until its process ends.
TEST_CASE("proxy: connections are closed as the node's stop ends, and no other is taken "
          "[cut][stop]")
{
    ProxyFixture fixture;
    REQUIRE(fixture.connect("i-1") == ProxyResult::Connected);
    Answer answer;
    fixture.exchange(answer);
    fixture.sendFromUpstream("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart");
    fixture.runUntil([&] { return answer.body == "part"; });
    fixture.stopProxy();
    fixture.runUntil([&] { return answer.hasFailed; });
    fixture.runUntil([&] { return fixture.openConnections() == 0; });
    fixture.context.restart(); // it has run out of work
    CHECK(fixture.connect("i-1") == ProxyResult::PeerFailed);
}

TEST_CASE("cut-off node: a request that waits on a lost path is sent again through a peer [cut]")
{
    LostPathFixture fixture(LostPathFixture::Path::Silent);
    fixture.usePeer();
    CHECK(fixture.send().status == 200);
    CHECK(fixture.runs("r1") == 1);
}

TEST_CASE("cut-off node: connections that are refused on a lost path do not mark upstreams as "
          "restarted [cut][lives]")
{
    LostPathFixture fixture(LostPathFixture::Path::Refused);
    const ColdGate &gate = fixture.state().gate().coldGate();
    SUBCASE("no peer reaches the upstreams")
    {
        fixture.send();
        CHECK((gate.isCold("i-1") || gate.isCold("i-2")));
    }
    SUBCASE("a peer reaches them")
    {
        fixture.usePeer();
        CHECK(fixture.send().status == 200);
        fixture.runUntil([&] { return fixture.state().paths().isCutOff("board"); });
        CHECK(fixture.send().status == 200);
        CHECK_FALSE(gate.isCold("i-1"));
        CHECK_FALSE(gate.isCold("i-2"));
    }
}

TEST_CASE("cut-off node: what a failed connection says about an upstream counts only if the path "
          "works [cut][quarantine]")
{
    LostPathFixture fixture(LostPathFixture::Path::Refused);
    UpstreamPaths &paths = fixture.state().paths();
    UpstreamRecord record;
    record.instanceId = "i-1";
    record.service = "board";
    int conclusions = 0;
    const auto conclude = [&] { ++conclusions; };
    SUBCASE("without peers at once")
    {
        paths.channelFailed(record);
        paths.ifPathWorks("board", conclude);
        CHECK(conclusions == 1);
    }
    SUBCASE("once a connection succeeds")
    {
        fixture.usePeer();
        paths.channelFailed(record);
        paths.ifPathWorks("board", conclude);
        CHECK(conclusions == 0);
        paths.connected(record);
        CHECK(conclusions == 1);
    }
    SUBCASE("never if the node is cut off")
    {
        fixture.usePeer();
        paths.channelFailed(record);
        paths.ifPathWorks("board", conclude);
        CHECK(fixture.send().status == 200);
        fixture.runUntil([&] { return paths.isCutOff("board"); });
        paths.connected(record);
        CHECK(conclusions == 0);
    }
}

// Guards against upstreams that are paused because a peer has stopped.
TEST_CASE("cut-off node: a connection that is lost through a peer counts against the upstream only "
          "if the peer works [cut][stop]")
{
    LostPathFixture fixture(LostPathFixture::Path::Refused);
    fixture.usePeer();
    UpstreamPaths &paths = fixture.state().paths();
    UpstreamRecord record;
    record.instanceId = "i-1";
    record.service = "board";
    int conclusions = 0;
    const auto conclude = [&] { ++conclusions; };
    SUBCASE("it connects")
    {
        paths.ifPeerWorks("n2", record, conclude);
        paths.ifPeerWorks("n2", record, conclude);
        CHECK(conclusions == 0);
        fixture.runUntil([&] { return conclusions == 2; });
    }
    SUBCASE("it tells that the upstream is unreachable")
    {
        record.instanceId = "i-3";
        paths.ifPeerWorks("n2", record, conclude);
        fixture.runUntil([&] { return conclusions == 1; });
        CHECK(paths.choosePeer({}));
    }
    SUBCASE("it has ended")
    {
        fixture.stopPeer();
        paths.ifPeerWorks("n2", record, conclude);
        fixture.runUntil([&] { return !paths.choosePeer({}); });
        CHECK(conclusions == 0);
    }
    SUBCASE("it is no longer known")
    {
        paths.setPeers({});
        paths.ifPeerWorks("n2", record, conclude);
        CHECK(conclusions == 0);
    }
}
