// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPSTREAM_CHOICE_HPP_INCLUDED
#define FORDWOOD_NODE_UPSTREAM_CHOICE_HPP_INCLUDED

#include <optional>
#include <set>
#include <string>

#include "fordwood/call_plan.hpp"
#include "node/admitted_call.hpp"
#include "node/placement_messages.hpp"
#include "node/upstream_attempt.hpp"

namespace fordwood::node {

// Why no upstream accepts a request at the moment, although some are in service.
struct Unavailability
{
    Reason reason = Reason::NoUpstream;
    std::string upstream; // one of those that do not accept it
    std::chrono::milliseconds retryAfter{0}; // until one is expected to accept requests
};

// The result of choosing an upstream for a request.
struct UpstreamChoice
{
    std::optional<UpstreamAttempt> attempt; // nothing: no upstream is available
    std::optional<EngineChoice> busyEngine; // the best engine, if even this one is overloaded
    // Set if only exhausted rate limits and backoffs prevent the request from being sent.
    std::optional<Unavailability> unavailable;
};

// What the attempts so far mean for the choice of an upstream.
struct ChoiceTerms
{
    bool mustGoOn = false; // the caller has a part of the answer: it is not refused as late
    std::optional<StreamOrigin> origin; // of a stream that has begun; it goes on nowhere else
};

UpstreamChoice chooseUpstream(NodeState &state, const AdmittedCall &call,
                              const platform::CallerHead &caller, const CallPlan &plan,
                              const ChoiceTerms &terms);

// The question for a place for an attempt at a brittle upstream, there or at another one that could
// serve the request. The caller sets how long it may wait.
PlaceExchange::Question placeQuestion(NodeState &state, const AdmittedCall &call,
                                      const platform::CallerHead &caller, const CallPlan &plan,
                                      const ChoiceTerms &terms, const UpstreamAttempt &attempt);

// The attempt at the upstream where a place is lent; nothing if it has left meanwhile. `upstream`:
// hash of its instance id.
std::optional<UpstreamAttempt> attemptAt(NodeState &state, const AdmittedCall &call,
                                         const platform::CallerHead &caller, const CallPlan &plan,
                                         const ChoiceTerms &terms, std::uint64_t upstream);

// Whether the upstreams that accept new requests are all of other versions than the stream's.
bool isVersionGone(NodeState &state, const StreamOrigin &origin);

// Whether one of them is, so that not every choice is right.
bool isBoundToVersion(NodeState &state, const std::optional<StreamOrigin> &origin);

// The shard of the service's engines to which the request belongs, if its scheduler chooses the
// engine; nothing if this node does.
std::optional<EngineShard> scheduledShard(NodeState &state, const AdmittedCall &call,
                                          const platform::CallerHead &caller);

// The request to the scheduler for an engine.
PlacementRequest placementRequest(NodeState &state, const AdmittedCall &call,
                                  const platform::CallerHead &caller, const CallPlan &plan,
                                  const EngineShard &shard, const RequestFingerprint &fingerprint);

// The attempt at the engine that the scheduler has chosen; nothing if this node cannot use it.
std::optional<UpstreamAttempt> scheduledAttempt(NodeState &state, const AdmittedCall &call,
                                                const platform::CallerHead &caller,
                                                const CallPlan &plan, const PlacementReply &reply,
                                                const std::optional<StreamOrigin> &origin);

// The way to the upstream of an attempt.
struct PathChoice
{
    bool isUsable = true; // false: the node is cut off from the upstream, and no peer is available
    std::optional<ProxyPeer> proxy; // nothing: the node's own path
};

// `failedProxies`: peers that could not be used for this request.
PathChoice choosePath(NodeState &state, const AdmittedCall &call,
                      const platform::CallerHead &caller, const CallPlan &plan,
                      const UpstreamAttempt &attempt, const std::set<std::string> &failedProxies);

// Reports to the scheduler that this node has chosen an engine itself.
void reportLocalPlacement(NodeState &state, const AdmittedCall &call, const EngineShard &shard,
                          UpstreamAttempt &attempt);

// The time after which a refused caller may retry, if every upstream in service is rate limited or
// backing off; nothing if one of them may accept the request now.
std::optional<std::chrono::milliseconds> retryAfterUnavailable(NodeState &state,
                                                               const AdmittedCall &call);

// Options for the head of a request to an upstream.
struct UpstreamHeadOptions
{
    std::chrono::milliseconds remainingTime{0}; // until the caller's deadline
    std::optional<std::uint64_t> resumeFrom; // id of the last event that the caller received
    bool shortFirst = true; // see Mechanisms
};

// The head of the request as it is sent to the upstream of an attempt.
http::request_header<> upstreamHead(const http::request_header<> &head, const AdmittedCall &call,
                                    const UpstreamAttempt &attempt,
                                    const UpstreamHeadOptions &options);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPSTREAM_CHOICE_HPP_INCLUDED
