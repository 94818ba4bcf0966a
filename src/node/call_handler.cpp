// SPDX-License-Identifier: MIT
#include "node/call_handler.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/caller_presence.hpp"
#include "node/call_log.hpp"
#include "node/refusal.hpp"

namespace fordwood::node {

namespace {

// With less time than this left, the request is not sent: no upstream could answer it in time.
constexpr std::chrono::milliseconds kMinRemainingTime{5};

// While no upstream is available, the node tries again at this interval.
constexpr Duration kUpstreamRetryInterval = std::chrono::milliseconds(25);

// Evacuations and starts of upstreams take seconds at least.
constexpr std::chrono::milliseconds kNoneInServiceRetryAfter{1'000};

// Prompts with this many tokens to compute are reported to peers immediately: they keep an engine
// busy for tens of milliseconds, longer than peers would otherwise take to learn of them.
constexpr std::size_t kHeavyPromptTokens = 1'500;

} // namespace

CallHandler::CallHandler(NodeState &state, AnswerWriter &writer, http::request_header<> head,
                         HeldBody body, TimePoint arrived)
    : m_state(state), m_writer(writer), m_head(std::move(head)),
      m_body(std::make_shared<const std::string>(std::move(body.bytes))),
      m_bodyBuffer(std::move(body.held)), m_answerBuffer(state.buffers()), m_arrived(arrived),
      m_caller(platform::readCallerHead(m_head)), m_deadlineTimer(state.context()),
      m_retryTimer(state.context()), m_counts(state.callCounts())
{ }

CallHandler::~CallHandler()
{
    if (!m_hasBegun || m_isFinished)
        return;
    m_counts->dropped += 1;
    logDroppedCall(m_caller.requestId, m_lastUpstream);
}

void CallHandler::start()
{
    m_hasBegun = true;
    m_counts->begun += 1;
    const auto refused = admit();
    m_state.countDuringStop(refused == Reason::Stopping);
    if (refused) {
        rejectWith(Verdict::of(*refused, {}, kRetryAfter));
        return;
    }
    m_plan = CallPlan(m_call.terms);
    startDeadlineTimer();
    if (continuesStream(m_call, m_caller))
        continueStream();
    else
        beginServing();
}

void CallHandler::beginServing()
{
    m_state.countRequest(m_call.pool->name);
    if (m_call.pool->engine && m_caller.prompt)
        m_state.countPrompt(*m_caller.prompt, *m_call.pool->engine);
    startAttempt();
}

std::optional<Reason> CallHandler::admit()
{
    if (const auto refused = admitCall(m_state, m_head, m_caller, m_arrived, m_call))
        return refused;
    if (m_call.team == nullptr)
        return std::nullopt;
    m_bodyBuffer.setTeam(m_call.team->name);
    m_answerBuffer.setTeam(m_call.team->name);
    m_writer.setTeam(m_call.team->name);
    if (!m_state.buffers().mayHoldRequest(m_bodyBuffer))
        return Reason::BuffersFull;
    return std::nullopt;
}

void CallHandler::startDeadlineTimer()
{
    m_deadlineTimer.startUntil(m_plan.policy().answerBy, [self = shared_from_this()] {
        if (!self->m_isFinished)
            self->onDeadline();
    });
}

std::chrono::milliseconds CallHandler::remainingTime() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_plan.policy().answerBy
                                                                 - m_state.clock().now());
}

void CallHandler::startAttempt()
{
    if (remainingTime() < kMinRemainingTime) {
        onDeadline();
        return;
    }
    // The caller may have left: no further upstream gets its request.
    if (m_hasInputEnded && !m_streamStarted) {
        m_plan.setReason(Reason::InputEnded);
        rejectWith(m_plan.verdict(kRetryAfter));
        return;
    }
    if (const auto hold = findHold()) {
        rejectQuarantined(*hold);
        return;
    }
    if (wouldBeCutByStop()) {
        rejectForStop();
        return;
    }
    const auto shard = m_streamStarted ? std::nullopt : scheduledShard(m_state, m_call, m_caller);
    // Schedulers do not know where a stream can go on.
    if (shard && !isBoundToVersion(m_state, m_origin))
        requestPlacement(*shard);
    else
        chooseLocally(shard);
}

