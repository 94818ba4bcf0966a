// SPDX-License-Identifier: MIT
// Rule UNASKED: a request that stands inside the body of another one, whose Transfer-Encoding does
// not end with "chunked", must not run, nor may the outer one run without its body.
#include "lab.hpp"

using namespace review;

namespace {

Json configuration()
{
    const auto route = [](const char *name, const char *prefix, const char *kind, int attempts) {
        return Json{{"name", name},   {"host", "board.example"},  {"path-prefix", prefix},
                    {"kind", kind},   {"service", "app"},         {"timeout-ms", 800},
                    {"priority", 2},  {"target-latency-ms", 300}, {"max-attempts", attempts},
                    {"public", false}};
    };
    return {
        {"version", 1},
        {"routes", {route("r-post", "/post/", "unsafe", 1), route("r-read", "/read/", "safe", 2)}},
        {"services", {{{"name", "app"}, {"max-connections", 110}}}},
        {"limits",
         {{"max-header-bytes", 16'384},
          {"max-body-bytes", 4'194'304},
          {"header-timeout-ms", 3'000},
          {"idle-timeout-ms", 15'000}}},
        {"tenants", {{{"name", "comune"}, {"api-keys", {"held-key"}}, {"priority", 1}}}}};
}

constexpr const char *kInner
    = "POST /post/2 HTTP/1.1\r\nHost: board.example\r\nRequest-Id: inside-the-body\r\n"
      "Request-Deadline: 1500\r\nCredential: held-key\r\nContent-Length: 3\r\n\r\nbad";

std::string outer(const std::string &id, const std::string &framing)
{
    return "POST /post/1 HTTP/1.1\r\nHost: board.example\r\nRequest-Id: " + id
           + "\r\nRequest-Deadline: 1500\r\nCredential: held-key\r\n" + framing + "\r\n\r\n";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Lab lab;
    std::mutex mutex;
    int smuggled = 0;
    int bodiesLost = 0;
    Worker worker(lab.at(2, 8000), [&](const Request &it, Stream &stream) {
        const std::string id = it.head.field("request-id");
        {
            const std::lock_guard lock(mutex);
            smuggled += id == "inside-the-body" ? 1 : 0;
            bodiesLost += id.starts_with("outer") && it.body != kInner ? 1 : 0;
        }
        record.line("worker i-1 runs " + it.head.first + ", Request-Id " + id + ", with "
                    + std::to_string(it.body.size()) + " bytes of body");
        return stream.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                            + "\r\nResponse-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
    });
    if (!worker.isListening())
        return kNotRun;
    lab.store->put("op/config", configuration().dump());
    lab.putWorker("i-1", "app", lab.at(2, 8000));
    lab.startNode(0);
    if (!lab.waitReady(0)) {
        record.line("the node did not become ready");
        return kNotRun;
    }
    const std::string length = std::to_string(std::string(kInner).size());
    int n = 0;
    for (const char *coding : {"identity", "gzip", "chunked, identity"}) {
        const std::string framing = hasTrouble() ? std::string("Transfer-Encoding: ") + coding
                                                 : "Content-Length: " + length;
        const std::string id = "outer-" + std::to_string(++n);
        Client client(lab.callers(0));
        const Answer answer = client.call(outer(id, framing) + kInner, false, milliseconds(3'000));
        record.line("client sends " + id + " (" + framing + ") with a body of " + length
                    + " bytes: status " + std::to_string(answer.status));
        client.stream().read(milliseconds(500));
        if (!client.stream().bytes().empty())
            record.line("a further answer comes on this connection: "
                        + client.stream().bytes().substr(0, client.stream().bytes().find('\r')));
        if (!hasTrouble() && answer.status != 200)
            return kNotRun;
    }
    const std::lock_guard lock(mutex);
    record.line("requests run that stood in the body of another one: " + std::to_string(smuggled)
                + "; requests run without their body: " + std::to_string(bodiesLost));
    return smuggled + bodiesLost > 0 ? kBroken : kHeld;
}
