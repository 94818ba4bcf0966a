// SPDX-License-Identifier: MIT
// Rule MIXED: a HEAD request on a route that has been removed. No bytes may follow its answer's
// head, and the next answer on the connection must be one.
#include "lab.hpp"

using namespace review;

namespace {

Json configuration(int version, bool hasAsset)
{
    const auto route = [](const char *name, const char *prefix) {
        return Json{{"name", name},   {"host", "board.example"},  {"path-prefix", prefix},
                    {"kind", "safe"}, {"service", "app"},         {"timeout-ms", 800},
                    {"priority", 2},  {"target-latency-ms", 300}, {"max-attempts", 2},
                    {"public", false}};
    };
    Json routes{route("r-read", "/read/")};
    if (hasAsset)
        routes.push_back(route("r-asset", "/asset/"));
    return {{"version", version},
            {"routes", routes},
            {"services", {{{"name", "app"}, {"max-connections", 110}}}},
            {"limits",
             {{"max-header-bytes", 16'384},
              {"max-body-bytes", 4'194'304},
              {"header-timeout-ms", 3'000},
              {"idle-timeout-ms", 15'000}}},
            {"tenants", {{{"name", "comune"}, {"api-keys", {"held-key"}}, {"priority", 1}}}}};
}

std::string request(const std::string &method, const std::string &path, const std::string &id)
{
    return method + " " + path + " HTTP/1.1\r\nHost: board.example\r\nRequest-Id: " + id
           + "\r\nRequest-Deadline: 1500\r\nCredential: held-key\r\n\r\n";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Lab lab;
    Worker worker(lab.at(2, 8000), [&](const Request &it, Stream &stream) {
        const std::string id = it.head.field("request-id");
        record.line("worker i-1 runs " + it.head.first + ", Request-Id " + id);
        return stream.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                            + "\r\nResponse-Seal: seal\r\nContent-Length: 4\r\n\r\n"
                            + (it.method == "HEAD" ? "" : "page"));
    });
    if (!worker.isListening())
        return kNotRun;
    lab.store->put("op/config", configuration(1, true).dump());
    lab.putWorker("i-1", "app", lab.at(2, 8000));
    lab.startNode(0);
    if (!lab.waitReady(0)) {
        record.line("the node did not become ready");
        return kNotRun;
    }
    if (hasTrouble()) {
        lab.store->put("op/config", configuration(2, false).dump());
        record.line("the store acknowledges version 2, without the route /asset/");
    }
    // configuration-ms is 2,000.
    std::this_thread::sleep_for(milliseconds(4'000));
    Client client(lab.callers(0));
    const Answer head = client.call(request("HEAD", "/asset/1", "head-1"), true);
    record.line("client sends HEAD /asset/1: '" + head.head.first + "', Connection '"
                + head.head.field("connection") + "'");
    if (head.status != (hasTrouble() ? 404 : 200))
        return kNotRun;
    client.stream().read(milliseconds(500)); // nothing may come
    const std::string surplus = client.stream().bytes();
    record.line("bytes after the answer, with no request waiting: '" + surplus + "'");
    if (client.stream().hasEnded()) {
        record.line("the node has closed the connection");
        return surplus.empty() ? kHeld : kBroken;
    }
    const Answer next = client.call(request("GET", "/read/1", "get-2"));
    record.line("client sends GET /read/1 on the same connection, and reads the line '"
                + next.head.first + "'");
    return surplus.empty() && next.status == 200 && next.body == "page" ? kHeld : kBroken;
}
