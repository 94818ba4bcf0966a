// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALL_LOG_HPP_INCLUDED
#define FORDWOOD_NODE_CALL_LOG_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fordwood/clock.hpp"
#include "fordwood/engine_chooser.hpp"
#include "fordwood/prompt.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "fordwood/stream_origins.hpp"

namespace fordwood::node {

// The result of a request and what led to it, for the log.
struct CallSummary
{
    std::string request; // request id
    std::string route; // empty: no route matched
    std::string team;
    std::uint64_t configuration = 0; // version of the configuration
    std::string upstream; // of the last attempt
    std::string proxy; // peer through which the last attempt went; empty: none
    std::size_t sends = 0;
    std::string_view outcome;
    unsigned status = 0; // zero: the answer was aborted, or the caller disconnected
    Duration duration{};
    std::optional<Duration> firstEvent; // of a stream, time since the request arrived
    const EngineChoice *engine = nullptr; // of the last choice; null: none was made
    const Prompt *prompt = nullptr; // null: the request has none
    // The upstream's state according to its last answer.
    bool isUpstreamDraining = false;
    std::optional<Duration> backoff;
};

// An upstream closed the connection, or it failed, while the upstream was handling a request.
struct AttemptFailure
{
    std::string request; // request id, which changes when the caller repeats the request
    std::string upstream;
    std::string cause;
    std::uint64_t eventsPassed = 0; // id of the last event that was passed on
    Duration elapsed{}; // since the upstream was chosen
    RequestFingerprint fingerprint; // stays the same when the caller repeats the request
    const Prompt *prompt = nullptr; // null: the request has none
};

// An answer that named neither a length nor chunks ended with its connection.
struct UnframedAnswer
{
    std::string request; // request id
    std::string upstream;
    unsigned status = 0;
    std::size_t bytes = 0; // of its body
    bool isCut = false; // taken for one that is not complete
};

// A stream that has broken off goes on at an upstream.
struct StreamResumption
{
    std::string request; // request id
    std::string firstAttempt; // request id of the attempt that brought the first event
    std::uint64_t lastEvent = 0; // that the caller has
    std::string_view by; // "caller" or "node"
    std::string began; // software version that began the stream; empty: unknown
    std::string upstream;
    std::string software; // version of the upstream's software
};

// How a node found out where a stream began that its caller takes up.
struct OriginFinding
{
    StreamKey stream = 0;
    std::string service; // where the stream would go on
    std::string_view knownBy; // "record", "only-version", "nothing"
    std::string began; // software version; empty: not known
    std::size_t versions = 0; // that the service has had, as far as the nodes that replied know
    bool isComplete = false; // one of these nodes has seen all of them
    std::size_t replies = 0; // from peers
    Duration elapsed{};
};

// Logs the event StreamOriginSearched.
void logOriginFinding(const OriginFinding &finding);

// An upstream has sent an event whose id does not rise.
struct StreamDisorder
{
    std::string request; // request id
    std::string upstream;
    std::uint64_t lastEvent = 0; // that the caller has
    std::optional<std::uint64_t> found; // id of the event; nullopt: it has none
};

// A request that is open at the end of a planned stop, or shortly before.
struct OpenRequest
{
    std::string request; // request id
    std::string route;
    bool mayRunAgain = false;
    std::string upstream; // of the last attempt; empty: none was made
    bool isSent = false; // to that upstream
    std::uint64_t eventsPassed = 0; // id of the last event that was passed on
    Duration arrived{}; // time from the signal to its arrival; negative: it arrived before
    Duration elapsed{}; // since its arrival
    Duration attemptElapsed{}; // since the upstream was chosen; zero: no attempt is open
    Duration silence{}; // since the upstream last sent something; zero: nothing was sent to it
};

// Logs the event RequestOpenLate.
void logRequestOpenLate(const OpenRequest &open);

// Logs the event RequestCutByStop.
void logRequestCut(const OpenRequest &cut);

// A request that an upstream had and that ends during a planned stop without its whole answer.
struct UnfinishedRequest
{
    OpenRequest request;
    std::string_view outcome;
    unsigned status = 0; // zero: the answer was aborted, or the caller disconnected
    bool hasInputEnded = false; // of the caller, which was taken to wait
    Duration timeLeft{}; // of its time limit
};

// Logs the event RequestUnfinishedInStop.
void logUnfinishedInStop(const UnfinishedRequest &end);

// Logs the event CallDropped.
void logDroppedCall(const std::string &requestId, const std::string &upstream);

// Logs the event StreamOrderBroken.
void logStreamOrderBroken(const StreamDisorder &disorder);

// Logs the event StreamResumed.
void logStreamResumption(const StreamResumption &resumption);

// Logs the event AnswerUnframed.
void logUnframedAnswer(const UnframedAnswer &answer);

// Logs the event AttemptFailed.
void logAttemptFailure(const AttemptFailure &failure);

// Logs the event RequestEnded.
void logCallSummary(const CallSummary &end);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALL_LOG_HPP_INCLUDED
