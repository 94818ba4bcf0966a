// SPDX-License-Identifier: MIT
// Upstreams of the two-daemon form that stop in the middle of an answer, or send one that is not
// valid.
#include <doctest/doctest.h>

#include <fstream>
#include <functional>
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
    HttpAnswer call(const std::string &path, const std::string &bytes,
                    const std::string &body = "x")
    {
        raw->setAnswer(bytes);
        HttpAnswer answer;
        REQUIRE(Fleet::waitFor([&] {
            const int before = raw->answered();
            answer = httpCall("POST", fleet.caller(0) + path, body,
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

// Plays each form to both kinds of route.
void playAll(const std::vector<Form> &forms, const std::function<void(const HttpAnswer &)> &check)
{
    CutService service;
    for (const Form &it : forms) {
        CAPTURE(it.name);
        for (const std::string path : {"/once", "/again"}) {
            CAPTURE(path);
            const HttpAnswer answer = service.call(path, it.bytes);
            CAPTURE(answer.status);
            CAPTURE(answer.body);
            check(answer);
        }
    }
}

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
    playAll(forms, [](const HttpAnswer &answer) {
        CHECK_FALSE((answer.status == 200 && answer.isComplete));
    });
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

// Guards against lines that libcurl takes and other readers on the way read in another way, and
// against bodies whose coding or length is not the one that was read.
TEST_CASE("broken answers: no answer that is not valid reaches a caller [path][broken-answers]")
{
    const std::string length = "Content-Length: 4\r\n";
    const std::string body = "\r\nbody";
    const std::string chunks = "\r\n4\r\nbody\r\n0\r\n\r\n";
    const std::vector<Form> forms{
        {"status 000", "HTTP/1.1 000 Odd\r\n" + length + body},
        {"status 099", "HTTP/1.1 099 Odd\r\n" + length + body},
        {"status 600", "HTTP/1.1 600 Odd\r\n" + length + body},
        {"status 999", "HTTP/1.1 999 Odd\r\n" + length + body},
        {"a blank in a name", kHead + "A b: c\r\n" + length + body},
        {"a tab in a name", kHead + "A\tb: c\r\n" + length + body},
        {"a control byte in a name", kHead + "A\x01: c\r\n" + length + body},
        {"a delete byte in a name", kHead + "A\x7f: c\r\n" + length + body},
        {"a byte beyond ASCII in a name", kHead + "A\x80: c\r\n" + length + body},
        {"a bare CR in a name", kHead + "A\rb: c\r\n" + length + body},
        {"a blank before a colon", kHead + "A : c\r\n" + length + body},
        {"a blank before the colon of a length", kHead + "Content-Length : 4\r\n" + body},
        {"a blank before the colon of a coding",
         kHead + "Transfer-Encoding : chunked\r\n" + chunks},
        {"an empty name", kHead + ": c\r\n" + length + body},
        {"no colon", kHead + "A\r\n" + length + body},
        {"a control byte in a value", kHead + "A: b\x01\r\n" + length + body},
        {"a bare CR in a value", kHead + "A: b\rc\r\n" + length + body},
        {"a bare CR behind a value", kHead + "A: b\r\r\n" + length + body},
        {"a folded line", kHead + "A: b\r\n c\r\n" + length + body},
        {"a folded line behind the status", "HTTP/1.1 200 OK\r\n A: b\r\n" + length + body},
        {"two lengths that differ", kHead + "Content-Length: 5\r\n" + length + body},
        {"a length with a sign", kHead + "Content-Length: +4\r\n" + body},
        {"a length with a letter", kHead + "Content-Length: 4x\r\n" + body},
        {"a length without digits", kHead + "Content-Length: \r\n" + body},
        {"a length and chunks", kHead + length + "Transfer-Encoding: chunked\r\n" + chunks},
        {"chunks in a coding", kHead + "Transfer-Encoding: chunked, gzip\r\n" + chunks},
        {"a coding in chunks", kHead + "Transfer-Encoding: gzip, chunked\r\n" + chunks},
        {"a coding alone", kHead + "Transfer-Encoding: gzip\r\n" + body},
        {"an odd name behind an interim head",
         "HTTP/1.1 100 Continue\r\n\r\n" + kHead + "A b: c\r\n" + length + body},
        {"an odd name in an interim head",
         "HTTP/1.1 103 Early Hints\r\nA b: c\r\n\r\n" + kHead + length + body},
    };
    playAll(forms, [](const HttpAnswer &answer) {
        CHECK(answer.status == 502);
        CHECK(answer.isComplete);
    });
}

// Guards against broken upstreams that nothing in the log tells from others.
TEST_CASE("broken answers: the log tells which upstream's answer is not valid, and why "
          "[path][broken-answers]")
{
    CutService service;
    CHECK(service.call("/once", kHead + "A b: c\r\n\r\nbody").status == 502);
    const std::string upstream = "upstream=\"" + service.fleet.serviceAddress() + "\"";
    CHECK(Fleet::waitFor([&] {
        std::ifstream in(service.fleet.folder() + "/entryd-0.log");
        for (std::string line; std::getline(in, line);) {
            if (line.find("name=AttemptFailed") != std::string::npos
                && line.find(upstream) != std::string::npos
                && line.find("cause=\"bad field\"") != std::string::npos)
                return true;
        }
        return false;
    }));
}

// Guards against sound answers that are taken for broken ones.
TEST_CASE("broken answers: unusual answers that are valid reach callers [path][broken-answers]")
{
    const std::vector<Form> forms{
        {"lines that end with LF alone", "HTTP/1.1 200 OK\nContent-Length: 4\n\nbody"},
        {"the same length twice", kHead + "Content-Length: 4\r\nContent-Length: 4\r\n\r\nbody"},
        {"a tab and bytes beyond ASCII in a value",
         kHead + "A: b\tc \xc3\xa9\r\nContent-Length: 4\r\n\r\nbody"},
        {"an empty value", kHead + "A:\r\nContent-Length: 4\r\n\r\nbody"},
        {"all kinds of bytes in a name",
         kHead + "a!#$%&'*+-.^_`|~9: c\r\nContent-Length: 4\r\n\r\nbody"},
        {"chunks and a trailer",
         kHead + kChunks + "4\r\nbody\r\n0\r\nX-Request-Not-Run: true\r\n\r\n"},
        {"identity", kHead + "Transfer-Encoding: identity\r\n\r\nbody"},
        {"no reason", "HTTP/1.1 200 \r\nContent-Length: 4\r\n\r\nbody"},
        {"no blank behind the status", "HTTP/1.1 200\r\nContent-Length: 4\r\n\r\nbody"},
        {"HTTP/1.0", "HTTP/1.0 200 OK\r\n\r\nbody"},
    };
    CutService service;
    for (const Form &it : forms) {
        CAPTURE(it.name);
        const HttpAnswer answer = service.call("/once", it.bytes);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        CHECK(answer.body == "body");
    }
}

// Guards against an answer that counts as complete, since a field seems to state its length.
TEST_CASE("broken answers: a success without a body that names a coding without chunks is no "
          "answer [path][broken-answers]")
{
    CutService service;
    CHECK(service.call("/once", kHead + "Transfer-Encoding: identity\r\n\r\n").status == 502);
}

// Guards against a part of an answer that becomes a success, as the reset is reported to the upload
// alone.
TEST_CASE("broken answers: a long upload that is answered with a part of an answer and a reset "
          "fails [path][broken-answers]")
{
    const std::string upload(4'000'000, 'x');
    CutService service;
    service.raw->setEarly(true);
    service.raw->setEnd(RawUpstream::End::Reset);
    for (const std::string path : {"/once", "/again"}) {
        CAPTURE(path);
        const HttpAnswer answer = service.call(path, kHead + "\r\npart", upload);
        CHECK_FALSE((answer.status == 200 && answer.isComplete));
    }
    service.raw->setEnd(RawUpstream::End::CloseSending);
    const HttpAnswer whole = service.call("/once", kHead + "\r\nbody", upload);
    CHECK(whole.status == 200);
    CHECK(whole.isComplete);
    CHECK(whole.body == "body");
}