void CallHandler::requestPlacement(const EngineShard &shard)
{
    m_state.placements().request(
        placementRequest(m_state, m_call, m_caller, m_plan, shard, fingerprint()),
        [self = shared_from_this(), shard](const std::optional<PlacementReply> &reply,
                                           const PlacementHandle &placement) {
            self->onPlacement(shard, reply, placement);
        });
}

void CallHandler::onPlacement(const EngineShard &shard, const std::optional<PlacementReply> &reply,
                              const PlacementHandle &placement)
{
    const bool isPlaced = reply && reply->outcome == PlacementOutcome::Placed;
    if (m_isFinished) { // the caller has disconnected, or the deadline has passed
        if (isPlaced)
            m_state.placements().ended(placement);
        return;
    }
    if (reply && reply->outcome == PlacementOutcome::Busy) {
        m_plan.setReason(Reason::UpstreamBusy);
        rejectWith(m_plan.verdict(std::max(kRetryAfter, reply->retryAfter)));
        return;
    }
    if (isPlaced) {
        m_attempt = scheduledAttempt(m_state, m_call, m_caller, m_plan, *reply, m_origin);
        if (m_attempt) {
            m_attempt->placement = placement;
            beginAttempt();
            return;
        }
        m_state.placements().ended(placement);
    }
    chooseLocally(shard);
}

// Chooses the upstream at this node. `shard`: set if a scheduler must learn of the choice.
void CallHandler::chooseLocally(const std::optional<EngineShard> &shard)
{
    if (!selectUpstream()) {
        handleNoUpstream();
        return;
    }
    if (shard)
        reportLocalPlacement(m_state, m_call, *shard, *m_attempt);
    beginAttempt();
}

void CallHandler::beginAttempt()
{
    if (needsPlace())
        requestPlace();
    else
        sendAttempt();
}

void CallHandler::sendAttempt()
{
    const PathChoice path
        = choosePath(m_state, m_call, m_caller, m_plan, *m_attempt, m_failedProxies);
    if (!path.isUsable) {
        dropAttempt();
        handleNoUpstream();
        return;
    }
    m_plan.beginSend(m_attempt->upstream.instanceId);
    m_attempt->startedAt = m_state.clock().now();
    m_lastUpstream = m_attempt->upstream.instanceId;
    m_state.loads().begin(m_lastUpstream, m_attempt->load);
    for (const auto &[store, tokens] : m_attempt->engine.fetchTokens)
        m_state.loads().begin(store, {tokens, 0});
    if (m_attempt->load.tokensToCompute >= kHeavyPromptTokens)
        m_state.requestLoadReport();
    if (path.proxy) {
        m_attempt->proxy = path.proxy->name;
        m_state.paths().connectThrough(
            *path.proxy, m_attempt->upstream,
            [self = shared_from_this()](std::shared_ptr<HttpChannel> channel, ProxyResult result) {
                self->onProxied(std::move(channel), result);
            });
        return;
    }
    m_state.channels().acquire(
        m_attempt->upstream,
        [self = shared_from_this()](std::shared_ptr<HttpChannel> channel, const ErrorCode &ec) {
            self->onConnected(std::move(channel), ec);
        });
}

// A stream that only some upstreams can continue is not rejected for being late: its caller would
// lose the part that it has.
ChoiceTerms CallHandler::choiceTerms() const
{
    return {m_streamStarted || isBoundToVersion(m_state, m_origin), m_origin};
}

bool CallHandler::selectUpstream()
{
    UpstreamChoice choice = chooseUpstream(m_state, m_call, m_caller, m_plan, choiceTerms());
    if (choice.busyEngine)
        m_busyEngine = std::move(choice.busyEngine);
    m_unavailable = std::move(choice.unavailable);
    if (!choice.attempt)
        return false;
    m_attempt = std::move(choice.attempt);
    return true;
}

