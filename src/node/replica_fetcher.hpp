// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED
#define FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/store_replica.hpp"
#include "node/http_client.hpp"
#include "node/peer_messages.hpp"
#include "node/peer_roster.hpp"
#include "node/replica_read_plan.hpp"

namespace fordwood::node {

// Fetches the changes that this node's replica of the platform's store lacks from a peer that has
// them. This is needed if the store rejects this node's calls, if the node's watch misses changes,
// and in a large fleet, where only relays follow the store. A node that knows no peers asks its
// seeds.
class ReplicaFetcher
{
public:
    // Receives a part of a peer's replica.
    using OnPart = std::function<void(const ReplicaPart &)>;

    ReplicaFetcher(const Clock &clock, HttpClient &client, const StoreReplica &replica,
                   adapters::Metrics &metrics, OnPart take)
        : m_clock(clock), m_client(client), m_replica(replica), m_metrics(metrics),
          m_onPart(std::move(take)), m_plan(clock), m_nextSeedFetch(clock.now())
    { }

    // `seeds`: addresses to read from if no peer is known. `self`: this node's own address, which
    // is skipped.
    void setSeeds(std::vector<std::string> seeds, std::string self);

    // Addresses of nodes that have the store's content or are about to read it, in the order in
    // which to ask them. They are asked before the seeds.
    void setSources(std::vector<std::string> sources);

    // Call regularly. `reachesStore`: this node follows the store itself and gets answers.
    void tick(const PeerRoster &roster, bool reachesStore);

    // Whether to read the store itself now, since the peers have not sent a change for long. Each
    // time it is to be read, this returns true once.
    bool takeOverdue();

    // The request target that asks a peer for the changes after a version: its prefix, the function
    // that builds one, and the function that gets the version from one (nullopt if malformed).
    static constexpr std::string_view kTarget = "/replica?since=";
    // The request target that asks a peer for a snapshot of all keys, made by pack().
    static constexpr std::string_view kSnapshotTarget = "/snapshot";
    static std::string targetSince(const StoreVersion &version);
    static std::optional<StoreVersion> parseTarget(std::string_view target);

private:
    // A version that this node knows of and lacks.
    struct Lacking
    {
        StoreVersion version;
        TimePoint since{};
        TimePoint nextReport{};
        TimePoint nextStoreRead{};
        bool isReported = false;
    };

    std::vector<std::string> nextSeeds();
    void fetch(const ReplicaReadPlan::Read &read);
    void onFetched(const ReplicaReadPlan::Read &read, TimePoint askedAt, const HttpResult &result);
    std::optional<Duration> pauseIn(const HttpReply &reply);
    void reportLag(const std::optional<PeerAhead> &ahead);

    const Clock &m_clock;
    HttpClient &m_client;
    const StoreReplica &m_replica;
    adapters::Metrics &m_metrics;
    OnPart m_onPart;
    ReplicaReadPlan m_plan;
    std::vector<std::string> m_seeds;
    std::vector<std::string> m_sources;
    std::string m_self;
    std::size_t m_nextSeed = 0;
    bool m_isFetching = false;
    std::size_t m_deferrals = 0; // fetches that a peer has put off
    std::optional<TimePoint> m_behindSince; // when peers were first ahead of this node's replica
    std::optional<Lacking> m_lacking;
    TimePoint m_nextFetch{};
    TimePoint m_nextSeedFetch;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED
