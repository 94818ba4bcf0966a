// SPDX-License-Identifier: MIT
// Callers that stop reading, before fordwood-noded as a real process.
#include <doctest/doctest.h>

#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include "process/node_deployment.hpp"

using namespace fordwood::process;
namespace net = boost::asio;

namespace {

constexpr int kStoppedReaders = 200;
constexpr int kEvents = 500;
constexpr std::size_t kEventBytes = 40'000; // 20 MB a stream

// A caller's connection whose answer is not read until read() is called.
class Caller
{
public:
    Caller(net::io_context &context, const std::string &host, const std::string &path,
           const std::string &id)
        : m_socket(context)
    {
        m_socket.connect({net::ip::make_address(host), 8080});
        net::write(m_socket,
                   net::buffer("GET " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
                               + "\r\nCredential: key-t\r\nRequest-Deadline: 600000\r\n"
                                 "Connection: close\r\n\r\n"));
    }

    // Reads until the node closes the connection.
    std::string read()
    {
        std::string received;
        std::vector<char> part(1'000'000);
        boost::system::error_code ec;
        while (!ec)
            received.append(part.data(), m_socket.read_some(net::buffer(part), ec));
        return received;
    }

private:
    net::ip::tcp::socket m_socket;
};

} // namespace

TEST_CASE(
    "node: two hundred callers that stop reading long streams take bounded memory, and others "
    "are served [node][slow-reader]")
{
    Deployment fleet;
    fleet.first.setStreams(kEvents, kEventBytes);
    fleet.second.setStreams(kEvents, kEventBytes);
    fleet.putConfiguration(1, "/safe/", 1'000, 600'000);
    fleet.putUpstream("i-1");
    fleet.putUpstream("i-2");
    fleet.startNode(0);
    REQUIRE(Fleet::waitFor([&] { return fleet.isReady(0); }));
    REQUIRE(fleet.call("GET", "/safe/1", "first").status == 200);
    const std::size_t before = fleet.nodes[0].usage().residentBytes;

    net::io_context context;
    std::vector<Caller> callers;
    callers.reserve(kStoppedReaders);
    for (int n = 0; n < kStoppedReaders; ++n)
        callers.emplace_back(context, fleet.host(0), "/stream/1", "s-" + std::to_string(n));
    REQUIRE(Fleet::waitFor(
        [&] { return fleet.metric("fordwood_paused_answers_total") >= kStoppedReaders; }));

    // The channel's limit and one event for each caller, and as much again for what is read from
    // the upstream and not split into events yet.
    constexpr std::size_t kMostPerCaller = 2 * (65'536 + kEventBytes);
    const std::size_t held = fleet.nodes[0].usage().residentBytes - before;
    MESSAGE("held for stopped readers: " << held / 1'000 << " kB");
    CHECK(held <= kStoppedReaders * kMostPerCaller);
    CHECK(fleet.metric("fordwood_buffered_bytes") <= kStoppedReaders * (65'536 + kEventBytes));
    for (int n = 0; n < 50; ++n)
        CHECK(fleet.call("GET", "/safe/1", "r-" + std::to_string(n)).status == 200);

    // What was held is delivered whole once the callers read.
    for (int n = 0; n < 5; ++n) {
        const std::string answer = callers[static_cast<std::size_t>(n)].read();
        CHECK(answer.find("id: " + std::to_string(kEvents) + "\n") != std::string::npos);
        CHECK(answer.ends_with("0\r\n\r\n"));
    }
}

TEST_CASE("node: a caller that reads nothing of its stream loses its connection after the unread "
          "timeout [node][slow-reader]")
{
    Deployment fleet;
    fleet.first.setStreams(kEvents, kEventBytes);
    fleet.second.setStreams(kEvents, kEventBytes);
    fleet.extraSettings = "unread_timeout = \"300ms\"\n";
    fleet.start();
    net::io_context context;
    Caller caller(context, fleet.host(0), "/stream/1", "s");
    REQUIRE(Fleet::waitFor([&] { return fleet.metric("fordwood_unread_answers_total") >= 1.0; }));
    CHECK_FALSE(caller.read().ends_with("0\r\n\r\n"));
    CHECK(Fleet::waitFor([&] { return fleet.metric("fordwood_buffered_bytes") == 0.0; }));
    CHECK(fleet.call("GET", "/safe/1", "r").status == 200);
}
