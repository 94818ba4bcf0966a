// SPDX-License-Identifier: MIT
// The part of CallHandler that receives answers of upstreams and passes them on.
#include "node/call_handler.hpp"

#include <algorithm>

#include "node/call_log.hpp"

namespace fordwood::node {

namespace {

// How long an upstream that rejected a request for lack of capacity is not used.
constexpr Duration kPushbackPause = std::chrono::milliseconds(150);

// How long an upstream is not used after another instance has answered at its address. The upstream
// has ended, and its record is removed within this time. Without the pause, and with such an
// attempt counted as the only one of a request, 3,800 of 55,000 requests were refused in one
// trial run of a day in which a third of the engines crashed and restarted three times.
constexpr Duration kGoneUpstreamPause = std::chrono::seconds(4);

constexpr unsigned kFirstServerError = 500;

// A body that no caller gets is read only so that its channel can be used again.
constexpr std::size_t kMaxSkippedBody = 65'536;

// The body of an answer with another status than success. It is a message or a page for the caller,
// not content, so a longer one is taken for one without end.
constexpr std::size_t kMaxErrorBody = 1 << 20;

// Comments that are passed on between two events of a stream. Comments that keep a connection alive
// have a few bytes, and the largest that are usual fill a buffer of 2 KB on the way.
constexpr std::size_t kMaxCommentBytes = 65'536;

// Parts of an answer without an event that may take longer than the route's target latency.
// Comments that keep a connection alive come once a second at most, so that this many of them pass
// on every route whose answers take less than half a minute.
constexpr std::size_t kMaxSlowParts = 32;

bool isSuccess(unsigned status)
{
    constexpr unsigned kFirstSuccess = 200;
    constexpr unsigned kFirstOther = 300;
    return status >= kFirstSuccess && status < kFirstOther;
}

} // namespace

bool CallHandler::isStreamed() const
{
    return m_call.route->streaming && m_attempt && isSuccess(m_attempt->answer->result_int());
}

void CallHandler::onHead(const http::response_header<> &head)
{
    const auto self = shared_from_this();
    m_attempt->lastDataAt = m_state.clock().now();
    m_state.health().dataReceived(m_attempt->upstream.instanceId);
    m_attempt->head = platform::readAnswerHead(head.result_int(), head);
    m_attempt->answer = head;
    m_state.recordUpstreamState(m_caller.requestId, *m_attempt);
    // The answer belongs to another request. Ours may have run.
    if (m_attempt->head.requestId != m_caller.requestId) {
        m_state.health().answeredWithError(m_attempt->upstream.instanceId);
        endAttempt(false);
        handleFailure({RunState::MayHaveRun, Reason::UpstreamBroke, m_streamStarted});
        return;
    }
    m_state.recordLimit(m_caller.requestId, *m_attempt);
    m_state.recordBrittleness(m_caller.requestId, *m_attempt);
    if (m_attempt->head.hasNotRun || !isSuccess(head.result_int()))
        return;
    m_mayBeWhole = false; // this run tells
    if (!m_attempt->head.isSealed) {
        m_state.health().answeredWithError(m_attempt->upstream.instanceId);
        endAttempt(false);
        handleFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamStarted});
    }
}

bool CallHandler::onBody(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_attempt->lastDataAt = m_state.clock().now();
    m_attempt->bodyBytes += bytes.size();
    m_state.health().dataReceived(m_attempt->upstream.instanceId);
    if (isStreamed() && !m_attempt->head.hasNotRun)
        return forwardEvents(bytes);
    if (m_attempt->head.hasNotRun) // the caller gets another answer
        return skipBody(bytes.size());
    if (m_streamStarted && !m_isPassedThrough) // the stream was not resumed
        return skipBody(bytes.size());
    if (!isSuccess(m_attempt->answer->result_int()) && isEndlessError(bytes.size())) {
        handleUselessAnswer("the body of an error does not end");
        return false;
    }
    return m_isPassedThrough ? m_writer.sendChunk(bytes) : collectBody(bytes);
}

