// SPDX-License-Identifier: MIT
// Upstreams of the two-daemon form that stop in the middle of an answer and close the connection in
// order.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "process/fleet.hpp"
#include "process/raw_upstream.hpp"

using namespace fordwood::process;

namespace {

struct Form
{
    std::string name;
    std::string bytes;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n";
const std::string kStream = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n";
const std::string kChunks = "Transfer-Encoding: chunked\r\n\r\n";

// One node, before a service that sends what a test gives it.
class CutService
{
public:
    CutService()
    {
        fleet.start();
        fleet.service.kill();
        raw = std::make_unique<RawUpstream>(fleet.serviceAddress());
    }

    // Calls until the service was reached.
    HttpAnswer call(const std::string &path, const std::string &bytes)
    {
        raw->setAnswer(bytes);
        HttpAnswer answer;
        REQUIRE(Fleet::waitFor([&] {
            const int before = raw->answered();
            answer = httpCall("POST", fleet.caller(0) + path, "x",
                              {Fleet::bearer(1), "X-Request-Id: " + std::to_string(++m_calls)});
            return raw->answered() > before;
        }));
        return answer;
    }

    Fleet fleet{{1, 1, 1, 8, {"token_ms=1"}, ""}};
    std::unique_ptr<RawUpstream> raw;

private:
    int m_calls = 0;
};

} // namespace

// Guards against a 200 with an empty or short body, framed as whole.
TEST_CASE("cut answers: no answer that stops becomes a success [path][cut-answers]")
{
    const std::vector<Form> forms{
        {"nothing", ""},
        {"the status line cut", "HTTP/1.1 200 O"},
        {"the status line", "HTTP/1.1 200 OK\r\n"},
        {"a field cut", "HTTP/1.1 200 OK\r\nContent-Ty"},
        {"fields without the blank line", kHead},
        {"a length with fewer digits", kHead + "Content-Length: 1"},
        {"no blank line after a length of zero", kHead + "Content-Length: 0\r\n"},
        {"a head without a length or chunks", kHead + "\r\n"},
        {"such a head of HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\n"},
        {"such a head after an interim one", "HTTP/1.1 100 Continue\r\n\r\n" + kHead + "\r\n"},
        {"an interim head alone", "HTTP/1.1 100 Continue\r\n\r\n"},
        {"fewer bytes than announced", kHead + "Content-Length: 5\r\n\r\nbody"},
        {"the head of chunks", kHead + kChunks},
        {"the size of a chunk cut", kHead + kChunks + "1"},
        {"a chunk cut", kHead + kChunks + "10\r\nbody"},
        {"chunks without the last one", kHead + kChunks + "4\r\nbody\r\n"},
        {"the last chunk cut", kHead + kChunks + "4\r\nbody\r\n0\r\n"},
        {"a stream without events", kStream + "\r\n"},
        {"a stream cut within an event", kStream + "\r\ndata: 1\n\ndata"},
        {"a stream cut after an event", kStream + "\r\ndata: 1\n\n"},
    };
    CutService service;
    for (const Form &it : forms) {
        CAPTURE(it.name);
        for (const char *path : {"/once", "/again"}) {
            CAPTURE(path);
            const HttpAnswer answer = service.call(path, it.bytes);
            CAPTURE(answer.status);
            CAPTURE(answer.body);
            CHECK_FALSE((answer.status == 200 && answer.isComplete));
        }
    }
}

TEST_CASE("cut answers: bodies that end with their connection, and answers without one, are whole "
          "[path][cut-answers]")
{
    CutService service;
    const HttpAnswer body = service.call("/once", kHead + "\r\nbody");
    CHECK(body.status == 200);
    CHECK(body.isComplete);
    CHECK(body.body == "body");
    const HttpAnswer stream = service.call("/once", kStream + "\r\ndata: 1\n\ndata: [DONE]\n\n");
    CHECK(stream.status == 200);
    CHECK(stream.isComplete);
    CHECK(service.call("/once", "HTTP/1.1 204 No Content\r\n\r\n").status == 204);
    CHECK(service.call("/once", kHead + "Content-Length: 0\r\n\r\n").status == 200);
    CHECK(service.call("/once", kHead + kChunks + "0\r\n\r\n").status == 200);
    CHECK(service.call("/once", "HTTP/1.1 404 Not Found\r\n\r\n").status == 404);
}

// Guards against memory that grows with the heads of a broken upstream.
TEST_CASE("cut answers: a head that is longer than any upstream's is no answer "
          "[path][cut-answers][endless]")
{
    std::string fields;
    while (fields.size() < 100'000)
        fields += "A: b\r\n";
    std::string interim;
    while (interim.size() < 100'000)
        interim += "HTTP/1.1 100 Continue\r\n\r\n";
    const std::string end = "Content-Length: 4\r\n\r\nbody";
    CutService service;
    CHECK(service.call("/once", kHead + fields + end).status == 502);
    CHECK(service.call("/once", interim + kHead + end).status == 502);
    CHECK(service.call("/once", kHead + fields.substr(0, 12'000) + end).status == 200);
    const std::string chunks = kHead + kChunks + "4\r\nbody\r\n0\r\n";
    const HttpAnswer trailers = service.call("/once", chunks + fields + "\r\n");
    CHECK_FALSE((trailers.status == 200 && trailers.isComplete));
}

// Guards against rejections that are read until the deadline.
TEST_CASE("cut answers: a rejection is taken although its body does not end "
          "[path][cut-answers][endless]")
{
    // More than the kernel holds for a connection.
    const std::string body(64'000'000, 'x');
    CutService service;
    for (const std::string field : {"", "X-Request-Not-Run: true\r\n"}) {
        CAPTURE(field);
        std::string bytes = "HTTP/1.1 503 Service Unavailable\r\n";
        bytes.append(field).append("\r\n").append(body);
        const HttpAnswer answer = service.call("/once", bytes);
        CHECK(answer.status == (field.empty() ? 502 : 503));
        CHECK(Fleet::waitFor([&] { return service.raw->sentBytes() > 0; }));
        CHECK(service.raw->sentBytes() < body.size() / 2);
    }
}
