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
#include "fordwood/observed_weights.hpp"
#include "fordwood/proxy_peers.hpp"
#include "fordwood/quarantine.hpp"
#include "fordwood/route_table.hpp"
#include "fordwood/scheduler_ranking.hpp"
#include "fordwood/upstream_limits.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"
#include "fordwood/weight_history.hpp"

// Messages between the control thread and the thread that serves requests. FleetUpdate goes to the
// latter, OwnLoads to the former.
namespace fordwood::node {

// A configuration was applied.
struct ConfigApplied
{
    std::shared_ptr<const RouteTable> table;
};

// An upstream has written its record.
struct UpstreamRecordWritten
{
    UpstreamRecord record;
};

// The record of an upstream was removed.
struct UpstreamRecordRemoved
{
    std::string instanceId;
    bool mayBeExpiry = false;
};

// Operators have evacuated a failure domain or revoked its evacuation.
struct DomainEvacuated
{
    std::string failureDomain;
    bool isEvacuated = true;
};

// Whether any node reaches the platform's store.
struct StoreReachability
{
    bool reachable = true;
};

// The platform's store was restored from a snapshot: upstreams may have to write their records
// again.
struct StoreRestored
{ };

// The replica got content without the changes that led to it: upstreams may have come and gone in
// between.
struct ChangesSkipped
{ };

// Operators have named a weight version for a model.
struct WeightVersionNamed
{
    std::string model;
    std::uint64_t version = 0;
    WeightNaming naming;
};

// An engine was observed to run a weight version, which may not be in its record yet.
struct WeightsObserved
{
    std::string instanceId;
    std::string model;
    ObservedWeights weights;
};

// The engines that are loading weights, or are about to, as reported by one node.
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
    std::size_t shortContextTokens = 0; // of context shared by its short prompts
    std::vector<std::uint64_t> contextsSent; // see ContextDirectory::recentSends()
};

// The number of live nodes, including this one.
struct LiveNodeCount
{
    std::size_t n = 1;
};

// The other nodes that have a key in the platform's store, by name.
struct KnownNodes
{
    std::vector<std::string> others;
    std::vector<SchedulerNode> schedulers; // nodes that may schedule engines, this one included
    std::vector<ProxyPeer> proxies; // nodes that open connections for this one

    bool operator==(const KnownNodes &) const = default;
};

// The updates before this one brought all that the platform's store had up to `asOf`; nothing: that
// is not known of any time. See ReplicaFreshness.
struct ReplicaCompleteness
{
    std::optional<TimePoint> asOf;
};

// The control thread has compared its replica of the platform's store with the store, at the
// request of the serving thread. The updates before this one brought all that the store had at that
// time.
struct ReplicaChecked
{
    TimePoint asOf{};
    bool isComplete = false; // false: there was no answer
};

// A context store has reported what it holds.
struct ContextStoreUpdated
{
    ContextStoreUpdate update;
    TimePoint receivedAt{}; // by this node; the age in the update is as of this time
};

// A context store does not answer.
struct ContextStoreFailed
{
    std::string store;
};

// Updates from other nodes on requests that crash upstreams.
struct PeerQuarantineUpdates
{
    std::vector<QuarantineUpdate> updates;
};

// A peer's reports of limits that upstreams announced, and of brittle upstreams.
struct PeerLimits
{
    std::string peer;
    std::vector<LimitGossip> limits;
    std::vector<LimitGossip> brittle; // see BrittleUpstreams
};

// A peer reports that an upstream announced in its answers that it is draining.
struct PeerDrainReport
{
    std::string peer;
    std::string instanceId;
};

// The planned stop has started.
struct StopStarted
{
    TimePoint signalledAt{}; // the earliest time at which the signal may have been sent
    TimePoint takenAt{}; // when this process took it
};

using FleetUpdate
    = std::variant<ConfigApplied, UpstreamRecordWritten, UpstreamRecordRemoved, DomainEvacuated,
                   StoreReachability, StoreRestored, WeightVersionNamed, WeightsObserved,
                   EnginesLoading, PeerLoads, LiveNodeCount, KnownNodes, ContextStoreUpdated,
                   ContextStoreFailed, ReplicaCompleteness, PeerQuarantineUpdates, PeerLimits,
                   PeerDrainReport, ReplicaChecked, ChangesSkipped, StopStarted>;

// Limits announced by upstreams, to be sent to peers: those of this node or, if it is a relay, of
// all nodes.
struct LimitUpdates
{
    std::vector<LimitGossip> own;
    std::vector<LimitGossip> all;
    std::vector<LimitGossip> brittle; // see BrittleUpstreams
};

// Sent periodically by the thread that serves requests to the control thread: the node's own load.
struct OwnLoads
{
    UpstreamLoadTracker::Loads loads;
    std::size_t shortContextTokens = 0;
    std::vector<std::uint64_t> contextsSent;
    LimitUpdates limits;
    std::vector<std::string> draining; // upstreams that announced it in their answers
    bool isUrgent = false; // to be sent to peers at once
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_FLEET_UPDATE_HPP_INCLUDED
