// SPDX-License-Identifier: MIT
// Servers whose answers never end, in the head or in the body, on real sockets.
#include <doctest/doctest.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/io_context.hpp>

#include "adapters/system_clock.hpp"
#include "node/http_client.hpp"
#include "support/endless_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A client and a server that it calls.
struct EndlessFixture
{
    EndlessFixture(std::string begin, const std::string &part)
        : server(context, std::move(begin), part)
    { }

    HttpResult call(const std::string &method = "GET")
    {
        HttpCall call;
        call.address = server.address();
        call.method = method;
        call.target = "/";
        std::optional<HttpResult> result;
        client.send(call, kTimeLimit, [&](const HttpResult &it) { result = it; });
        while (!result)
            context.run_one_for(100ms);
        return *result;
    }

    // Lets the server find out that its connection is closed.
    void settle()
    {
        for (int n = 0; n < 100 && server.closed() < server.accepted(); ++n)
            context.run_for(10ms);
    }

    static constexpr Duration kTimeLimit = 10s;

    net::io_context context;
    const adapters::SystemClock clock;
    HttpClient client{context, clock};
    EndlessServer server;
};

// What the longest valid answer has, and what the kernel holds for two sockets.
constexpr std::size_t kMaxSent = (16 << 20) + (16 << 20);

struct Shape
{
    std::string name;
    std::string begin;
    std::string part;
};

} // namespace

// Guards against memory that grows with what a broken server sends, and against calls that last
// until their time limit.
TEST_CASE("endless answers: a call ends as failed, and its connection is closed [endless]")
{
    const std::string chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    const std::vector<Shape> shapes{
        {"a line of the head", "HTTP/1.1 200 OK\r\nA: ", "x"},
        {"lines of the head", "HTTP/1.1 200 OK\r\n", "A: b\r\n"},
        {"the first line", "HTTP/1.1 200 ", "x"},
        {"heads of interim answers", "", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"interim answers with fields", "", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
        {"a change of protocol", "HTTP/1.1 101 Switching Protocols\r\n\r\n", "x"},
        {"a line before a chunk", chunked + "5;", "x"},
        {"the size of a chunk", chunked, "0"},
        {"trailers", chunked + "0\r\n", "A: b\r\n"},
        {"a line of the trailers", chunked + "0\r\nA: ", "x"},
        {"a body without a length", "HTTP/1.1 200 OK\r\n\r\n", "x"},
        {"chunks", chunked, "3e8\r\n" + std::string(1'000, 'x') + "\r\n"},
        {"a body of a huge length", "HTTP/1.1 200 OK\r\nContent-Length: 999999999999\r\n\r\n", "x"},
        {"no answer at all", "", "x"},
    };
    for (const Shape &it : shapes) {
        CAPTURE(it.name);
        EndlessFixture fixture(it.begin, it.part);
        const TimePoint started = fixture.clock.now();
        CHECK_FALSE(fixture.call().has_value());
        CHECK(fixture.clock.now() - started < EndlessFixture::kTimeLimit / 2);
        fixture.settle();
        CHECK(fixture.server.closed() == 1);
        CHECK(fixture.server.bytesSent() <= kMaxSent);
    }
}

TEST_CASE("endless answers: bytes after an answer, or for one without a body, end its connection "
          "[endless]")
{
    const std::vector<Shape> shapes{
        {"GET", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "x"},
        {"GET", "HTTP/1.1 204 No Content\r\n\r\n", "x"},
        {"GET", "HTTP/1.1 304 Not Modified\r\n\r\n", "x"},
        {"HEAD", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n", "x"},
    };
    for (const Shape &it : shapes) {
        CAPTURE(it.begin);
        EndlessFixture fixture(it.begin, it.part);
        CHECK(fixture.call(it.name).has_value());
        CHECK(fixture.call(it.name).has_value()); // on another connection
        CHECK(fixture.server.accepted() == 2);
        CHECK(fixture.server.bytesSent() <= 2 * kMaxSent);
    }
}

// Guards against an interim answer that is taken for the answer.
TEST_CASE("endless answers: the answer after a few interim ones is taken [endless]")
{
    std::string interim;
    for (int n = 0; n < 3; ++n)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    EndlessFixture fixture(interim + "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "");
    const HttpResult result = fixture.call("POST");
    REQUIRE(result.has_value());
    CHECK(result->status == 200);
    CHECK(result->body == "ok");
}