bool CallHandler::skipBody(std::size_t n)
{
    if (!isTooUseless(n, kMaxSkippedBody))
        return true;
    if (m_attempt->head.hasNotRun) {
        handleRejection(false);
        return false;
    }
    m_state.health().answeredWithError(m_attempt->upstream.instanceId);
    endAttempt(false);
    handleFailure({RunState::MayHaveRun, Reason::UpstreamBroke, m_streamStarted});
    return false;
}

// Whether the body of an error is more than a sound upstream sends. One whose length is named ends
// by itself, however slowly it comes.
bool CallHandler::isEndlessError(std::size_t bytes)
{
    const bool isLengthKnown
        = m_attempt->answer->find(http::field::content_length) != m_attempt->answer->end();
    return isLengthKnown ? isTooLarge(bytes, kMaxErrorBody) : isTooUseless(bytes, kMaxErrorBody);
}

// Counts a part of an answer that is of no use to the caller. Returns whether it is more than a
// sound upstream sends.
bool CallHandler::isTooLarge(std::size_t bytes, std::size_t maxBytes)
{
    m_attempt->useless.bytes += bytes;
    return m_attempt->useless.bytes > maxBytes;
}

// As isTooLarge(), or whether it came for so long that the caller has no use for what may follow.
bool CallHandler::isTooUseless(std::size_t bytes, std::size_t maxBytes)
{
    if (isTooLarge(bytes, maxBytes))
        return true;
    const TimePoint now = m_state.clock().now();
    UselessInput &useless = m_attempt->useless;
    if (useless.parts == 0)
        useless.since = now;
    useless.parts += 1;
    const Duration targetLatency = m_call.route->targetLatency;
    // What is passed through may be slow because its caller is.
    return !m_isPassedThrough && targetLatency > Duration::zero() && useless.parts > kMaxSlowParts
           && now - useless.since > targetLatency;
}

// Holds the body until it is complete, so that another upstream can be tried if this one fails
// before that. A body that is too large to hold is forwarded from then on.
bool CallHandler::collectBody(std::string_view bytes)
{
    m_attempt->body.append(bytes);
    m_answerBuffer.resize(m_attempt->body.size());
    return m_state.buffers().mayReadAnswer(m_answerBuffer) || beginPassThrough();
}

bool CallHandler::beginPassThrough()
{
    m_isPassedThrough = true;
    m_streamStarted = true;
    m_writer.beginStream(answerHead(), StreamEnd::LastChunk);
    const std::string body = std::move(m_attempt->body);
    m_answerBuffer.resize(0);
    return m_writer.sendChunk(body);
}

void CallHandler::endPassThrough()
{
    const unsigned status = m_attempt->answer->result_int();
    if (status < kFirstServerError)
        m_state.health().succeeded(m_attempt->upstream.instanceId);
    else
        m_state.health().answeredWithError(m_attempt->upstream.instanceId);
    if (isSuccess(status))
        recordAnswered();
    endAttempt(true);
    m_writer.endStream();
    finish(isSuccess(status) ? kAnswered : kUpstreamFailure, status);
}

bool CallHandler::forwardEvents(std::string_view bytes)
{
    const std::uint64_t eventsBefore = m_eventSplitter.dataEvents();
    const std::string_view events = m_eventSplitter.add(bytes);
    // A large event may come in many parts; the limits of incomplete events bound it.
    const bool isEventGrowing = events.empty() && m_eventSplitter.hasPartialEvent();
    recordPromptComputed();
    if (m_eventSplitter.dataEvents() > eventsBefore) {
        m_attempt->useless = {};
    } else if (!m_eventSplitter.isOutOfOrder() && !isEventGrowing
               && isTooUseless(events.size(), kMaxCommentBytes)) {
        handleUselessAnswer("no event for too long");
        return false;
    }
    bool wantsMore = true;
    if (!events.empty()) {
        if (!m_streamStarted)
            beginStream();
        recordEvent();
        wantsMore = m_writer.sendChunk(events);
    }
    if (m_eventSplitter.isOutOfOrder()) {
        onEventOutOfOrder();
        return false;
    }
    return holdPartialEvent() && wantsMore;
}

