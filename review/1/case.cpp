// SPDX-License-Identifier: MIT
// Callers are sending the heads of requests that may run once when their node is frozen, and finish
// them meanwhile. See claim.txt.
#include <cstring>

#include "../standins/node.hpp"
#include "../standins/worker.hpp"

namespace {

using namespace review;

constexpr int kNodes = 3;
constexpr int kCallers = 8;
constexpr milliseconds kFreeze{4'000};
constexpr milliseconds kTimeLimit{10'000};
constexpr milliseconds kWork{300};

Json configuration()
{
    return {
        {"version", 1},
        {"routes",
         {{{"name", "post"},
           {"host", "board.example"},
           {"path-prefix", "/post/"},
           {"kind", "unsafe"},
           {"service", "board"},
           {"timeout-ms", kTimeLimit.count()},
           {"target-latency-ms", 300},
           {"priority", 2},
           {"max-attempts", 1},
           {"public", false}}}},
        {"services", {{{"name", "board"}, {"health-path", "/health"}, {"max-connections", 110}}}},
        {"limits",
         {{"max-header-bytes", 16'384},
          {"max-body-bytes", 4'194'304},
          {"header-timeout-ms", 3'000},
          {"idle-timeout-ms", 15'000}}},
        {"tenants", {{{"name", "parish"}, {"api-keys", {"key-parish"}}, {"priority", 1}}}}};
}

// The request in the two parts in which a caller on a slow link sends it.
std::pair<std::string, std::string> requestOf(const std::string &id)
{
    return {"POST /post/notice HTTP/1.1\r\nHost: board.example\r\nRequest-Id: " + id + "\r\n",
            "Request-Deadline: " + std::to_string(kTimeLimit.count())
                + "\r\nCredential: key-parish\r\nContent-Length: 0\r\n\r\n"};
}

struct Sent
{
    std::string id;
    int fd = -1;
    std::vector<int> statuses; // of all answers on the channel
};

// Whether the status promises that the request has not run and never will.
bool isPromise(int status)
{
    return status == 408 || status == 421 || status == 429 || status == 503;
}

void readAnswers(Sent &request, Record &record)
{
    MessageReader reader(request.fd);
    while (const auto answer = reader.read(milliseconds(3'000))) {
        request.statuses.push_back(answer->status());
        record.line("caller of " + request.id + " gets " + std::to_string(answer->status()) + " "
                    + answer->body);
        if (answer->field("Connection") == "close")
            break;
    }
    ::close(request.fd);
}

int run(const char *recordPath)
{
    const char *const trouble = std::getenv("TROUBLE");
    const bool isFrozen = trouble == nullptr || std::strcmp(trouble, "0") != 0;
    // Threads of the stand-ins use these until the process ends.
    Record &record = *new Record(recordPath);
    const Place place;
    const std::string storeAddress = place.host(1) + ":8562";
    Store &store = *new Store(storeAddress);
    Worker &first = *new Worker("i-1", place.host(2) + ":8481", kWork, record);
    Worker &second = *new Worker("i-2", place.host(3) + ":8481", kWork, record);
    if (!store.isListening() || !first.isListening() || !second.isListening())
        return 2;
    store.put("op/config", configuration().dump());
    first.announce(store, "board", "hall-0");
    second.announce(store, "board", "hall-1");
    std::vector<std::unique_ptr<Node>> nodes;
    for (int n = 0; n < kNodes; ++n) {
        nodes.push_back(
            std::make_unique<Node>(place, n, "front-" + std::to_string(n), storeAddress, false));
        if (!nodes.back()->start())
            return 2;
    }
    for (const auto &it : nodes) {
        if (!it->waitUntilReady(milliseconds(10'000)))
            return 2;
    }
    record.line("three nodes are ready");
    std::this_thread::sleep_for(milliseconds(1'000));

    std::vector<Sent> requests;
    for (int n = 0; n < kCallers; ++n) {
        Sent sent{"req-" + std::to_string(n), connectTo(nodes[0]->front()), {}};
        if (sent.fd < 0 || !sendAll(sent.fd, requestOf(sent.id).first))
            return 2;
        record.line("caller sends the first part of " + sent.id + " to " + nodes[0]->name());
        requests.push_back(sent);
    }
    std::this_thread::sleep_for(milliseconds(100));
    if (isFrozen) {
        nodes[0]->signal(SIGSTOP);
        record.line(nodes[0]->name() + " is frozen");
    }
    std::this_thread::sleep_for(milliseconds(100));
    for (const Sent &it : requests) {
        sendAll(it.fd, requestOf(it.id).second);
        record.line("caller sends the rest of " + it.id);
    }
    std::vector<std::thread> readers;
    std::this_thread::sleep_for(kFreeze - milliseconds(100));
    if (isFrozen) {
        nodes[0]->signal(SIGCONT);
        record.line(nodes[0]->name() + " goes on");
    }
    for (Sent &it : requests)
        readers.emplace_back([&record, &it] { readAnswers(it, record); });
    for (std::thread &it : readers)
        it.join();
    std::this_thread::sleep_for(milliseconds(2'000));

    int broken = 0;
    int answered = 0;
    for (const Sent &it : requests) {
        const int runs = first.runs(it.id) + second.runs(it.id);
        const int status = it.statuses.empty() ? 0 : it.statuses.front();
        answered += status == 200 ? 1 : 0;
        if (!isPromise(status) || runs == 0)
            continue;
        broken += 1;
        record.line("REFUSED is broken: " + it.id + " was answered with " + std::to_string(status)
                    + " and has run");
    }
    for (const auto &it : nodes) {
        if (const auto status = it->endStatus())
            record.line("also: " + it->name() + " has ended by itself: " + endText(*status));
    }
    record.line(std::to_string(requests.size()) + " requests, " + std::to_string(answered)
                + " answered with 200, " + std::to_string(broken) + " breaks");
    return broken > 0 ? 1 : 0;
}

} // namespace

int main(int argc, char **argv)
{
    // Threads of the stand-ins still run.
    std::_Exit(argc == 2 ? run(argv[1]) : 2);
}