void CallHandler::handleNoUpstream()
{
    if (m_origin && isVersionGone(m_state, *m_origin)) {
        // A peer may have told of a version whose upstreams this node does not know yet.
        if (!std::exchange(m_hasWaitedForVersion, true)) {
            waitUntilCurrent(&CallHandler::onCurrentForVersion);
            return;
        }
        rejectLostStream(Reason::StreamVersionGone, kNoneInServiceRetryAfter);
        return;
    }
    if (m_busyEngine) {
        m_plan.setReason(Reason::UpstreamBusy);
        rejectWith(m_plan.verdict(std::max(kRetryAfter, m_call.route->targetLatency)));
        return;
    }
    if (!m_streamStarted && m_state.isEvacuated(*m_call.pool)) {
        m_plan.setReason(Reason::DomainEvacuated);
        rejectWith(m_plan.verdict(kNoneInServiceRetryAfter));
        return;
    }
    if (!m_streamStarted && m_state.isFullyDraining(*m_call.pool)) {
        m_plan.setReason(Reason::UpstreamLeaving);
        rejectWith(m_plan.verdict(kNoneInServiceRetryAfter));
        return;
    }
    if (!m_streamStarted && m_unavailable) {
        m_lastUpstream = m_unavailable->upstream;
        m_plan.setReason(m_unavailable->reason);
        rejectWith(m_plan.verdict(std::max(kRetryAfter, m_unavailable->retryAfter)));
        return;
    }
    const Duration patience = m_call.route->targetLatency / kWaitDivisor;
    const TimePoint now = m_state.clock().now();
    if (m_streamStarted || now - m_arrived >= patience) {
        if (m_streamStarted) {
            cutStream("cut-no-upstream");
            return;
        }
        m_plan.setReason(Reason::NoUpstream);
        rejectWith(m_plan.verdict(kRetryAfter));
        return;
    }
    m_retryTimer.start(kUpstreamRetryInterval, [self = shared_from_this()] {
        if (!self->m_isFinished)
            self->startAttempt();
    });
}

void CallHandler::onConnected(std::shared_ptr<HttpChannel> channel, const ErrorCode &ec)
{
    if (m_isFinished || !m_attempt) {
        // The caller has disconnected or the deadline has passed. Nothing has been sent.
        m_state.channels().discard(m_lastUpstream, channel);
        return;
    }
    m_attempt->channel = std::move(channel);
    if (!ec) {
        if (m_attempt->channel->isNew())
            m_state.paths().connected(m_attempt->upstream);
        sendRequest();
        return;
    }
    m_state.paths().connectFailed(m_attempt->upstream, ec);
    m_state.health().failed(m_attempt->upstream.instanceId);
    // No process listens at the address: an upstream that answers there later has just started.
    if (ec == net::error::connection_refused)
        m_state.paths().ifPathWorks(
            m_call.pool->name,
            [&gate = m_state.gate().coldGate(), id = m_attempt->upstream.instanceId,
             coldStart = m_call.pool->coldStart] { gate.suspectRestart(id, coldStart); });
    m_plan.connectionFailed();
    endAttempt(false);
    handleFailure({RunState::NotRun, Reason::ConnectFailed, m_streamStarted});
}

void CallHandler::onProxied(std::shared_ptr<HttpChannel> channel, ProxyResult result)
{
    if (m_isFinished || !m_attempt) {
        // The caller has disconnected or the deadline has passed. Nothing has been sent.
        m_state.channels().discard(m_lastUpstream, channel);
        return;
    }
    m_attempt->channel = std::move(channel);
    if (result == ProxyResult::Connected) {
        sendRequest();
        return;
    }
    if (result == ProxyResult::UpstreamUnreachable) {
        m_state.health().failed(m_attempt->upstream.instanceId);
        m_plan.connectionFailed();
    } else {
        m_failedProxies.insert(m_attempt->proxy);
        m_plan.proxyFailed(m_attempt->upstream.instanceId);
    }
    endAttempt(false);
    handleFailure({RunState::NotRun, Reason::ConnectFailed, m_streamStarted});
}

// Whether the chosen engine would still start the request before its weights are too old.
bool CallHandler::beginsInTime() const
{
    if (!m_call.pool->engine || !m_caller.prompt)
        return true;
    const EngineChoice &engine = m_attempt->engine;
    return m_state.engines().beginsInTime(engine.weightVersion, engine.firstTokenDelay,
                                          m_state.weights(m_caller.prompt->model));
}

