// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_FLEET_UPDATE_HPP_INCLUDED
#define FORDWOOD_NODE_FLEET_UPDATE_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "fordwood/context_directory.hpp"
#include "fordwood/load_book.hpp"
#include "fordwood/observed_weights.hpp"
#include "fordwood/quarantine.hpp"
#include "fordwood/route_table.hpp"
#include "fordwood/upstream_limits.hpp"
#include "fordwood/upstream_record.hpp"
#include "fordwood/weight_history.hpp"

// What the control thread tells the thread that serves requests.
namespace fordwood::node {

// A configuration is in force.
struct ConfigApplied
{
    std::shared_ptr<const RouteTable> table;
};

// An upstream has written its record.
struct UpstreamRecordWritten
{
    UpstreamRecord record;
};

// The record of an upstream is gone.
struct UpstreamRecordRemoved
{
    std::string instanceId;
    bool mayBeExpiry = false;
};

// Operators have evacuated a failure domain, or taken that back.
struct DomainEvacuated
{
    std::string failureDomain;
    bool isEvacuated = true;
};

// Whether the platform's store answers any node.
struct StoreReachability
{
    bool reachable = true;
};

// The platform's store was restored from a snapshot: upstreams may have to write their records
// again.
struct StoreRestored
{ };

// A model shall run on a weight version.
struct WeightVersionNamed
{
    std::string model;
    std::uint64_t version = 0;
    WeightNaming naming;
};

// An engine runs on a weight version, though its record may not say so yet.
struct WeightsObserved
{
    std::string instanceId;
    std::string model;
    ObservedWeights weights;
};

// The engines that load weights, or are about to, by the word of one node.
struct EnginesLoading
{
    std::string node;
    std::set<std::string> instanceIds;
};

// What a peer has sent to the upstreams.
struct PeerLoads
{
    std::string peer;
    UpstreamLoads loads;
    std::size_t shortContextTokens = 0; // shared by its short prompts
    std::vector<std::uint64_t> contextsSent; // see ContextDirectory::recentSends()
};

// How many nodes live, this one included.
struct LiveNodeCount
{
    std::size_t n = 1;
};

// The other nodes that have a key in the platform's store, by name.
struct KnownNodes
{
    std::vector<std::string> others;
};

// Whether this node hears of changes at all: from the platform's store or from a peer.
struct ReceivesVersions
{
    bool receives = true;
};

// A store of kept context has told what it holds.
struct ContextStoreUpdated
{
    ContextStoreUpdate update;
    TimePoint receivedAt{}; // by this node, which is when the age in the news holds
};

// A store of kept context does not answer.
struct ContextStoreFailed
{
    std::string store;
};

// What other nodes know of requests that end upstreams.
struct PeerQuarantineUpdates
{
    std::vector<QuarantineUpdate> updates;
};

// What a peer has told of limits that upstreams name.
struct PeerLimits
{
    std::string peer;
    std::vector<LimitGossip> limits;
};

// A peer knows an upstream to be draining, by its answers.
struct PeerDrainReport
{
    std::string peer;
    std::string instanceId;
};

// The planned stop begins.
struct StopStarted
{ };

using FleetUpdate
    = std::variant<ConfigApplied, UpstreamRecordWritten, UpstreamRecordRemoved, DomainEvacuated,
                   StoreReachability, StoreRestored, WeightVersionNamed, WeightsObserved,
                   EnginesLoading, PeerLoads, LiveNodeCount, KnownNodes, ContextStoreUpdated,
                   ContextStoreFailed, ReceivesVersions, PeerQuarantineUpdates, PeerLimits,
                   PeerDrainReport, StopStarted>;

// What peers should hear of limits that upstreams name: of this node alone, or of all nodes where
// it is a relay.
struct LimitUpdates
{
    std::vector<LimitGossip> own;
    std::vector<LimitGossip> all;
};

// What the thread that serves requests tells the control thread: its own load, now and then.
struct OwnLoads
{
    LoadBook::Loads loads;
    std::size_t shortContextTokens = 0;
    std::vector<std::uint64_t> contextsSent;
    LimitUpdates limits;
    std::vector<std::string> draining; // upstreams that say so in their answers
    bool isUrgent = false; // peers should hear it at once
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_FLEET_UPDATE_HPP_INCLUDED
