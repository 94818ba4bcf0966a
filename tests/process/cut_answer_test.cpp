// SPDX-License-Identifier: MIT
// Upstreams that stop in the middle of an answer, or send one that is not valid.
#include <doctest/doctest.h>

#include <memory>
#include <string>
#include <vector>

#include "process/fleet.hpp"
#include "process/kept_connection.hpp"
#include "process/node_deployment.hpp"
#include "process/raw_upstream.hpp"

using namespace fordwood::process;

namespace {

struct Form
{
    std::string name;
    std::string bytes;
};

const std::string kHead = "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n";
const std::string kChunked = kHead + "Transfer-Encoding: chunked\r\n\r\n";
const std::string kEvents = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n";
const std::string kUnframed = kHead + "\r\n" + kEvents; // an answer that ends with its connection

// None of them is an answer, whatever it answers.
std::vector<Form> cutForms()
{
    return {
        {"nothing", ""},
        {"the status line cut", "HTTP/1.1 200 O"},
        {"the status line", "HTTP/1.1 200 OK\r\n"},
        {"a field cut", "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nResponse-Se"},
        {"fields without the blank line", kHead},
        {"a length with fewer digits", kHead + "Content-Length: 1"},
        {"a head without a length or chunks", kHead + "\r\n"},
        {"such a head of HTTP/1.0",
         "HTTP/1.0 200 OK\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n"},
        {"fewer bytes than announced", kHead + "Content-Length: 31\r\n\r\n" + kEvents},
        {"the head of chunks", kChunked},
        {"the size of a chunk cut", kChunked + "1"},
        {"a chunk cut", kChunked + "1e\r\n" + kEvents.substr(0, 14)},
        {"chunks without the last one", kChunked + "1e\r\n" + kEvents + "\r\n"},
        {"the last chunk cut", kChunked + "1e\r\n" + kEvents + "\r\n0\r\n"},
    };
}

// On routes that are streams, these are not answers either. Through a peer the end of a connection
// may be the peer's.
std::vector<Form> cutStreams(bool isProxied)
{
    std::vector<Form> forms{
        {"a stream cut within an event", kHead + "\r\n" + kEvents + "id: 3\nda"},
        {"a stream cut within its first event", kHead + "\r\nid: 1\nda"},
    };
    if (isProxied)
        forms.push_back({"a stream cut after an event", kHead + "\r\n" + kEvents});
    return forms;
}

struct Route
{
    std::string path;
    std::string method;
    bool isStream = false;
};

const std::vector<Route> kRoutes{{"/safe/", "GET"},
                                 {"/once/", "POST"},
                                 {"/stream/", "GET", true},
                                 {"/unresumable/", "GET", true}};

// A node before upstreams that send what a test gives them, and, if `isProxied`, one that reaches
// them only through the first.
class CutAnswers : public Deployment
{
public:
    explicit CutAnswers(bool isProxied = false) : m_node(isProxied ? 1 : 0)
    {
        start();
        if (isProxied) {
            startNode(1);
            REQUIRE(Fleet::waitFor([&] { return isReady(1); }));
            REQUIRE(Fleet::waitFor([&] { return logged(1, "live=\"2\"") > 0; }));
            cutOffFromUpstreams(1, Break::Refuse);
            REQUIRE(Fleet::waitFor([&] {
                const std::string id = nextId();
                return call("GET", "/safe/" + id, id, 1).status == 200 && isThroughPeer(id);
            }));
        }
        m_config["routes"].push_back({{"name", "unresumable"},
                                      {"host", "a.example"},
                                      {"path-prefix", "/unresumable/"},
                                      {"kind", "streaming"},
                                      {"service", "board"},
                                      {"timeout-ms", 5'000},
                                      {"max-attempts", 2},
                                      {"target-latency-ms", 400}});
        store.put("op/config", m_config.dump());
        for (const int it : {0, m_node})
            REQUIRE(Fleet::waitFor([&] { return logged(it, "routes=\"5\"") > 0; }));
        for (const char *it : {"i-1", "i-2"})
            store.remove(std::string("servers/") + it);
    }

    // Two new upstreams that send these bytes take the place of those before.
    void replaceUpstreams(const std::string &bytes)
    {
        removeUpstreams();
        for (const char *it : {"2", "3"}) {
            const int n = ++m_upstreams;
            const std::string address = net + it + ":" + std::to_string(9'000 + n);
            m_raw.push_back(std::make_unique<RawUpstream>(address));
            m_raw.back()->setAnswer(bytes);
            putUpstreamRecord({"r-" + std::to_string(n), address, "v1"});
        }
    }

    // One new upstream that sends these bytes, and one that runs streams whole.
    void mixUpstreams(const std::string &bytes)
    {
        replaceUpstreams(bytes);
        store.remove("servers/r-" + std::to_string(m_upstreams));
        putUpstream("i-2");
    }

    // The second upstream sends other bytes.
    void setSecond(const std::string &bytes) { m_raw.back()->setAnswer(bytes); }

    // Whether the second upstream's last request was for the rest of a stream after this event.
    bool isResumedAtSecond(const std::string &event) const
    {
        return m_raw.back()->lastField("Last-Event-Id") == event;
    }

    void setEnd(RawUpstream::End end)
    {
        for (const auto &it : m_raw)
            it->setEnd(end);
    }

    // Answers come before the bodies of their requests have been read.
    void setEarly()
    {
        for (const auto &it : m_raw)
            it->setEarly(true);
    }

    // Allows bodies of this length.
    void allowBodies(std::size_t bytes)
    {
        m_config["version"] = 3;
        m_config["limits"]["max-body-bytes"] = bytes;
        store.put("op/config", m_config.dump());
        REQUIRE(Fleet::waitFor([&] {
            return call("POST", "/once/", nextId(), m_node, "key-t", std::string(bytes, 'x')).status
                   != 413;
        }));
    }

    // The text of a request.
    static std::string request(const std::string &path, const std::string &id)
    {
        return "GET " + path + id + " HTTP/1.1\r\nHost: a.example\r\nCredential: key-t\r\n"
               + "Request-Deadline: 4000\r\nRequest-Id: " + id + "\r\n\r\n";
    }

    // Calls until an upstream's given bytes were the answer to a call. Other upstreams, which the
    // node still knows, may answer before.
    HttpAnswer callPlayed(const Route &route, const std::string &body = "body")
    {
        HttpAnswer answer;
        REQUIRE(Fleet::waitFor([&] {
            const int before = played();
            lastId = nextId();
            answer = call(route.method, route.path + lastId, lastId, m_node, "key-t", body);
            return played() > before;
        }));
        return answer;
    }

    // Whether the request's last attempt went through a peer.
    bool isThroughPeer(const std::string &id) const
    {
        const std::string line = lastLogged(m_node, "request=\"" + id + "\"");
        return !line.empty() && line.find("proxy=\"\"") == std::string::npos;
    }

    std::string nextId() { return "c-" + std::to_string(++m_calls); }

    int node() const { return m_node; }

    // Answers of the current upstreams that send what they were given.
    int played() const
    {
        int n = 0;
        for (const auto &it : m_raw)
            n += it->answered();
        return n;
    }

    std::string lastId; // of the last call

private:
    void removeUpstreams()
    {
        m_raw.clear();
        for (const int it : {m_upstreams - 1, m_upstreams})
            store.remove("servers/r-" + std::to_string(it));
    }

    const int m_node; // that is called
    nlohmann::json m_config = configuration(2);
    int m_calls = 0;
    int m_upstreams = 0;
    std::vector<std::unique_ptr<RawUpstream>> m_raw;
};

// Plays each form to each kind of route, and checks that no caller takes it for a success.
void playAll(bool isProxied)
{
    CutAnswers fleet(isProxied);
    std::vector<Form> forms = cutForms();
    const std::size_t generalForms = forms.size();
    for (const Form &it : cutStreams(isProxied))
        forms.push_back(it);
    for (std::size_t n = 0; n < forms.size(); ++n) {
        const Form &form = forms[n];
        CAPTURE(form.name);
        for (const Route &route : kRoutes) {
            if (n >= generalForms && !route.isStream && !isProxied)
                continue;
            CAPTURE(route.path);
            fleet.replaceUpstreams(form.bytes);
            const HttpAnswer answer = fleet.callPlayed(route);
            CAPTURE(answer.status);
            CAPTURE(answer.body);
            CHECK_FALSE((answer.status == 200 && answer.isComplete));
            // A failure that may have run promises nothing.
            if (answer.isComplete)
                CHECK(answer.status == 502);
        }
    }
}

} // namespace

// Guards against a 200 with an empty or short body, framed as whole.
TEST_CASE("cut answers: no answer that stops becomes a success [node][cut-answers]")
{
    playAll(false);
}

TEST_CASE("cut answers: no answer that stops becomes a success through a peer [node][cut-answers]")
{
    playAll(true);
}

// Guards against a stream that ends before its last event, framed as whole.
TEST_CASE("cut answers: a stream without framing goes on at another upstream after its last event "
          "[node][cut-answers]")
{
    CutAnswers fleet;
    for (const int events : {5, 2}) { // more follow, or it was whole
        fleet.second.setStreams(events, 0);
        fleet.mixUpstreams(std::string(kHead).append("\r\n").append(kEvents));
        const HttpAnswer answer = fleet.callPlayed({"/stream/", "GET", true});
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        std::string expected;
        for (int it = 1; it <= events; ++it)
            expected += "id: " + std::to_string(it) + "\ndata: " + std::to_string(it) + "\n\n";
        CHECK(answer.body == expected);
        CHECK(fleet.second.lastField("Last-Event-Id") == "2");
        CHECK(Fleet::waitFor([&] { return fleet.logged(0, "taken_as=\"cut\"") > 0; }));
    }
}

// Guards against whole streams that are cut because only the end of their connection tells it.
TEST_CASE("cut answers: a stream that ends with its upstream's connection ends with its caller's, "
          "and not with a last chunk [node][cut-answers]")
{
    CutAnswers fleet;
    for (const char *path : {"/unresumable/", "/stream/"}) {
        CAPTURE(path);
        fleet.replaceUpstreams(kUnframed);
        if (path == std::string("/stream/")) // it is asked for more, and has none
            fleet.setSecond(kHead + "\r\n");
        std::string answer;
        REQUIRE(Fleet::waitFor([&] {
            const int before = fleet.played();
            answer = rawCall(fleet.host(0) + ":8080", CutAnswers::request(path, fleet.nextId()));
            return fleet.played() > before;
        }));
        CAPTURE(answer);
        CHECK(answer.rfind("HTTP/1.1 200", 0) == 0);
        CHECK(answer.find("Connection: close\r\n") != std::string::npos);
        CHECK(answer.find("Transfer-Encoding") == std::string::npos);
        CHECK(answer.substr(answer.find("\r\n\r\n") + 4) == kEvents);
        CHECK(Fleet::waitFor([&] {
            return fleet.lastLogged(0, "name=RequestEnded").find("outcome=\"answered\"")
                   != std::string::npos;
        }));
    }
}

// Guards against a stream that ends in order although its second run has shown that there is more,
// or that has brought no event at all.
TEST_CASE("cut answers: a stream without framing that is known to be cut does not end in order "
          "[node][cut-answers]")
{
    CutAnswers fleet;
    const auto callOnce = [&](const char *path) {
        KeptConnection caller;
        HttpAnswer answer;
        if (caller.connect(fleet.host(0)) && caller.send(CutAnswers::request(path, fleet.nextId())))
            answer = caller.read();
        return answer;
    };
    for (const RawUpstream::End end : {RawUpstream::End::Close, RawUpstream::End::Reset}) {
        CAPTURE(static_cast<int>(end));
        fleet.replaceUpstreams(kUnframed);
        fleet.setSecond(kHead + "\r\nid: 3\nda");
        fleet.setEnd(end);
        bool isPlayed = false;
        REQUIRE(Fleet::waitFor([&] {
            const int before = fleet.played();
            const HttpAnswer answer = callOnce("/stream/");
            // If the second upstream is asked first, its part of an event starts no stream, and
            // nothing shows that the first one's stream is cut but a reset.
            const bool isKnownToBeCut
                = end == RawUpstream::End::Reset || fleet.isResumedAtSecond("2");
            isPlayed = fleet.played() == before + 2 && isKnownToBeCut;
            if (isPlayed && answer.status == 200)
                CHECK_FALSE(answer.isComplete);
            return isPlayed && answer.status == 200;
        }));
    }
    for (const char *path : {"/unresumable/", "/stream/"}) {
        CAPTURE(path);
        fleet.replaceUpstreams(kHead + "\r\n: ok\n\n");
        REQUIRE(Fleet::waitFor([&] {
            const int before = fleet.played();
            const HttpAnswer answer = callOnce(path);
            CHECK_FALSE((answer.status == 200 && answer.isComplete && fleet.played() > before));
            return fleet.played() > before;
        }));
    }
}

// Guards against an answer that ends early and appears complete, as its end is told by that of its
// connection.
TEST_CASE("cut answers: a stream without framing whose upstream resets it, or whose node is "
          "killed, is reset [node][cut-answers]")
{
    CutAnswers fleet;
    fleet.replaceUpstreams(kUnframed);
    for (const RawUpstream::End end : {RawUpstream::End::Reset, RawUpstream::End::Hold}) {
        CAPTURE(static_cast<int>(end));
        fleet.setEnd(end);
        HttpAnswer answer;
        REQUIRE(Fleet::waitFor([&] {
            const int before = fleet.played();
            KeptConnection caller;
            const std::string id = fleet.nextId();
            if (!caller.connect(fleet.host(0))
                || !caller.send(CutAnswers::request("/unresumable/", id)) || !caller.readHead())
                return false;
            if (end == RawUpstream::End::Hold && fleet.played() > before)
                fleet.nodes[0].kill();
            answer = caller.read();
            return fleet.played() > before;
        }));
        CHECK(answer.status == 200);
        CHECK_FALSE(answer.isComplete);
    }
}

TEST_CASE("cut answers: a body that ends with its connection is whole on routes that are not "
          "streams [node][cut-answers]")
{
    CutAnswers fleet;
    for (const Route &route : {kRoutes[0], kRoutes[1]}) {
        CAPTURE(route.path);
        fleet.replaceUpstreams(kHead + "\r\nbody");
        const HttpAnswer answer = fleet.callPlayed(route);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        CHECK(answer.body == "body");
        CHECK(Fleet::waitFor([&] {
            return fleet.lastLogged(0, "AnswerUnframed").find("taken_as=\"whole\"")
                   != std::string::npos;
        }));
    }
    // Other statuses than successes are passed on without a body, too.
    fleet.replaceUpstreams(
        "HTTP/1.1 404 Not Found\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n");
    CHECK(fleet.callPlayed(kRoutes[0]).status == 404);
}

// Guards against bytes after an answer that has no body, and against such an answer taken for a cut
// one.
TEST_CASE("cut answers: answers that have no body by their nature are whole "
          "[node][cut-answers]")
{
    const std::string fields = "\r\nRequest-Id: {id}\r\nResponse-Seal: s\r\n\r\n";
    const std::vector<Form> forms{{"HEAD", "HTTP/1.1 200 OK" + fields},
                                  {"GET", "HTTP/1.1 204 No Content" + fields},
                                  {"GET", "HTTP/1.1 304 Not Modified" + fields}};
    for (const bool isProxied : {false, true}) {
        CAPTURE(isProxied);
        CutAnswers fleet(isProxied);
        for (const Form &form : forms) {
            CAPTURE(form.bytes);
            for (const char *path : {"/safe/", "/stream/"}) {
                CAPTURE(path);
                fleet.replaceUpstreams(form.bytes);
                std::string answer;
                const std::string status = form.bytes.substr(9, 3);
                REQUIRE(Fleet::waitFor([&] {
                    const int before = fleet.played();
                    const std::string id = fleet.nextId();
                    std::string request = form.name;
                    request.append(" ").append(path).append(id);
                    request.append(" HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n"
                                   "Credential: key-t\r\nRequest-Deadline: 4000\r\n"
                                   "Request-Id: ");
                    request.append(id).append("\r\n\r\n");
                    answer = rawCall(fleet.host(fleet.node()) + ":8080", request);
                    return fleet.played() > before;
                }));
                CAPTURE(answer);
                CHECK(answer.rfind("HTTP/1.1 " + status, 0) == 0);
                CHECK(answer.find("\r\n\r\n") == answer.size() - 4);
            }
        }
    }
}

// Guards against answers that are not valid and reach callers as answers.
TEST_CASE("broken answers: no answer that is not valid reaches a caller [node][broken-answers]")
{
    const std::string fields = "Request-Id: {id}\r\nResponse-Seal: s\r\n";
    const std::string body = "Content-Length: 30\r\n\r\n" + kEvents;
    struct BrokenForm
    {
        std::string cause; // that the log gives
        std::string bytes;
    };
    const std::vector<BrokenForm> forms{
        {"bad status", "HTTP/1.1 000 Odd\r\n" + fields + body},
        {"bad status", "HTTP/1.1 099 Odd\r\n" + fields + body},
        {"bad status", "HTTP/1.1 600 Odd\r\n" + fields + body},
        {"bad field", kHead + "A b: c\r\n" + body},
        {"bad field", kHead + "A\x01: c\r\n" + body},
        {"bad field", kHead + "A : c\r\n" + body},
        {"bad obs-fold", kHead + " t\r\n" + body},
        {"bad Transfer-Encoding",
         kHead + "Transfer-Encoding: chunked, gzip\r\n\r\n1e\r\n" + kEvents + "\r\n0\r\n\r\n"},
        {"bad Transfer-Encoding",
         kHead + "Transfer-Encoding: gzip, chunked\r\n\r\n1e\r\n" + kEvents + "\r\n0\r\n\r\n"},
    };
    CutAnswers fleet;
    for (const BrokenForm &form : forms) {
        CAPTURE(form.bytes);
        for (const Route &route : kRoutes) {
            CAPTURE(route.path);
            fleet.replaceUpstreams(form.bytes);
            const HttpAnswer answer = fleet.callPlayed(route);
            CAPTURE(answer.body);
            CHECK(answer.status == 502);
            CHECK(answer.isComplete);
            CHECK(Fleet::waitFor([&] {
                const std::string line = fleet.lastLogged(0, "name=AttemptFailed");
                return CutAnswers::fieldOf(line, "request") == fleet.lastId
                       && CutAnswers::fieldOf(line, "cause") == form.cause;
            }));
        }
    }
}

// Guards against a part of an answer that becomes a success, as the reset is reported to the upload
// alone.
TEST_CASE("broken answers: a long upload that is answered with a part of an answer and a reset "
          "fails [node][broken-answers]")
{
    constexpr std::size_t kUploadBytes = 8'000'000;
    const std::string upload(kUploadBytes, 'x');
    for (const bool isProxied : {false, true}) {
        CAPTURE(isProxied);
        CutAnswers fleet(isProxied);
        fleet.allowBodies(kUploadBytes);
        for (const Route &route : kRoutes) {
            CAPTURE(route.path);
            fleet.replaceUpstreams(kUnframed);
            fleet.setEnd(RawUpstream::End::Reset);
            fleet.setEarly();
            const HttpAnswer answer = fleet.callPlayed({route.path, "POST"}, upload);
            CAPTURE(answer.status);
            CHECK_FALSE((answer.status == 200 && answer.isComplete));
        }
    }
}

// Guards against sound answers that are lost with those that break off.
TEST_CASE("broken answers: an early answer to a long upload whose upstream closes its sending side "
          "in order is whole [node][broken-answers]")
{
    constexpr std::size_t kUploadBytes = 8'000'000;
    const std::string upload(kUploadBytes, 'x');
    CutAnswers fleet;
    fleet.allowBodies(kUploadBytes);
    for (const Route &route : {kRoutes[0], kRoutes[1], kRoutes[3]}) {
        CAPTURE(route.path);
        fleet.replaceUpstreams(kUnframed);
        fleet.setEnd(RawUpstream::End::CloseSending);
        fleet.setEarly();
        const HttpAnswer answer = fleet.callPlayed({route.path, "POST"}, upload);
        CHECK(answer.status == 200);
        CHECK(answer.isComplete);
        CHECK(answer.body == kEvents);
    }
}