// Counts what is held of an event that is not whole. Returns false if that is too much and the
// attempt has ended.
bool CallHandler::holdPartialEvent()
{
    m_eventSplitter.dropReturned();
    m_answerBuffer.resize(m_eventSplitter.partialBytes());
    if (m_eventSplitter.isTooLong()) {
        handleUselessAnswer("an event is too long");
        return false;
    }
    if (!m_state.buffers().mayHoldEvent(m_answerBuffer)) {
        handleUselessAnswer("no space for the rest of an event");
        return false;
    }
    return true;
}

// Ends an attempt whose upstream sends more than the node can use. Where space is short because of
// others, all upstreams with large events are counted alike, which leaves the choice among them.
void CallHandler::handleUselessAnswer(std::string_view cause)
{
    logAttemptFailure({m_caller.requestId, m_attempt->upstream.instanceId, std::string(cause),
                       m_eventSplitter.lastId().value_or(0),
                       m_state.clock().now() - m_attempt->startedAt, fingerprint(),
                       m_caller.prompt ? &*m_caller.prompt : nullptr});
    m_state.health().answeredWithError(m_attempt->upstream.instanceId);
    endAttempt(false);
    handleFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamStarted});
}

// The upstream has begun anew, or has sent an event twice. What follows does not fit to what the
// caller has; another upstream may continue the stream.
void CallHandler::onEventOutOfOrder()
{
    logStreamOrderBroken({m_caller.requestId, m_attempt->upstream.instanceId,
                          m_eventSplitter.lastId().value_or(0), m_eventSplitter.outOfOrderId()});
    m_state.health().answeredWithError(m_attempt->upstream.instanceId);
    endAttempt(false);
    handleFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamStarted});
}

void CallHandler::recordEvent()
{
    const TimePoint now = m_state.clock().now();
    if (m_lastEventAt != TimePoint{})
        m_longestPause = std::max(m_longestPause, now - m_lastEventAt);
    m_lastEventAt = now;
}

// Counts the prompt as computed and the context to fetch as received.
void CallHandler::recordPromptComputed()
{
    if (m_attempt->promptComputed)
        return;
    m_attempt->promptComputed = true;
    m_state.loads().promptComputed(m_attempt->upstream.instanceId, m_attempt->load);
    m_state.placements().promptComputed(m_attempt->placement);
    for (const auto &[store, tokens] : m_attempt->engine.fetchTokens)
        m_state.loads().end(store, {tokens, 0}, false);
}

void CallHandler::beginStream()
{
    m_streamStarted = true;
    if (m_call.terms.resumable)
        recordOrigin();
    m_firstEventAt = m_state.clock().now();
    const EngineChoice &engine = m_attempt->engine;
    // Short prompts overtake the engine's queue, so their latency does not show its pace.
    if (!engine.isShort)
        m_state.pace(m_call.pool->name)
            .observe(engine.loadBefore.tokensToCompute + engine.load.tokensToCompute,
                     *m_firstEventAt - m_attempt->startedAt);
    m_streamStatus = m_attempt->answer->result_int();
    if (hasNoFraming())
        m_streamEnd = StreamEnd::Connection;
    m_writer.beginStream(answerHead(), m_streamEnd);
}

// Ends a stream that has begun and cannot go on.
void CallHandler::cutStream(std::string_view outcome)
{
    if (m_mayBeWhole) {
        m_writer.endStream();
        finish(kAnswered, m_streamStatus);
        return;
    }
    m_writer.abort();
    finish(outcome, 0);
}

// Whether the answer names neither a length nor chunks.
bool CallHandler::hasNoFraming() const
{
    const http::response_header<> &head = *m_attempt->answer;
    const auto coding = head.find(http::field::transfer_encoding);
    const bool isChunked
        = coding != head.end() && http::token_list(coding->value()).exists("chunked");
    return !isChunked && head.find(http::field::content_length) == head.end();
}

http::response_header<> CallHandler::answerHead() const
{
    http::response_header<> head;
    head.result(m_attempt->answer->result_int());
    head.version(11);
    platform::writeCallerHead(*m_attempt->answer, head);
    return head;
}

