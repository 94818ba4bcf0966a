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

// The addresses of a node for its peers. Stored as the value of the node's key in the platform's
// store.
struct PeerAddress
{
    std::string gossip; // UDP
    std::string replica; // HTTP
    std::string failureDomain;
    double strength = 0.0; // of the node's VM; see vmStrength()
    std::string placement = {}; // UDP; empty: the node does not schedule engines
    std::string proxy = {}; // HTTP; empty: the node opens no connections for peers
};

// Whose load a message reports.
enum class LoadScope {
    Node, // the sender's own
    Domain, // the sum over the sender's failure domain, sent by one of its relays
    Fleet, // the sum over all nodes, sent by a relay to the nodes of its failure domain
};

// The weight version that an engine was last observed to run.
struct ObservedVersion
{
    std::uint64_t version = 0;
    std::chrono::milliseconds age{0}; // of the observation

    bool operator==(const ObservedVersion &) const = default;
};

// What a node reports about its load orders to engines. Other nodes forward it.
struct OrderReport
{
    std::chrono::milliseconds age{0}; // since the node made the report
    std::optional<std::chrono::milliseconds> lastOrder; // time since the node's last order
    std::set<std::string> enginesLoading;
    // By instance id and model. Ages are as of the time of the report.
    std::map<std::string, std::map<std::string, ObservedVersion>> observedVersions;

    bool isEmpty() const
    {
        return !lastOrder && enginesLoading.empty() && observedVersions.empty();
    }
};

// Bounds on how long ago a weight version was named; see WeightNaming.
struct NamingAge
{
    std::chrono::milliseconds min{0};
    std::optional<std::chrono::milliseconds> max; // nothing: unbounded
    std::optional<std::uint64_t> newestBefore = std::nullopt; // set if and only if `max` is

    bool operator==(const NamingAge &) const = default;
};

// By model and weight version.
using NamingAges = std::map<std::string, std::map<std::uint64_t, NamingAge>>;

// The short status message that nodes exchange several times a second. In a small fleet every node
// sends it to every other; in a large one it goes through relays.
struct Gossip
{
    std::string node;
    std::string failureDomain;
    std::string gossipAddress;
    std::string replicaAddress;
    StoreVersion version; // the version up to which the node's copy of the store is complete
    bool storeReachable = false; // the node itself reads the platform's store
    double strength = 0.0; // of the node's VM; see vmStrength()
    bool getsStoreChanges = false; // the node, or a peer whose messages reach it, reads the store
    bool isRelay = false; // see RelayRole
    bool followsContext = false; // see RelayRole
    bool leaving = false; // the node stops; this is its last message
    LoadScope scope = LoadScope::Node;
    LoadReport load; // requests sent to upstreams
    std::uint64_t reportNumber = 0; // of the sender's own load report, or of a relay's sum
    ReportNumbers reportNumbers; // of the reports included in a sum
    OrderReport orders; // the sender's own
    std::map<std::string, OrderReport>
        forwardedOrders; // of other nodes, by node; sent by relays with the sums
    // Time since the store itself confirmed that the node's copy was complete; nothing: never.
    std::optional<std::chrono::milliseconds> copyAge;
    // The same, where the store may have confirmed it to a peer of the sender; see
    // ReplicaFreshness::ageFromReader(). Sent by relays with the sums.
    std::optional<std::chrono::milliseconds> forwardedCopyAge;
    // A starting node learns these from its peers.
    NamingAges namingAges;
    std::vector<QuarantineUpdate> quarantineUpdates; // on requests that crash upstreams
    std::vector<LimitGossip> limits; // that upstreams announced; ages in whole milliseconds
    std::vector<LimitGossip> brittle; // see BrittleUpstreams; without senders
    std::vector<std::string> draining; // upstreams that announced it in their answers
};

// A node's answer to a peer that has missed changes of the store.
struct ReplicaPart
{
    StoreChanges changes;
    bool mayBeExpiry = false; // removals may be leases that expired during an outage of the store
};

// Messages are encoded as CBOR. The decoders return nothing for malformed input.
std::string encodeGossip(const Gossip &message);
std::optional<Gossip> decodeGossip(std::string_view bytes);
std::string encodeReplicaPart(const ReplicaPart &part);
std::optional<ReplicaPart> decodeReplicaPart(std::string_view bytes);
std::string encodePeerAddress(const PeerAddress &address);
std::optional<PeerAddress> decodePeerAddress(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PEER_MESSAGES_HPP_INCLUDED