void CallHandler::sendRequest()
{
    // While the channel was connecting, the upstream may have started to drain, or its failure
    // domain may have been evacuated.
    if (!m_state.upstreams().takesNewWork(m_attempt->upstream.instanceId)) {
        m_plan.connectionFailed();
        endAttempt(true);
        handleFailure({RunState::NotRun, Reason::UpstreamLeaving, m_streamStarted});
        return;
    }
    // During that time the upstream's rate limit may have been used up, it may have become cold or
    // announced a limit, or, if this process was suspended, its weights may have become too old.
    // The attempt does not count as a failure: another upstream is chosen.
    if (!m_state.gate().maySend(m_attempt->upstream.instanceId, m_call.pool->coldRequestsPerSecond)
        || !beginsInTime()) {
        m_plan.rejectedLocally(m_attempt->upstream.instanceId);
        endAttempt(true);
        startAttempt();
        return;
    }
    // The wait for a place and for the channel took a part of the planned stop.
    if (wouldBeCutByStop()) {
        m_plan.rejectedLocally(m_attempt->upstream.instanceId);
        endAttempt(true);
        rejectForStop();
        return;
    }
    m_state.gate().recordSend(m_attempt->upstream.instanceId);
    m_attempt->sent = true;
    m_attempt->isResumption = m_streamStarted;
    m_attempt->sentAt = m_state.clock().now();
    m_attempt->lastDataAt = m_attempt->sentAt;
    if (m_attempt->proxy.empty())
        m_state.paths().addUser(m_call.pool->name, weak_from_this());
    m_state.health().sent(m_attempt->upstream.instanceId);
    if (resumesStream())
        recordResumption();
    const UpstreamHeadOptions options{std::max(remainingTime(), kMinRemainingTime),
                                      m_eventSplitter.lastId(),
                                      m_state.settings().mechanisms.shortFirst};
    m_attempt->channel->exchange(upstreamHead(m_head, m_call, *m_attempt, options), m_body, *this);
}

void CallHandler::endAttempt(bool reusable)
{
    if (!m_attempt)
        return;
    const std::string &id = m_attempt->upstream.instanceId;
    if (!m_attempt->isOpen)
        return;
    m_attempt->isOpen = false;
    recordPromptComputed();
    m_state.places().giveBack(m_attempt->place, m_attempt->wasRejected);
    m_state.loads().end(id, m_attempt->load, true);
    const Duration maxPause = m_call.route->maxPause;
    m_state.placements().ended(m_attempt->placement,
                               maxPause > Duration::zero() && m_longestPause > maxPause);
    if (m_attempt->sent)
        m_state.health().ended(id);
    if (!m_attempt->channel)
        return;
    const std::shared_ptr<HttpChannel> channel = std::move(m_attempt->channel);
    m_attempt->channel.reset();
    m_answerBuffer.resize(0);
    if (reusable)
        m_state.channels().release(id, channel,
                                   m_attempt->head.keepAlive ? Duration(*m_attempt->head.keepAlive)
                                                             : ChannelPool::kDefaultKeepAlive);
    else
        m_state.channels().discard(id, channel);
}

void CallHandler::handleFailure(const FailedAttempt &failure)
{
    m_eventSplitter.endRun();
    // A part of this upstream's answer is with the caller, and no other upstream can continue it.
    if (m_isPassedThrough || !m_eventSplitter.canContinue()) {
        cutStream("cut");
        return;
    }
    const AfterFailure next = m_plan.afterFailure(failure, m_state.clock().now(), [&] {
        const bool mayCrash = failure.state != RunState::NotRun && !m_state.quarantine().isEmpty()
                              && m_state.quarantine().isRepeatUnsafe(identity());
        return !mayCrash && m_state.takeRetry(m_call.pool->name);
    });
    switch (next) {
    case AfterFailure::SendAgain:
        m_state.metrics().countRetry(failure.reason);
        startAttempt();
        return;
    case AfterFailure::EndWithVerdict:
        rejectWith(m_plan.verdict(retryAfter()));
        return;
    case AfterFailure::CutAnswer:
        cutStream("cut");
        return;
    }
}

// The retry time for a caller whose request has failed and is not repeated by the node.
std::chrono::milliseconds CallHandler::retryAfter()
{
    return std::max(kRetryAfter, retryAfterUnavailable(m_state, m_call).value_or(kRetryAfter));
}

