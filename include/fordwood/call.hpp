// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CALL_HPP_INCLUDED
#define FORDWOOD_CALL_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <variant>

#include "fordwood/allowance_book.hpp"
#include "fordwood/clock.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/prefill_queue.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "fordwood/verdict.hpp"

namespace fordwood {

using CallId = std::uint64_t;

// What is asked for: a completion by a model, or a plain service.
enum class CallKind : std::uint8_t { Completion, Service };

// What the dispatcher has to know about a caller's request.
struct CallRequest
{
    CallId id = 0;
    std::string team;
    int priority = 0;
    CallKind kind = CallKind::Completion;
    std::string target; // model or service
    std::string weightVersion; // of a completion
    std::uint64_t prefixHash = 0; // requests with the same hash share context
    std::size_t contextTokens = 0; // of the prompt, shared by requests with the same prefix hash
    std::size_t questionTokens = 0; // of the prompt, its own
    double cost = 1.0; // expected tokens
    bool repeatable = true;
    std::optional<IdempotencyKey> key; // such a request is never repeatable
    // The same for the same request, whenever it comes; without one it is never held.
    std::optional<RequestFingerprint> fingerprint;
    TimePoint deadline{};
};

// Asks the owner of an upstream for a permit.
struct AskPermit
{
    CallId call;
    std::uint64_t askId;
    std::string owner;
    std::string ownerAddress;
    std::string upstream;
    std::string team;
    double cost;
    int priority;
    Duration wait;
    PromptSize prompt;
};

// Takes an ask back.
struct WithdrawAsk
{
    std::uint64_t askId;
    std::string owner;
    std::string upstream;
};

// Gives a permit back to the owner that granted it.
struct ReleasePermit
{
    std::string owner;
    std::uint64_t permitId;
    std::string upstream;
    double cost;
    bool pushedBack; // the upstream was full all the same
};

// Tells an owner of a request that runs already, admitted by an earlier owner or process.
struct HoldPermit
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
    TimePoint sendBy; // not to be sent after this
    TimePoint deadline;
    bool repeatable;
    bool keepAnswer; // for callers who send the same key again
    std::string weightVersion; // that must answer; empty: any
    std::optional<std::uint64_t> resumeFrom; // events of the stream that the caller has already
};

// Breaks off an attempt.
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

// The call is sent again, for the reason given: for counters only.
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

// Asks the owner of a team for a part of its ceiling.
struct AskAllowance
{
    std::string owner;
    std::string ownerAddress;
    AllowanceAsk ask;
};

// Tells the holder of a key how the call ended.
struct FinishClaim
{
    std::string holder;
    IdempotencyKey key;
    RunState state;
    KeptAnswer answer;
};

// Ends the call with an answer that was kept.
struct AnswerKept
{
    CallId call;
    KeptAnswer answer;
};

using Action
    = std::variant<AskAllowance, ClaimKey, FinishClaim, AnswerKept, AskPermit, WithdrawAsk,
                   ReleasePermit, HoldPermit, SendCall, CancelAttempt, EndCall, CountRetry>;

} // namespace fordwood

#endif // FORDWOOD_CALL_HPP_INCLUDED
