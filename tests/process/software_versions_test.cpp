// SPDX-License-Identifier: MIT
// Upstreams of two software versions in one service. Streams of different versions do not fit
// together.
#include <doctest/doctest.h>

#include <algorithm>
#include <csignal>
#include <memory>
#include <set>

#include "process/fleet.hpp"
#include "process/node_deployment.hpp"

using namespace fordwood::process;

namespace {

constexpr int kStreams = 40;

// Three nodes and four upstreams of one service, of which two are of an older software version.
class TwoVersions : public Deployment
{
public:
    struct Upstream
    {
        std::unique_ptr<UpstreamStandin> standin;
        std::string version;
    };

    TwoVersions()
    {
        putConfiguration(1);
        for (const char *it : {"v1", "v1", "v1.1", "v1.1"})
            addUpstream(it);
        for (const int it : {0, 1, 2}) {
            startNode(it);
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
        }
        for (const int it : {0, 1, 2})
            REQUIRE(Fleet::waitFor([&] { return metric("fordwood_stream_peers", it) == 2; }));
    }

    void addUpstream(const std::string &version)
    {
        const std::string id = "w-" + std::to_string(upstreams.size());
        const std::string address = net + std::to_string(20 + upstreams.size()) + ":8000";
        upstreams.push_back({std::make_unique<UpstreamStandin>(address, id), version});
        putUpstreamRecord({id, address, version});
    }

    // A stream of which a caller has read the first events.
    struct BrokenOff
    {
        std::string id; // of its first attempt
        std::unique_ptr<IdleConnection> connection;
    };

    // Begins a stream whose caller reads no more than its first events.
    BrokenOff begin(int node)
    {
        BrokenOff stream{nextId(), std::make_unique<IdleConnection>(host(node) + ":8080")};
        REQUIRE(stream.connection->exchange("GET /stream/1 HTTP/1.1\r\nHost: a.example\r\n"
                                            "Request-Id: "
                                                + stream.id
                                                + "\r\nCredential: key-t\r\n"
                                                  "Request-Deadline: 4000\r\n\r\n",
                                            "id: 2\n"));
        return stream;
    }

    // The caller takes the stream up. Returns the answer to its new request.
    HttpAnswer takeUp(const std::string &firstAttempt, int node, std::string id = "")
    {
        if (id.empty())
            id = nextId();
        m_takes[firstAttempt].push_back(id);
        return httpCall("GET", url(node, "/stream/1"), "",
                        {"Host: a.example", "Request-Id: " + id, "Credential: key-t",
                         "Request-Deadline: 3000", "Resumes: " + firstAttempt, "Last-Event-Id: 2"});
    }

    // The versions of the upstreams that ran the stream, over all its attempts.
    std::set<std::string> versionsOf(const std::string &firstAttempt)
    {
        std::vector<std::string> ids = m_takes[firstAttempt];
        ids.push_back(firstAttempt);
        std::set<std::string> versions;
        for (const Upstream &it : upstreams) {
            if (std::any_of(ids.begin(), ids.end(),
                            [&](const std::string &id) { return it.standin->runs(id) > 0; }))
                versions.insert(it.version);
        }
        return versions;
    }

    // Waits until the node has been told where so many streams began.
    bool waitUntilTold(int node, int streams)
    {
        return Fleet::waitFor([&] { return metric("fordwood_stream_origins", node) >= streams; });
    }

    std::string nextId() { return "s-" + std::to_string(++m_ids); }

    std::vector<Upstream> upstreams;

private:
    int m_ids = 0;
    std::map<std::string, std::vector<std::string>> m_takes; // ids by first attempt
};

// Streams that go on, and those among them that hold events of two versions.
struct Tally
{
    int wentOn = 0;
    int mixed = 0;
};

Tally takeUpAll(TwoVersions &fleet, const std::vector<TwoVersions::BrokenOff> &streams, int node)
{
    Tally tally;
    for (const auto &it : streams) {
        const HttpAnswer answer = fleet.takeUp(it.id, node);
        tally.wentOn += answer.status == 200 && answer.isComplete ? 1 : 0;
        tally.mixed += fleet.versionsOf(it.id).size() > 1 ? 1 : 0;
    }
    return tally;
}

std::vector<TwoVersions::BrokenOff> beginAll(TwoVersions &fleet, int node)
{
    std::vector<TwoVersions::BrokenOff> streams;
    for (int n = 0; n < kStreams; ++n)
        streams.push_back(fleet.begin(node));
    return streams;
}

} // namespace

TEST_CASE("software versions: a stream that an upstream breaks off goes on at its version [node]"
          "[versions]")
{
    TwoVersions fleet;
    for (const std::size_t it : {0U, 2U})
        fleet.upstreams[it].standin->breakStreamsAfter(2);
    int broken = 0;
    for (int n = 0; n < kStreams; ++n) {
        const std::string id = fleet.nextId();
        const HttpAnswer answer = fleet.call("GET", "/stream/1", id);
        CHECK(answer.status == 200);
        CHECK(fleet.versionsOf(id).size() == 1);
        const int runs = static_cast<int>(
            std::count_if(fleet.upstreams.begin(), fleet.upstreams.end(),
                          [&](const auto &it) { return it.standin->runs(id) > 0; }));
        broken += runs > 1 ? 1 : 0;
        CHECK(answer.isComplete);
    }
    CHECK(broken > 0);
}

TEST_CASE("software versions: a caller takes its stream up at another node after the first was "
          "killed [node][versions]")
{
    TwoVersions fleet;
    for (const auto &it : fleet.upstreams)
        it.standin->setStreams(24, 100'000);
    const auto streams = beginAll(fleet, 0);
    REQUIRE(fleet.waitUntilTold(1, kStreams));
    fleet.nodes[0].signal(SIGKILL);
    const Tally tally = takeUpAll(fleet, streams, 1);
    CHECK(tally.mixed == 0);
    CHECK(tally.wentOn == kStreams);
}
