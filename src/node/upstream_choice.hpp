// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPSTREAM_CHOICE_HPP_INCLUDED
#define FORDWOOD_NODE_UPSTREAM_CHOICE_HPP_INCLUDED

#include <optional>

#include "fordwood/call_plan.hpp"
#include "node/admitted_call.hpp"
#include "node/upstream_attempt.hpp"

namespace fordwood::node {

// Why no upstream takes a request now, although there are some.
struct Unavailability
{
    Reason reason = Reason::NoUpstream;
    std::string upstream; // one of them
    std::chrono::milliseconds retryAfter{0}; // when one will, by what they say
};

// Which upstream takes a request next.
struct UpstreamChoice
{
    std::optional<UpstreamAttempt> attempt; // nothing: none may be used now
    std::optional<EngineChoice> busyEngine; // the best engine, which has too much to do
    // Where limits that are used up and backoffs alone stand in the way.
    std::optional<Unavailability> unavailable;
};

// `answerStarted`: a part of the answer has gone to the caller, so that it cannot be refused.
UpstreamChoice chooseUpstream(NodeState &state, const AdmittedCall &call,
                              const platform::CallerHead &caller, const CallPlan &plan,
                              bool answerStarted);

// When a caller may come again who is refused although upstreams are in service; nothing: at any
// time, as one of them may take the request.
std::optional<std::chrono::milliseconds> retryAfterUnavailable(NodeState &state,
                                                               const AdmittedCall &call);

// The head with which the request goes to the upstream of an attempt.
struct UpstreamHeadOptions
{
    std::chrono::milliseconds remainingTime{0}; // that the caller has left
    std::optional<std::uint64_t> resumeFrom; // the last event of the stream that the caller has
    bool shortFirst = true; // see Mechanisms
};
http::request_header<> upstreamHead(const http::request_header<> &head, const AdmittedCall &call,
                                    const UpstreamAttempt &attempt,
                                    const UpstreamHeadOptions &options);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPSTREAM_CHOICE_HPP_INCLUDED
