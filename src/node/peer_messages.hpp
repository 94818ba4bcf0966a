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

#include "fordwood/load_book.hpp"
#include "fordwood/store_replica.hpp"

namespace fordwood::node {

// Where a node's peers reach it; also the value of its key in the platform's store.
struct PeerAddress
{
    std::string gossip; // UDP
    std::string replica; // HTTP
    std::string failureDomain;
};

// The short message that each node sends to each other one, several times a second.
struct Gossip
{
    std::string node;
    std::string replicaAddress;
    std::int64_t revision = 0; // up to which the node's copy of the store is whole
    bool storeReachable = false; // by the node, which follows it
    double strength = 0.0; // of the node's VM; see vmStrength()
    bool isRelay = false; // see RelayRole
    bool followsContext = false; // likewise
    bool leaving = false; // the node stops: its last message
    LoadBook::Loads loads; // what the node has sent to upstreams
    std::size_t shortContextTokens = 0; // shared by the node's short prompts
    std::vector<std::uint64_t> contextsSent; // long ones, to engines, of late
    std::optional<std::chrono::milliseconds> lastOrder; // how long ago the node ordered an engine
    std::set<std::string> enginesLoading; // from the node that orders them
    std::map<std::string, std::map<std::string, std::uint64_t>> weightsShown; // likewise
    // By model and weight version: how long ago it was named, as far as the node knows. A node that
    // starts learns it from its peers.
    std::map<std::string, std::map<std::uint64_t, std::chrono::milliseconds>> weightsNamed;
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
