// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED
#define FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "fordwood/store_replica.hpp"
#include "node/http_client.hpp"
#include "node/peer_messages.hpp"
#include "node/peer_roster.hpp"

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
          m_onPart(std::move(take)), m_nextSeedFetch(clock.now())
    { }

    // `seeds`: addresses to read from if no peer is known. `self`: this node's own address, which
    // is skipped.
    void setSeeds(std::vector<std::string> seeds, std::string self);

    // Call regularly. `reachesStore`: this node follows the store itself and gets answers.
    void tick(const PeerRoster &roster, bool reachesStore);

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
        bool isReported = false;
    };

    void fetchFromSeed();
    void fetchFrom(const std::string &address);
    void onFetched(const std::string &address, bool isSnapshot, TimePoint askedAt,
                   const HttpResult &result);
    void pauseFetches(const HttpReply &reply);
    void reportLag(const std::optional<PeerAhead> &ahead);

    const Clock &m_clock;
    HttpClient &m_client;
    const StoreReplica &m_replica;
    adapters::Metrics &m_metrics;
    OnPart m_onPart;
    std::vector<std::string> m_seeds;
    std::string m_self;
    std::size_t m_nextSeed = 0;
    bool m_isFetching = false;
    std::size_t m_deferrals = 0; // fetches that a peer has put off
    std::size_t m_unansweredFetches = 0; // consecutive
    std::set<std::string> m_withoutSnapshots; // addresses of peers of earlier versions
    bool m_isBehind = false; // a peer is ahead of this node's replica
    std::optional<Lacking> m_lacking;
    TimePoint m_behindSince{};
    TimePoint m_nextFetch{};
    TimePoint m_nextSeedFetch;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED
