// SPDX-License-Identifier: MIT
// Answers that are not valid, and connections that are reset during an upload, on real sockets.
#include <doctest/doctest.h>

#include <chrono>
#include <functional>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>

#include "node/http_channel.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// What a channel reports of one answer.
struct Answer : AnswerHandler
{
    void onHead(const http::response_header<> &received) override { head = received; }
    bool onBody(std::string_view bytes) override
    {
        body += bytes;
        return !isPausing;
    }
    void onAnswerEnd(AnswerEnd /*end*/) override { isComplete = true; }
    void onChannelFailure(const ErrorCode &cause) override { failure = cause; }

    bool hasEnded() const { return isComplete || failure.failed(); }

    http::response_header<> head;
    std::string body;
    bool isPausing = false; // reading, after the next part of the body
    bool isComplete = false;
    ErrorCode failure;
};

// A channel, and the server's side of its connection.
class ChannelFixture
{
public:
    ChannelFixture() : server(context)
    {
        tcp::acceptor acceptor(context, {net::ip::make_address("127.0.0.1"), 0});
        channel->connect(acceptor.local_endpoint(), {1s, 1s, std::nullopt},
                         [this](const ErrorCode &ec) { m_isConnected = !ec; });
        acceptor.async_accept(server, [](const ErrorCode & /*ec*/) {});
        runUntil([&] { return m_isConnected && server.is_open(); });
    }

    // Sends a request and lets the server read a part of it.
    void exchange(const std::string &body = "")
    {
        http::request_header<> head;
        head.method(body.empty() ? http::verb::get : http::verb::post);
        head.target("/");
        head.version(11);
        channel->exchange(std::move(head), std::make_shared<const std::string>(body), answer);
        runUntil([&] { return server.available() > 0; });
        settle();
        std::string part(1'000, ' ');
        server.read_some(net::buffer(part));
    }

    void send(const std::string &bytes) { net::write(server, net::buffer(bytes)); }

    void endSending() { server.shutdown(tcp::socket::shutdown_send); }

    void reset()
    {
        server.set_option(net::socket_base::linger(true, 0));
        server.close();
    }

    // Reads all that the channel has sent and still sends.
    void readOn()
    {
        std::string buf(100'000, ' ');
        while (server.available() > 0) {
            server.read_some(net::buffer(buf));
            settle();
        }
    }

    // Runs what is due.
    void settle() { context.run_for(20ms); }

    // Only a defect makes the condition take this long.
    void runUntil(const std::function<bool()> &condition)
    {
        const auto until = std::chrono::steady_clock::now() + 20s;
        while (!condition() && std::chrono::steady_clock::now() < until)
            context.run_one_for(10ms);
        REQUIRE(condition());
    }

    void awaitEnd()
    {
        runUntil([&] { return answer.hasEnded(); });
    }

    net::io_context context;
    tcp::socket server;
    Answer answer;
    std::shared_ptr<HttpChannel> channel = std::make_shared<HttpChannel>(context);

private:
    net::executor_work_guard<net::io_context::executor_type> m_work{context.get_executor()};
    bool m_isConnected = false;
};

// The answer to a GET request, all of it sent at once.
Answer answerTo(std::initializer_list<std::string_view> parts)
{
    ChannelFixture fixture;
    fixture.exchange();
    std::string bytes;
    for (const std::string_view it : parts)
        bytes.append(it);
    fixture.send(bytes);
    fixture.endSending();
    fixture.awaitEnd();
    return fixture.answer;
}

// More than the kernel holds for a connection.
const std::string kUpload(16'000'000, 'x');

const std::string kUnframed = "HTTP/1.1 200 OK\r\n\r\npart"; // ends with its connection

// How the server ends a connection.
struct End
{
    std::string name;
    std::function<void(ChannelFixture &)> play;
};

} // namespace

// Guards against a status that no caller can read, or that means "no answer" elsewhere.
TEST_CASE("broken answers: a status outside 100 to 599 is no answer [broken-answers]")
{
    for (const std::string it : {"000", "001", "099", "600", "999"}) {
        CAPTURE(it);
        const Answer answer = answerTo({"HTTP/1.1 ", it, " Odd\r\nContent-Length: 4\r\n\r\nbody"});
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.failure == http::error::bad_status);
        CHECK(answer.body.empty());
    }
    for (const std::string it : {"200", "299", "404", "599"}) {
        CAPTURE(it);
        CHECK(answerTo({"HTTP/1.1 ", it, " Known\r\nContent-Length: 4\r\n\r\nbody"}).isComplete);
    }
}

// Guards against a part of an answer that is taken for all of it, as the kernel reports the reset
// to the upload alone.
TEST_CASE("broken answers: a reset during an upload does not complete an answer without a length "
          "[broken-answers]")
{
    const std::vector<End> ends{
        {"at once", [](ChannelFixture &it) { it.reset(); }},
        {"after the part was read",
         [](ChannelFixture &it) {
             it.settle();
             it.reset();
         }},
        {"while reading was paused",
         [](ChannelFixture &it) {
             it.answer.isPausing = true;
             it.settle();
             it.reset();
             it.settle();
             it.channel->resumeReading();
         }},
    };
    for (const End &it : ends) {
        CAPTURE(it.name);
        ChannelFixture fixture;
        fixture.exchange(kUpload);
        fixture.send(kUnframed);
        it.play(fixture);
        fixture.awaitEnd();
        CHECK_FALSE(fixture.answer.isComplete);
        CHECK(fixture.answer.failure == net::error::connection_reset);
    }
}

// Guards against sound answers that are lost with those that break off.
TEST_CASE("broken answers: an early answer without a length whose upstream closes its sending side "
          "in order is complete [broken-answers]")
{
    const std::vector<End> ends{
        {"and reads nothing more", [](ChannelFixture & /*it*/) {}},
        {"and reads on", [](ChannelFixture &it) { it.readOn(); }},
        {"and resets the connection at once", [](ChannelFixture &it) { it.reset(); }},
        {"and resets the connection later",
         [](ChannelFixture &it) {
             it.settle();
             it.reset();
         }},
    };
    for (const End &it : ends) {
        CAPTURE(it.name);
        ChannelFixture fixture;
        fixture.exchange(kUpload);
        fixture.send(kUnframed);
        fixture.endSending();
        it.play(fixture);
        fixture.awaitEnd();
        CHECK(fixture.answer.isComplete);
        CHECK(fixture.answer.body == "part");
        CHECK_FALSE(fixture.channel->isReusable());
    }
}

// Guards against answers that state their end and are lost with the upload.
TEST_CASE("broken answers: an early answer that states its end is complete, however its connection "
          "ends [broken-answers]")
{
    for (const std::string it : {"Content-Length: 4\r\n\r\nbody",
                                 "Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"}) {
        CAPTURE(it);
        ChannelFixture fixture;
        fixture.exchange(kUpload);
        fixture.send("HTTP/1.1 200 OK\r\n" + it);
        fixture.reset();
        fixture.awaitEnd();
        CHECK(fixture.answer.isComplete);
        CHECK(fixture.answer.body == "body");
    }
}

// Guards against a field whose value is another one than the upstream's.
TEST_CASE("broken answers: a head with a folded line is no answer [broken-answers]")
{
    for (const std::string it :
         {"A: b\r\n c\r\n", "A: b\r\n\tc\r\n", "A: b\r\n \r\n", " A: b\r\n"}) {
        CAPTURE(it);
        const Answer answer
            = answerTo({"HTTP/1.1 200 OK\r\n", it, "Content-Length: 4\r\n\r\nbody"});
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.failure.failed());
    }
    // The same bytes in a body are none of the head's.
    CHECK(answerTo({"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n a\r\n b\r\n"}).isComplete);
    CHECK(
        answerTo({"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"})
            .isComplete);
}

// Guards against a body that is still encoded, with nothing that says so, and against chunks that
// are taken for the body itself.
TEST_CASE("broken answers: a transfer coding other than chunked is no answer [broken-answers]")
{
    const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
    for (const std::string it :
         {"Transfer-Encoding: chunked, gzip\r\n", "Transfer-Encoding: gzip, chunked\r\n",
          "Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n",
          "Transfer-Encoding: gzip\r\n", "Transfer-Encoding: gzip\r\nContent-Length: 4\r\n",
          "Transfer-Encoding: \r\n", "Transfer-Encoding: chunked, chunked\r\n",
          "Transfer-Encoding: \"chunked\"\r\n", "Transfer-Encoding: xchunked\r\n"}) {
        CAPTURE(it);
        const Answer answer = answerTo({"HTTP/1.1 200 OK\r\n", it, chunks});
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.failure == http::error::bad_transfer_encoding);
        CHECK(answer.body.empty());
    }
    for (const std::string it : {"chunked", "Chunked", " chunked "}) {
        CAPTURE(it);
        const Answer answer
            = answerTo({"HTTP/1.1 200 OK\r\nTransfer-Encoding:", it, "\r\n", chunks});
        CHECK(answer.isComplete);
        CHECK(answer.body == "body");
    }
    CHECK(answerTo({"HTTP/1.1 200 OK\r\nTransfer-Encoding: identity\r\n\r\nbody"}).body == "body");
    // These have no body that could be encoded.
    CHECK(answerTo({"HTTP/1.1 304 Not Modified\r\nTransfer-Encoding: gzip, chunked\r\n\r\n"})
              .isComplete);
}

// Guards against lines that other readers on the way take for another field, length or end.
TEST_CASE("broken answers: a head with an odd name, length, line or status line is no answer "
          "[broken-answers]")
{
    const std::string ok = "HTTP/1.1 200 OK\r\n";
    const std::string length = "Content-Length: 4\r\n";
    const std::string body = "\r\nbody";
    for (const std::string it :
         {"A b: c", "A\tb: c", "A\001b: c", "A\x7f: c", "A\x80: c", "A[b]: c", "A\rb: c", "A : c",
          "A\t: c", ": c", "A", "A: b\rc", "A: b\x01", "A: b\x7f", "A: b\r"}) {
        CAPTURE(it);
        const Answer answer = answerTo({ok, it, "\r\n", length, body});
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.failure.failed());
    }
    for (const std::string it :
         {"+4", "4x", "-4", "0x4", "", "4 4", "4, 5", "4\r\nContent-Length: 5",
          "99999999999999999999", "4\r\nTransfer-Encoding: chunked"}) {
        CAPTURE(it);
        const Answer answer = answerTo({ok, "Content-Length: ", it, "\r\n", body});
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.failure.failed());
    }
    for (const std::string it :
         {"HTTP/1.1 20 OK", "HTTP/1.1 2000 OK", "HTTP/1.1 2x0 OK", "HTTP/2 200 OK",
          "HTTP/1.1  200 OK", "HTTP/1.1 200 O\x01K", "HTTP 200 OK", "200 OK"}) {
        CAPTURE(it);
        const Answer answer = answerTo({it, "\r\n", length, body});
        CHECK_FALSE(answer.isComplete);
        CHECK(answer.failure.failed());
    }
}
