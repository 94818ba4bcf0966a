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

namespace fordwood::node {

// Reads what this node's copy of the platform's store lacks from a peer that has it: where the
// store turns this node away, where its watch hears nothing, and in a large fleet where only relays
// follow the store. A node that knows nobody asks its seeds.
class ReplicaFetcher
{
public:
    // Takes a part of a peer's copy.
    using OnPart = std::function<void(const ReplicaPart &)>;

    ReplicaFetcher(const Clock &clock, HttpClient &client, const StoreReplica &replica,
                   adapters::Metrics &metrics, OnPart take)
        : m_clock(clock), m_client(client), m_replica(replica), m_metrics(metrics),
          m_onPart(std::move(take)), m_nextSeedFetch(clock.now())
    { }

    // From where a node reads that knows nobody, and where it listens itself.
    void setSeeds(std::vector<std::string> seeds, std::string self);

    // Regular work. `reachesStore`: this node follows the store itself and is answered.
    void tick(const PeerRoster &roster, bool reachesStore);

    // How the target begins that asks a peer for what came after a version; such a target, and the
    // version that one names; nothing: it names none.
    static constexpr std::string_view kTarget = "/replica?since=";
    static std::string targetSince(const StoreVersion &version);
    static std::optional<StoreVersion> parseTarget(std::string_view target);

private:
    void fetchFromSeed();
    void fetchFrom(const std::string &address);
    void onFetched(const std::string &address, const HttpResult &result);

    const Clock &m_clock;
    HttpClient &m_client;
    const StoreReplica &m_replica;
    adapters::Metrics &m_metrics;
    OnPart m_onPart;
    std::vector<std::string> m_seeds;
    std::string m_self;
    std::size_t m_nextSeed = 0;
    bool m_isFetching = false;
    bool m_isBehind = false; // a peer is ahead of this node's copy
    TimePoint m_behindSince{};
    TimePoint m_nextFetch{};
    TimePoint m_nextSeedFetch;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_FETCHER_HPP_INCLUDED