void CallHandler::onCallerReady()
{
    if (m_attempt && m_attempt->channel)
        m_attempt->channel->resumeReading();
}

void CallHandler::onAnswerEnd(AnswerEnd end)
{
    const auto self = shared_from_this();
    const bool isCut = end == AnswerEnd::Connection && !mayEndWithConnection();
    if (end == AnswerEnd::Connection)
        logUnframedAnswer({m_caller.requestId, m_attempt->upstream.instanceId,
                           m_attempt->answer->result_int(), m_attempt->bodyBytes, isCut});
    if (isCut)
        handleCutAnswer();
    else
        handleAnswer();
}

// Whether the answer is taken as complete although only the end of its connection tells so, as an
// upstream that crashes may close its connections in the same way. A success without a body may be
// no more than a head. A stream's caller is told its end in the same way, and a stream that may be
// resumed is asked for at another upstream first.
bool CallHandler::mayEndWithConnection() const
{
    if (m_attempt->head.hasNotRun || !isSuccess(m_attempt->answer->result_int()))
        return true;
    if (!isStreamed())
        return m_attempt->bodyBytes > 0;
    return mayStreamBeWhole() && (!m_plan.policy().resumable || m_attempt->isResumption);
}

// Whether a stream that ends with its connection ends after whole events, and its caller is told
// its end in the same way.
bool CallHandler::mayStreamBeWhole() const
{
    return m_streamEnd == StreamEnd::Connection && m_eventSplitter.dataEvents() > 0
           && !m_eventSplitter.hasPartialEvent();
}

// Handles an answer that ended before it was known to be complete. A stream whose events are whole
// may have been complete, so it says nothing against its upstream or its request.
void CallHandler::handleCutAnswer()
{
    const bool isCertain = m_attempt->bodyBytes == 0 || m_eventSplitter.hasPartialEvent();
    m_mayBeWhole = mayStreamBeWhole();
    endAttempt(false);
    if (isCertain) {
        m_state.health().failed(m_attempt->upstream.instanceId);
        recordDisconnect();
    }
    handleFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamStarted});
}

void CallHandler::handleAnswer()
{
    const unsigned status = m_attempt->answer->result_int();
    const std::string id = m_attempt->upstream.instanceId;
    UpstreamHealth &health = m_state.health();
    if (m_attempt->head.hasNotRun) {
        handleRejection(true);
        return;
    }
    if (m_isPassedThrough) {
        endPassThrough();
        return;
    }
    if (isStreamed()) {
        if (m_eventSplitter.hasPartialEvent()) {
            handleCutAnswer();
            return;
        }
        endAttempt(true);
        health.succeeded(id);
        // A stream without events says nothing of its prompt.
        if (m_firstEventAt) {
            recordAnswered();
            m_state.pace(m_call.pool->name).observeAnswer(m_state.clock().now() - *m_firstEventAt);
        }
        if (!m_streamStarted) { // without events, or an answer that has no body by its nature
            forwardAnswer();
            return;
        }
        m_writer.endStream();
        finish(kAnswered, status);
        return;
    }
    if (status < kFirstServerError)
        health.succeeded(id);
    else
        health.answeredWithError(id);
    if (m_streamStarted) { // the stream was not resumed
        endAttempt(true);
        handleFailure({RunState::MayHaveRun, Reason::UpstreamBroke, true});
        return;
    }
    if (isSuccess(status))
        recordAnswered();
    if (status < kFirstServerError || !m_plan.policy().mayRunAgain) {
        forwardAnswer();
        return;
    }
    // The upstream failed: another one is tried if a retry is allowed, else this answer is
    // forwarded.
    const auto nextStep
        = m_plan.afterFailure({RunState::Ran, Reason::UpstreamBroke, false}, m_state.clock().now(),
                              [this] { return m_state.takeRetry(m_call.pool->name); });
    if (nextStep != AfterFailure::SendAgain) {
        forwardAnswer();
        return;
    }
    m_state.metrics().countRetry(Reason::UpstreamBroke);
    endAttempt(true);
    startAttempt();
}

