// SPDX-License-Identifier: MIT
// Rule ROUTE: an operator takes the last team out of the configuration. From then on nobody holds a
// key, so nobody may be served.
#include "lab.hpp"

using namespace review;

namespace {

Json configuration(int version, const Json &tenants)
{
    return {{"version", version},
            {"routes",
             {{{"name", "r-post"},
               {"host", "board.example"},
               {"path-prefix", "/post/"},
               {"kind", "unsafe"},
               {"service", "app"},
               {"timeout-ms", 800},
               {"target-latency-ms", 300},
               {"max-attempts", 1},
               {"priority", 2},
               {"public", false}}}},
            {"services", {{{"name", "app"}, {"max-connections", 110}}}},
            {"limits",
             {{"max-header-bytes", 16'384},
              {"max-body-bytes", 4'194'304},
              {"header-timeout-ms", 3'000},
              {"idle-timeout-ms", 15'000}}},
            {"tenants", tenants}};
}

std::string request(const std::string &id, const std::string &key)
{
    return "POST /post/1 HTTP/1.1\r\nHost: board.example\r\nRequest-Id: " + id
           + "\r\nRequest-Deadline: 1500\r\nCredential: " + key
           + "\r\nContent-Length: 6\r\n\r\nnotice";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Lab lab;
    std::mutex mutex;
    std::vector<std::string> runs;
    Worker worker(lab.at(2, 8000), [&](const Request &it, Stream &stream) {
        const std::string id = it.head.field("request-id");
        {
            const std::lock_guard lock(mutex);
            runs.push_back(id);
        }
        record.line("worker i-1 runs " + it.head.first + ", Request-Id " + id + ", Tenant '"
                    + it.head.field("tenant") + "'");
        return stream.write("HTTP/1.1 200 OK\r\nRequest-Id: " + id
                            + "\r\nResponse-Seal: seal\r\nContent-Length: 2\r\n\r\nok");
    });
    if (!worker.isListening())
        return kNotRun;
    const Json tenants{{{"name", "comune"}, {"api-keys", {"held-key"}}, {"priority", 1}}};
    lab.store->put("op/config", configuration(1, tenants).dump());
    lab.putWorker("i-1", "app", lab.at(2, 8000));
    for (const int node : {0, 1})
        lab.startNode(node);
    for (const int node : {0, 1}) {
        if (!lab.waitReady(node)) {
            record.line("a node did not become ready");
            return kNotRun;
        }
    }
    const auto ask = [&](int node, const std::string &id, const std::string &key) {
        Client client(lab.callers(node));
        const Answer answer = client.call(request(id, key));
        record.line("client sends " + id + " with key '" + key + "' to node " + std::to_string(node)
                    + ": status " + std::to_string(answer.status) + " " + answer.body);
        return answer.status;
    };
    if (ask(0, "before-held", "held-key") != 200 || ask(1, "before-other", "never-held") != 401) {
        record.line("the deployment does not work before the change");
        return kNotRun;
    }
    if (hasTrouble()) {
        lab.store->put("op/config", configuration(2, Json::array()).dump());
        record.line(
            "the store acknowledges version 2: \"tenants\": []; the key 'held-key' is taken away");
    }
    // configuration-ms is 2,000.
    std::this_thread::sleep_for(milliseconds(4'000));
    int n = 0;
    for (const int node : {0, 1}) {
        ask(node, "after-never-held-" + std::to_string(++n), "never-held");
        ask(node, "after-revoked-" + std::to_string(++n), hasTrouble() ? "held-key" : "other-key");
    }
    const std::lock_guard lock(mutex);
    const auto ranWithout = [](const std::string &it) { return it.starts_with("after-"); };
    const auto broken = std::count_if(runs.begin(), runs.end(), ranWithout);
    record.line("requests run whose key no configuration in force holds: "
                + std::to_string(broken));
    return broken > 0 ? kBroken : kHeld;
}