void CallHandler::onDeadline()
{
    const bool wasSent = m_attempt && m_attempt->sent;
    if (wasSent)
        m_state.recordAnswerTime(m_call, m_state.clock().now() - m_arrived);
    recordUnanswered();
    endAttempt(false);
    if (m_streamStarted) {
        cutStream("cut-deadline");
        return;
    }
    m_plan.setReason(wasSent || m_plan.mayHaveRun() ? Reason::UpstreamTimeout
                                                    : Reason::DeadlineTooNear);
    Verdict verdict = m_plan.verdict(kRetryAfter);
    if (wasSent)
        verdict = Verdict::of(Reason::UpstreamTimeout);
    rejectWith(verdict);
}

void CallHandler::rejectWith(const Verdict &verdict)
{
    Refusal refusal = makeRefusal(verdict);
    const unsigned status = refusal.head.result_int();
    m_state.metrics().countRefusal(verdict.reason);
    m_writer.sendAnswer(std::move(refusal.head), std::move(refusal.body));
    finish(info(verdict.reason).name, status);
}

void CallHandler::onCallerDisconnect()
{
    if (m_isFinished)
        return;
    recordUnanswered();
    endAttempt(false);
    m_state.metrics().countRefusal(Reason::CallerLeft);
    finish(info(Reason::CallerLeft).name, 0);
}

void CallHandler::onInputEnded(bool isCloseAnnounced, bool hasTakenMore)
{
    if (m_isFinished)
        return;
    EndedInput ended;
    ended.isAtUpstream = isAtUpstream();
    ended.mayRunAgain = m_plan.policy().mayRunAgain;
    ended.isStreamed = m_call.route != nullptr && m_call.route->streaming;
    ended.hasBegun = m_streamStarted;
    ended.isCloseAnnounced = isCloseAnnounced;
    ended.hasTakenMore = hasTakenMore;
    if (ended.isCallerWaiting()) {
        m_hasInputEnded = true;
        return;
    }
    recordUnanswered();
    endAttempt(false);
    if (m_streamStarted) {
        m_state.metrics().countRefusal(Reason::CallerLeft);
        cutStream(info(Reason::CallerLeft).name);
        return;
    }
    m_plan.setReason(Reason::InputEnded);
    rejectWith(ended.isAtUpstream ? Verdict::of(Reason::InputEnded) : m_plan.verdict(kRetryAfter));
}

void CallHandler::finish(std::string_view outcome, unsigned status)
{
    m_isFinished = true;
    m_counts->ended += 1;
    logEndInStop(outcome, status);
    m_deadlineTimer.cancel();
    m_retryTimer.cancel();
    const Duration duration = m_state.clock().now() - m_arrived;
    m_state.metrics().observe("fordwood_request_seconds", duration);
    // The rest of a stream tells nothing of a whole one.
    if (outcome == kAnswered && !m_caller.continuesStream())
        m_state.recordAnswerTime(m_call, duration);
    if (m_firstEventAt)
        m_state.metrics().observe("fordwood_first_event_seconds", *m_firstEventAt - m_arrived);
    CallSummary end;
    end.request = m_caller.requestId;
    end.route = m_call.route != nullptr ? m_call.route->name : "";
    end.team = m_call.team != nullptr ? m_call.team->name : "";
    end.configuration = m_call.table ? m_call.table->config().version : 0;
    end.upstream = m_lastUpstream;
    end.proxy = m_attempt ? m_attempt->proxy : "";
    end.sends = m_plan.sends();
    end.outcome = outcome;
    end.status = status;
    end.duration = duration;
    if (m_firstEventAt)
        end.firstEvent = *m_firstEventAt - m_arrived;
    if (m_attempt) {
        end.isUpstreamDraining = m_attempt->head.isDraining;
        end.backoff = m_attempt->head.backoff.length;
    }
    end.engine = m_attempt ? &m_attempt->engine : m_busyEngine ? &*m_busyEngine : nullptr;
    end.prompt = m_caller.prompt ? &*m_caller.prompt : nullptr;
    logCallSummary(end);
}

} // namespace fordwood::node
