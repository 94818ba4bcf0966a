// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_TWO_VERSIONS_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_TWO_VERSIONS_HPP_INCLUDED

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "process/node_deployment.hpp"

namespace fordwood::process {

// More than the buffers between an upstream and its caller hold, so that the stream is not over
// when its caller has read the first events.
inline constexpr std::size_t kBytesPerEvent = 100'000;

// Three nodes and four upstreams of one service, of which two are of an older software version.
class TwoVersions : public Deployment
{
public:
    struct Upstream
    {
        std::unique_ptr<UpstreamStandin> standin;
        std::string version;
    };

    explicit TwoVersions(const std::vector<std::string> &versions = {"v1", "v1", "v1.1", "v1.1"},
                         int nodesAtFirst = 3)
    {
        putConfiguration(1);
        for (const std::string &it : versions)
            addUpstream(it);
        for (int it = 0; it < nodesAtFirst; ++it) {
            startNode(it);
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
        }
        for (int it = 0; it < nodesAtFirst; ++it)
            REQUIRE(Fleet::waitFor(
                [&] { return metric("fordwood_stream_peers", it) == nodesAtFirst - 1; }));
    }

    void addUpstream(const std::string &version, const std::string &service = "board")
    {
        const std::string id = "w-" + std::to_string(upstreams.size());
        const std::string address = net + std::to_string(20 + upstreams.size()) + ":8000";
        upstreams.push_back({std::make_unique<UpstreamStandin>(address, id), version});
        upstreams.back().standin->setStreams(24, kBytesPerEvent);
        putUpstreamRecord({id, address, version, service});
    }

    // Streams are divided between the services from now on.
    void putSplit(const std::vector<std::string> &names)
    {
        nlohmann::json config = configuration(2);
        config["services"] = nlohmann::json::array();
        nlohmann::json split = nlohmann::json::array();
        for (const std::string &it : names) {
            config["services"].push_back({{"name", it}});
            split.push_back({{"service", it}, {"weight", 1.0}});
        }
        for (nlohmann::json &it : config["routes"])
            it["traffic-split"] = split;
        store.put("op/config", config.dump());
    }

    // All upstreams of the version leave.
    void removeVersion(const std::string &version)
    {
        for (std::size_t n = 0; n < upstreams.size(); ++n) {
            if (upstreams[n].version == version)
                store.remove("servers/w-" + std::to_string(n));
        }
    }

    // A stream of which a caller has read the first events.
    struct BrokenOff
    {
        std::string id; // of its first attempt
        std::unique_ptr<IdleConnection> connection;
    };

    // Begins a stream whose caller reads no more than its first events.
    BrokenOff begin(int node, std::chrono::milliseconds callerTimeout = std::chrono::seconds(4))
    {
        BrokenOff stream{nextId(), std::make_unique<IdleConnection>(host(node) + ":8080")};
        const bool hasBegun = stream.connection->exchange(
            "GET " + pathOf(stream.id) + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + stream.id
                + "\r\nCredential: key-t\r\nRequest-Deadline: "
                + std::to_string(callerTimeout.count()) + "\r\n\r\n",
            "id: 2\n");
        if (!hasBegun)
            MESSAGE("no stream at node ", node, ": ", lastLogged(node, '"' + stream.id + '"'));
        REQUIRE(hasBegun);
        return stream;
    }

    // Each stream has a path of its own: equal requests under which several upstreams break off
    // would be quarantined.
    static std::string pathOf(const std::string &firstAttempt) { return "/stream/" + firstAttempt; }

    // The caller takes the stream up. Returns the answer to its new request. Nodes forget where the
    // stream began once the caller's time is over.
    HttpAnswer takeUp(const std::string &firstAttempt, int node, std::string id = "",
                      std::chrono::milliseconds callerTimeout = std::chrono::seconds(3))
    {
        if (id.empty())
            id = nextId();
        m_takes[firstAttempt].push_back(id);
        return httpCall("GET", url(node, pathOf(firstAttempt)), "",
                        {"Host: a.example", "Request-Id: " + id, "Credential: key-t",
                         "Request-Deadline: " + std::to_string(callerTimeout.count()),
                         "Resumes: " + firstAttempt, "Last-Event-Id: 2"});
    }

    // The same without naming the first attempt.
    HttpAnswer takeUpUnnamed(int node)
    {
        return httpCall("GET", url(node, "/stream/1"), "",
                        {"Host: a.example", "Request-Id: " + nextId(), "Credential: key-t",
                         "Request-Deadline: 3000", "Last-Event-Id: 2"});
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

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_TWO_VERSIONS_HPP_INCLUDED
