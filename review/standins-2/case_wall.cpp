// SPDX-License-Identifier: MIT
// Rule WALL: an operator makes a team isolated. What its earlier requests left in the memory of an
// engine must not be used by another team from then on, nor the other way round.
#include "lab.hpp"

using namespace review;

namespace {

constexpr const char *kModel = "m0";

Json configuration(int version, bool isIsolated)
{
    return {
        {"version", version},
        {"routes",
         {{{"name", "r-digest"},
           {"host", "board.example"},
           {"path-prefix", "/digest/"},
           {"kind", "streaming"},
           {"service", "lingua"},
           {"timeout-ms", 10'000},
           {"target-latency-ms", 800},
           {"max-attempts", 2},
           {"priority", 1},
           {"public", false},
           {"sticky", true},
           {"resumable", true},
           {"gap_aim_ms", 500}}}},
        {"services",
         {{{"name", "lingua"},
           {"max-connections", 240},
           {"engine",
            {{"slots", 32},
             {"kv-cache-tokens", 87'295},
             {"kv-token-bytes", 18'432},
             {"bandwidth-mbps", 180'000.0},
             {"max-in-flight", 12},
             {"models", {{{"name", kModel}}}}}}}}},
        {"limits",
         {{"max-header-bytes", 16'384},
          {"max-body-bytes", 4'194'304},
          {"header-timeout-ms", 3'000},
          {"idle-timeout-ms", 15'000}}},
        {"tenants",
         {{{"name", "comune-a"},
           {"api-keys", {"key-a"}},
           {"priority", 1},
           {"isolated", isIsolated}},
          {{"name", "comune-b"}, {"api-keys", {"key-b"}}, {"priority", 1}, {"isolated", false}}}}};
}

// The memory of an engine: a part that is kept under the same text is not read again if all parts
// before it are kept too.
class Memory
{
public:
    struct Use
    {
        std::string part;
        std::string maker; // the team whose request made it
    };

    // Returns the parts that a request finds, and keeps all its parts.
    std::vector<Use> run(const std::string &salt, const std::vector<std::string> &parts,
                         const std::string &team)
    {
        std::vector<Use> used;
        std::string path = salt;
        bool isFound = true;
        for (const std::string &it : parts) {
            path += "/" + it;
            const auto known = m_makers.find(path);
            isFound = isFound && known != m_makers.end();
            if (isFound)
                used.push_back({it, known->second});
            else
                m_makers[path] = team;
        }
        return used;
    }

private:
    std::map<std::string, std::string> m_makers; // by salt and parts
};

std::vector<std::string> partsOf(const std::string &prefix)
{
    std::vector<std::string> parts;
    std::size_t at = 0;
    while (at < prefix.size()) {
        const std::size_t end = std::min(prefix.find(',', at), prefix.size());
        parts.push_back(prefix.substr(at, prefix.find(':', at) - at));
        at = end + 1;
    }
    return parts;
}

std::string request(const std::string &id, const std::string &key, const std::string &own)
{
    return "POST /digest/1 HTTP/1.1\r\nHost: board.example\r\nRequest-Id: " + id
           + "\r\nModel: " + kModel + "\r\nToken-Usage: 17060,30\r\nPrompt-Prefix: 5c1e07a2:12800,"
           + own + ":4260\r\nRequest-Deadline: 10000\r\nCredential: " + key
           + "\r\nContent-Length: 6\r\n\r\nprompt";
}

std::string chunk(const std::string &text)
{
    char size[16];
    std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
    return size + text + "\r\n";
}

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Lab lab;
    std::mutex mutex;
    Memory memory;
    std::vector<std::string> shared; // what a run used of another team's memory
    Worker engine(lab.at(2, 8000), [&](const Request &it, Stream &stream) {
        const std::string id = it.head.field("request-id");
        const std::string team = it.head.field("tenant");
        const std::string salt = it.head.field("cache-salt");
        std::string uses;
        {
            const std::lock_guard lock(mutex);
            for (const auto &use :
                 memory.run(salt, partsOf(it.head.field("prompt-prefix")), team)) {
                uses += " " + use.part + " (made by " + use.maker + ")";
                if (use.maker != team)
                    shared.push_back(id);
            }
        }
        record.line("engine i-1 runs " + id + " of " + team + ", Cache-Salt '" + salt
                    + "', Expect-Version " + it.head.field("expect-version")
                    + "; from memory:" + (uses.empty() ? " nothing" : uses));
        std::string answer = "HTTP/1.1 200 OK\r\nRequest-Id: " + id
                             + "\r\nResponse-Seal: seal\r\nVersions: 1\r\nContent-Type: "
                               "text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n";
        for (const char *event : {"1", "2", "3"})
            answer += chunk(std::string("id: ") + event + "\ndata: token\n\n");
        return stream.write(answer + "0\r\n\r\n");
    });
    if (!engine.isListening())
        return kNotRun;
    // Without the trouble the team is isolated from the start.
    lab.store->put("op/version/" + std::string(kModel),
                   Json{{"model", kModel}, {"version", 1}}.dump());
    lab.store->put("op/config", configuration(1, !hasTrouble()).dump());
    lab.putWorker("i-1", "lingua", lab.at(2, 8000),
                  {{"stage", "both"},
                   {"models", {{{"name", kModel}, {"version", 1}, {"adapters", Json::array()}}}}});
    for (const int node : {0, 1})
        lab.startNode(node);
    for (const int node : {0, 1}) {
        if (!lab.waitReady(node)) {
            record.line("a node did not become ready");
            return kNotRun;
        }
    }
    const auto ask
        = [&](int node, const std::string &id, const std::string &key, const std::string &own) {
              Client client(lab.callers(node));
              const Answer answer = client.call(request(id, key, own));
              record.line("client sends " + id + " with key '" + key + "' to node "
                          + std::to_string(node) + ": status " + std::to_string(answer.status)
                          + (answer.isWhole ? ", whole" : ", not whole"));
              return answer.status == 200 && answer.isWhole;
          };
    if (!ask(0, "a-before", "key-a", "a1"))
        return kNotRun;
    if (hasTrouble()) {
        lab.store->put("op/config", configuration(2, true).dump());
        record.line("the store acknowledges version 2: comune-a is isolated from now on");
    }
    // configuration-ms is 2,000.
    std::this_thread::sleep_for(milliseconds(5'000));
    if (!ask(0, "b-after-1", "key-b", "b1") || !ask(1, "b-after-2", "key-b", "b2")
        || !ask(1, "a-after", "key-a", "a2"))
        return kNotRun;
    const std::lock_guard lock(mutex);
    record.line("runs, later than configuration-ms, on memory of the other team while one of the "
                "two is isolated: "
                + std::to_string(shared.size()));
    return shared.empty() ? kHeld : kBroken;
}
