// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_CONTEXT_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_CONTEXT_FLEET_HPP_INCLUDED

#include <atomic>
#include <chrono>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <doctest/doctest.h>
#include <nlohmann/json.hpp>

#include "fordwood/old_context_times.hpp"
#include "fordwood/prompt.hpp"
#include "process/context_store_standin.hpp"
#include "process/faulty_proxy.hpp"
#include "process/node_deployment.hpp"

namespace fordwood::process {

// Nodes before two engines and a context store, while operators name new weights. Nodes can be cut
// off in groups: from the platform's store, and from the nodes outside of the group. They still
// reach the engines and the context store.
class ContextFleet : public Deployment
{
public:
    explicit ContextFleet(int size) : contextStore(net + "5:7001")
    {
        putContextConfiguration();
        nameWeights();
        setEngineWeights();
        for (int n = 0; n < size; ++n) {
            paths.push_back(std::make_unique<FaultyProxy>(storePath(n), net + "1:7000"));
            startNode(n, storePath(n));
            REQUIRE(Fleet::waitFor([&] { return isReady(n); }));
            // The first node shall hold the lock.
            if (n == 0)
                REQUIRE(Fleet::waitFor([&] { return logged(0, "name=OrderLockTaken") > 0; }));
        }
        const std::string live = "live=\"" + std::to_string(size) + "\"";
        for (int n = 0; n < size; ++n)
            REQUIRE(Fleet::waitFor([&] { return logged(n, live) > 0; }));
    }

    std::string storePath(int node) const { return net + "4:" + std::to_string(7000 + node); }

    // Operators name the next version of the weights.
    void nameWeights()
    {
        named += 1;
        namedAt = std::chrono::steady_clock::now();
        store.put("op/version/m", nlohmann::json{{"model", "m"}, {"version", named}}.dump());
    }

    // The engines have loaded the weights that were named last.
    void setEngineWeights()
    {
        for (const char *id : {"i-1", "i-2"}) {
            UpstreamEntry engine{id, net + (std::string(id) == "i-1" ? "2" : "3") + ":8000", "v1"};
            engine.weights = named;
            engine.slots = 16;
            putUpstreamRecord(engine);
        }
    }

    std::string salt(std::uint64_t weights) const { return contextSalt("m", weights, ""); }

    // Stores so many parts of the weights that were named last. Returns their ids.
    std::vector<std::string> holdParts(std::size_t n)
    {
        std::vector<std::string> ids;
        for (; ids.size() < n; ++m_lastPart) {
            const std::string id = "part" + std::to_string(m_lastPart);
            ids.push_back(id);
            contextStore.hold(salt(named), id, kPartTokens);
        }
        return ids;
    }

    // Sends a request whose prompt begins with the part. Returns the status of the answer.
    long sendWith(const std::string &part, int node)
    {
        const std::string size = std::to_string(kPartTokens);
        const std::string number = std::to_string(++m_lastRequest);
        return httpCall("POST", url(node, "/once/1"), "body",
                        {"Host: a.example", "Request-Id: r-" + number, "Credential: key-t",
                         "Request-Deadline: 4000", "Model: m",
                         "Token-Usage: " + std::to_string(kPartTokens + kOwnTokens) + ",30",
                         "Prompt-Prefix: " + part + ":" + size + ",own" + number + ":"
                             + std::to_string(kOwnTokens)})
            .status;
    }

    // Cuts the nodes off as a group, or connects all nodes again if it is empty.
    void cutOff(const std::set<int> &group, FaultyProxy::Mode how = FaultyProxy::Mode::Silent)
    {
        const int n = static_cast<int>(paths.size());
        for (int it = 0; it < n; ++it) {
            const bool isCutOff = group.contains(it);
            std::vector<std::string> lost;
            for (int other = 0; other < n; ++other) {
                if (group.contains(other) != isCutOff)
                    lost.push_back(host(other));
            }
            cutOffFrom(it, Break::Refuse, lost);
            paths[static_cast<std::size_t>(it)]->setMode(isCutOff ? how
                                                                  : FaultyProxy::Mode::Forward);
        }
    }

    struct Fetches
    {
        std::size_t all = 0;
        std::vector<std::string> late; // that may have run on after their part was freed
    };

    // What the engines were told to fetch so far.
    Fetches fetches()
    {
        Fetches found;
        for (UpstreamStandin *engine : {&first, &second}) {
            for (const standins::Request &it : engine->requests())
                judge(it, found);
        }
        return found;
    }

    ContextStoreStandin contextStore;
    std::vector<std::unique_ptr<FaultyProxy>> paths; // of the nodes to the platform's store
    std::uint64_t named = 0; // newest weights
    std::chrono::steady_clock::time_point namedAt{};

private:
    static constexpr std::size_t kPartTokens = 12'800;
    static constexpr std::size_t kOwnTokens = 4'200;

    void putContextConfiguration()
    {
        nlohmann::json config = configuration(1);
        config["services"][0]["engine"] = {{"slots", 16},
                                           {"kv-cache-tokens", 400'000},
                                           {"models", {{{"name", "m"}}}},
                                           {"kv-token-bytes", 1'000},
                                           {"bandwidth-mbps", 10'000}};
        config["services"].push_back({{"name", "kept"},
                                      {"kv-store-address", net + "5:7001"},
                                      {"zone", "x"},
                                      {"kv-cache-tokens", 100'000'000},
                                      {"bandwidth-mbps", 10'000},
                                      {"managed", true}});
        store.put("op/config", config.dump());
    }

    void judge(const standins::Request &request, Fetches &found)
    {
        const std::string from = request.header("Kv-Fetch");
        if (from.find(net + "5:7001") == std::string::npos)
            return;
        found.all += 1;
        const std::string prompt = request.header("Prompt-Prefix");
        const std::string part = prompt.substr(0, prompt.find(':'));
        const std::string until = request.header("Kv-Until");
        const auto freed = contextStore.freedAt(request.header("Cache-Salt"), part);
        if (until.empty() || (freed && std::stoll(until) > freed->count()))
            found.late.push_back(request.header("Request-Id") + " " + part + " until " + until
                                 + " freed " + (freed ? std::to_string(freed->count()) : "never"));
    }

    std::size_t m_lastPart = 0;
    std::atomic<std::size_t> m_lastRequest{0};
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_CONTEXT_FLEET_HPP_INCLUDED