// Handles an answer which states that the request has not run. It comes from the upstream or from
// another instance at its address.
void CallHandler::handleRejection(bool isComplete)
{
    const std::string id = m_attempt->upstream.instanceId;
    const bool isOtherInstance = platform::isFromOtherInstance(m_attempt->head, id);
    const bool isMismatch = m_attempt->head.isInstanceMismatch;
    m_attempt->wasRejected = !isMismatch;
    if (m_attempt->wasRejected)
        m_state.logRejection(m_caller.requestId, *m_attempt);
    // An engine that rejects a request only because the node assumed other weights is healthy and
    // needs no pause: from now on it gets the requests for the weights that it runs. Without this
    // correction the engine rejected every request that the node sent it after each pause.
    const bool hasCorrectedWeights
        = isMismatch && !isOtherInstance
          && m_state.recordWeightMismatch(m_caller.requestId, *m_attempt);
    if (!hasCorrectedWeights)
        m_state.health().refused(id, isOtherInstance ? kGoneUpstreamPause : kPushbackPause);
    endAttempt(isComplete);
    if (isOtherInstance) {
        m_state.channels().closeIdle(id);
        m_plan.reachedOtherInstance();
        handleFailure({RunState::NotRun, Reason::UpstreamGone, m_streamStarted});
        return;
    }
    handleFailure({RunState::NotRun,
                   isMismatch ? Reason::VersionMismatch : Reason::UpstreamPushback,
                   m_streamStarted});
}

void CallHandler::forwardAnswer()
{
    const unsigned status = m_attempt->answer->result_int();
    http::response_header<> head = answerHead();
    std::string body = std::move(m_attempt->body);
    endAttempt(true);
    m_writer.sendAnswer(std::move(head), std::move(body));
    finish(isSuccess(status) ? kAnswered : kUpstreamFailure, status);
}

void CallHandler::onChannelFailure(const ErrorCode &cause)
{
    const auto self = shared_from_this();
    const bool isProxied = !m_attempt->proxy.empty();
    const bool isPathAtFault = !isProxied && m_state.paths().channelFailed(m_attempt->upstream);
    const auto blameUpstream = [&state = m_state, id = m_attempt->upstream.instanceId] {
        state.health().failed(id);
        // The idle channels to this upstream have probably failed as well.
        state.channels().closeIdle(id);
    };
    if (isProxied)
        m_state.paths().ifPeerWorks(m_attempt->proxy, m_attempt->upstream, blameUpstream);
    else if (isPathAtFault)
        m_state.channels().closeIdle(m_attempt->upstream.instanceId);
    else
        blameUpstream();
    logAttemptFailure({m_caller.requestId, m_attempt->upstream.instanceId, cause.message(),
                       m_eventSplitter.lastId().value_or(0),
                       m_state.clock().now() - m_attempt->startedAt, fingerprint(),
                       m_caller.prompt ? &*m_caller.prompt : nullptr});
    // Through a peer, either the peer or the upstream may have closed the connection.
    if (!isPathAtFault && !isProxied)
        recordDisconnect();
    endAttempt(false);
    handleFailure({RunState::MayHaveRun, Reason::UpstreamBroke, m_streamStarted});
}

// A connection whose path is lost without a reset would otherwise keep the request until its
// deadline. Other connections on the node's own path may live on, so silence decides.
void CallHandler::onCutOff()
{
    if (m_isFinished || !m_attempt || !m_attempt->isOpen || !m_attempt->sent
        || !m_attempt->proxy.empty())
        return;
    const bool mayResend
        = maySendAgain(RunState::MayHaveRun, m_plan.policy().mayRunAgain,
                       m_isPassedThrough || (m_streamStarted && !m_plan.policy().resumable));
    const Duration silence = m_state.clock().now() - m_attempt->lastDataAt;
    if (mayResend && silence >= ChannelPool::kUnacknowledgedTimeout)
        onChannelFailure(net::error::timed_out);
}

} // namespace fordwood::node
