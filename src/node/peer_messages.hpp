// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PEER_MESSAGES_HPP_INCLUDED
#define FORDWOOD_NODE_PEER_MESSAGES_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "fordwood/load_sums.hpp"
#include "fordwood/quarantine.hpp"
#include "fordwood/store_replica.hpp"
#include "fordwood/upstream_limits.hpp"

namespace fordwood::node {

// Where a node's peers reach it; also the value of its key in the platform's store.
struct PeerAddress
{
    std::string gossip; // UDP
    std::string replica; // HTTP
    std::string failureDomain;
    double strength = 0.0; // of the node's VM; see vmStrength()
};

// Whose load a message tells.
enum class LoadScope {
    Node, // the writer's own
    Domain, // all nodes of the writer's failure domain, by one of its relays
    Fleet, // all nodes, by a relay to those of its failure domain
};

// A weight version that an engine was seen to run so long ago.
struct ObservedVersion
{
    std::uint64_t version = 0;
    std::chrono::milliseconds age{0};

    bool operator==(const ObservedVersion &) const = default;
};

// What a node has said of orders to engines, as others pass it on.
struct OrderReport
{
    std::chrono::milliseconds age{0}; // since the node said so
    std::optional<std::chrono::milliseconds> lastOrder; // how long ago the node ordered an engine
    std::set<std::string> enginesLoading;
    // By instance id and model; ages from when the node said so.
    std::map<std::string, std::map<std::string, ObservedVersion>> observedVersions;

    bool isEmpty() const
    {
        return !lastOrder && enginesLoading.empty() && observedVersions.empty();
    }
};

// How long ago weights were named, as far as a node knows; see WeightNaming.
struct NamingAge
{
    std::chrono::milliseconds min{0};
    std::optional<std::chrono::milliseconds> max; // nothing: any time
    std::optional<std::uint64_t> newestBefore = std::nullopt; // of other weights; goes with `most`

    bool operator==(const NamingAge &) const = default;
};

// By model and weight version.
using NamingAges = std::map<std::string, std::map<std::uint64_t, NamingAge>>;

// The short message by which nodes tell each other of themselves, several times a second: in a
// small fleet each to each, in a large one by relays.
struct Gossip
{
    std::string node;
    std::string failureDomain;
    std::string gossipAddress;
    std::string replicaAddress;
    StoreVersion version; // up to which the node's copy of the store is whole
    bool storeReachable = false; // by the node, which follows it
    double strength = 0.0; // of the node's VM; see vmStrength()
    bool getsStoreChanges = false; // the node is reached by word of one that reaches it
    bool isRelay = false; // see RelayRole
    bool followsContext = false; // likewise
    bool leaving = false; // the node stops: its last message
    LoadScope scope = LoadScope::Node;
    LoadReport load; // what has been sent to upstreams
    std::uint64_t reportNumber = 0; // of the writer's own report
    std::map<std::string, std::uint64_t> reportNumbers; // of the reports in a sum, by node
    OrderReport orders; // from the node that orders engines
    std::map<std::string, OrderReport> forwardedOrders; // from others, by node; in sums
    // How long ago the store itself showed the node that its copy was whole; nothing: never.
    std::optional<std::chrono::milliseconds> copyAge;
    // A node that starts learns it from its peers.
    NamingAges namingAges;
    std::vector<QuarantineUpdate> quarantineUpdates; // of requests that end upstreams
    std::vector<LimitGossip> limits; // that upstreams name; ages in whole milliseconds
    std::vector<std::string> draining; // upstreams that say so in their answers
};

// A node's answer to a peer that lacks changes of the store.
struct ReplicaPart
{
    StoreChanges changes;
    bool mayBeExpiry = false; // removals may be leases that ran out while the store was away
};

// The encodings are CBOR. What cannot be read gives nothing.
std::string encodeGossip(const Gossip &message);
std::optional<Gossip> decodeGossip(std::string_view bytes);
std::string encodeReplicaPart(const ReplicaPart &part);
std::optional<ReplicaPart> decodeReplicaPart(std::string_view bytes);
std::string encodePeerAddress(const PeerAddress &address);
std::optional<PeerAddress> decodePeerAddress(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_MESSAGES_HPP_INCLUDED
