// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CALL_HPP_INCLUDED
#define FORDWOOD_CALL_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "fordwood/allowance_allocator.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/prefill_queue.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "fordwood/verdict.hpp"

namespace fordwood {

using CallId = std::uint64_t;

// Kind of request: a completion by a model, or a plain service.
enum class CallKind : std::uint8_t { Completion, Service };

// The properties of a caller's request that the dispatcher uses.
struct CallRequest
{
    CallId id = 0;
    std::string team;
    int priority = 0;
    CallKind kind = CallKind::Completion;
    std::string target; // model or service
    std::string weightVersion; // of completions only
    std::uint64_t prefixHash = 0; // requests with the same hash share context
    std::size_t contextTokens = 0; // prompt tokens shared by requests with the same prefix hash
    std::size_t questionTokens = 0; // prompt tokens of this request only
    double cost = 1.0; // expected tokens
    bool repeatable = true;
    std::optional<IdempotencyKey> key; // such a request is never repeatable
    // Identical for identical requests. A request without a fingerprint is never quarantined.
    std::optional<RequestFingerprint> fingerprint;
    TimePoint deadline{};
};

// Asks the owner of an upstream for a permit.
struct RequestPermit
{
    CallId call;
    std::uint64_t requestId;
    std::string owner;
    std::string ownerAddress;
    std::string upstream;
    std::string team;
    double cost;
    int priority;
    Duration wait;
    PromptSize prompt;
};

// Withdraws a permit request.
struct WithdrawPermitRequest
{
    std::uint64_t requestId;
    std::string owner;
    std::string upstream;
};

// Returns a permit to the owner that granted it.
struct ReleasePermit
{
    std::string owner;
    std::uint64_t permitId;
    std::string upstream;
    double cost;
    bool pushedBack; // the upstream was full despite the permit
};

// Informs an owner of a running request that an earlier owner or process admitted.
struct AdoptPermit
{
    std::string owner;
    std::string ownerAddress;
    std::uint64_t permitId;
    std::string upstream;
    std::string team;
};

// Sends the call to an upstream.
struct SendCall
{
    CallId call;
    unsigned attempt;
    std::string upstream;
    std::string address;
    int priority;
    TimePoint sendBy; // latest time to send the request
    TimePoint deadline;
    bool repeatable;
    bool keepAnswer; // store it for repeats with the same key
    std::string weightVersion; // required version; empty: any
    std::optional<std::uint64_t> resumeFrom; // number of stream events that the caller already has
};

// Cancels an attempt.
struct CancelAttempt
{
    CallId call;
    unsigned attempt;
};

// Ends the call with a verdict instead of an answer.
struct EndCall
{
    CallId call;
    Verdict verdict;
};

// Counts a retry of the call by its reason. Used for metrics only.
struct CountRetry
{
    Reason reason;
};

// Asks the holder of a key whether the call may run.
struct ClaimKey
{
    std::uint64_t claimId;
    std::string holder;
    std::string holderAddress;
    IdempotencyKey key;
};

// Asks the owner of a team for a share of its ceiling.
struct RequestAllowance
{
    std::string owner;
    std::string ownerAddress;
    AllowanceRequest ask;
};

// Reports to the holder of a key how the call ended.
struct FinishClaim
{
    std::string holder;
    IdempotencyKey key;
    RunState state;
    StoredAnswer answer;
};

// Ends the call with a stored answer.
struct EndWithStoredAnswer
{
    CallId call;
    StoredAnswer answer;
};

using Action = std::variant<RequestAllowance, ClaimKey, FinishClaim, EndWithStoredAnswer,
                            RequestPermit, WithdrawPermitRequest, ReleasePermit, AdoptPermit,
                            SendCall, CancelAttempt, EndCall, CountRetry>;

} // namespace fordwood

#endif // FORDWOOD_CALL_HPP_INCLUDED
