// SPDX-License-Identifier: MIT
#include "node/call_run.hpp"

#include <algorithm>

#include "node/call_log.hpp"
#include "node/refusal.hpp"

namespace fordwood::node {

namespace {

// Less than this is not worth sending: no upstream would finish.
constexpr std::chrono::milliseconds kLeastPatience{5};

// While no upstream may be used, this often one is looked for anew, for a quarter of the target
// latency: after that an early refusal serves the caller better.
constexpr Duration kLookAgain = std::chrono::milliseconds(25);
constexpr int kWaitPart = 4;

// What a refused caller is told to wait.
constexpr std::chrono::milliseconds kRetryAfter{250};

// An evacuation lasts for seconds at least, and so does the start of upstreams.
constexpr std::chrono::milliseconds kNoneInServiceRetryAfter{1'000};

// An upstream that has no room is passed over for a moment.
constexpr Duration kFullPause = std::chrono::milliseconds(150);

// An upstream at whose address another one answers has ended; its record is gone by then. Without
// this pause, and with a caller's only send spent on it, 3,800 of 55,000 requests were refused
// while a third of the engines crashed and came back three times (one play of such a day).
constexpr Duration kGonePause = std::chrono::seconds(4);

// A prompt that keeps an engine busy for tens of milliseconds: longer than other nodes would
// otherwise take to hear of it.
constexpr std::size_t kHeavyTokens = 1'500;

// How long an upstream keeps a resting channel when it does not say.
constexpr Duration kUsualKeepAlive = std::chrono::seconds(4);

bool isGood(unsigned status)
{
    constexpr unsigned kFirstGood = 200;
    constexpr unsigned kFirstOther = 300;
    return status >= kFirstGood && status < kFirstOther;
}

} // namespace

CallRun::CallRun(Traffic &traffic, CallerPort &port, http::request_header<> head, std::string body,
                 TimePoint arrived)
    : m_traffic(traffic), m_port(port), m_head(std::move(head)),
      m_body(std::make_shared<const std::string>(std::move(body))), m_arrived(arrived),
      m_caller(platform::readCallerHead(m_head)), m_deadline(traffic.context()),
      m_retry(traffic.context())
{ }

void CallRun::start()
{
    if (const auto refused = admitCall(m_traffic, m_head, m_caller, m_arrived, m_call)) {
        giveUp(Verdict::of(*refused, {}, kRetryAfter));
        return;
    }
    m_plan = CallPlan(m_call.terms);
    m_traffic.countRequest(m_call.pool->name);
    if (m_call.pool->engine && m_caller.prompt)
        m_traffic.countPrompt(*m_caller.prompt, *m_call.pool->engine);
    armDeadline();
    attempt();
}

void CallRun::armDeadline()
{
    m_deadline.expires_at(m_plan.terms().answerBy);
    m_deadline.async_wait([self = shared_from_this()](const ErrorCode &ec) {
        if (!ec && !self->m_isOver)
            self->deadlinePassed();
    });
}

std::chrono::milliseconds CallRun::remaining() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_plan.terms().answerBy
                                                                 - m_traffic.clock().now());
}

bool CallRun::isStream() const
{
    return m_call.route->streaming && m_attempt && isGood(m_attempt->answer->result_int());
}

void CallRun::attempt()
{
    if (remaining() < kLeastPatience) {
        deadlinePassed();
        return;
    }
    if (isHeld()) {
        refuseHeld();
        return;
    }
    if (!choose()) {
        waitForUpstream();
        return;
    }
    m_plan.sending(m_attempt->upstream.instanceId);
    m_attempt->begun = m_traffic.clock().now();
    m_lastUpstream = m_attempt->upstream.instanceId;
    m_traffic.loads().begin(m_lastUpstream, m_attempt->load);
    for (const auto &[store, tokens] : m_attempt->engine.fetchTokens)
        m_traffic.loads().begin(store, {tokens, 0});
    if (m_attempt->load.tokensToCompute >= kHeavyTokens)
        m_traffic.reportNow();
    m_traffic.channels().take(
        m_attempt->upstream,
        [self = shared_from_this()](std::shared_ptr<HttpChannel> channel, const ErrorCode &ec) {
            self->connected(std::move(channel), ec);
        });
}

// Whether upstreams have ended one after the other under this request. Also asked before it goes
// to a further upstream and after it has waited, since any node may have learnt it meanwhile.
bool CallRun::isHeld() const
{
    return !m_traffic.quarantine().isIdle() && m_traffic.quarantine().isHeld(fingerprint());
}

void CallRun::refuseHeld()
{
    if (m_streamBegun) {
        m_port.cut();
        finish("cut-quarantined", 0);
        return;
    }
    m_plan.setReason(Reason::RequestQuarantined);
    giveUp(m_plan.verdict(std::chrono::ceil<std::chrono::milliseconds>(
        m_traffic.quarantine().heldFor(fingerprint()))));
}

// The upstream broke off under the request. Without counting that, a request that came again under
// new ids ended 19 engines, in a fleet that has 18 at a time.
void CallRun::noteBrokeOff()
{
    m_traffic.quarantine().brokeOff(fingerprint(), m_attempt->upstream.instanceId);
    m_traffic.requestNewsMade();
}

void CallRun::noteAnswered()
{
    m_traffic.quarantine().answered(fingerprint());
    m_traffic.requestNewsMade();
}

// The attempt ends without a word of the upstream, which may have ended.
void CallRun::noteUnanswered()
{
    if (!m_attempt || !m_attempt->isOpen || !m_attempt->sent)
        return;
    m_traffic.quarantine().leftUnanswered(fingerprint(), m_attempt->upstream.instanceId);
    m_traffic.requestNewsMade();
}

bool CallRun::choose()
{
    UpstreamChoice choice = chooseUpstream(m_traffic, m_call, m_caller, m_plan, m_streamBegun);
    if (choice.busyEngine)
        m_busyEngine = std::move(choice.busyEngine);
    m_unavailable = std::move(choice.unavailable);
    if (!choice.attempt)
        return false;
    m_attempt = std::move(choice.attempt);
    return true;
}

RequestFingerprint CallRun::fingerprint() const
{
    return fingerprintOf(m_head, m_call, *m_body);
}

void CallRun::waitForUpstream()
{
    if (m_busyEngine) {
        m_plan.setReason(Reason::UpstreamBusy);
        giveUp(m_plan.verdict(std::max(kRetryAfter, m_call.route->targetLatency)));
        return;
    }
    if (!m_streamBegun && m_traffic.isEvacuated(*m_call.pool)) {
        m_plan.setReason(Reason::DomainEvacuated);
        giveUp(m_plan.verdict(kNoneInServiceRetryAfter));
        return;
    }
    if (!m_streamBegun && m_traffic.isDrained(*m_call.pool)) {
        m_plan.setReason(Reason::UpstreamLeaving);
        giveUp(m_plan.verdict(kNoneInServiceRetryAfter));
        return;
    }
    if (!m_streamBegun && m_unavailable) {
        m_lastUpstream = m_unavailable->upstream;
        m_plan.setReason(m_unavailable->reason);
        giveUp(m_plan.verdict(std::max(kRetryAfter, m_unavailable->retryAfter)));
        return;
    }
    const Duration patience = m_call.route->targetLatency / kWaitPart;
    const TimePoint now = m_traffic.clock().now();
    if (m_streamBegun || now - m_arrived >= patience) {
        if (m_streamBegun) {
            m_port.cut();
            finish("cut-no-upstream", 0);
            return;
        }
        m_plan.setReason(Reason::NoUpstream);
        giveUp(m_plan.verdict(kRetryAfter));
        return;
    }
    m_retry.expires_after(kLookAgain);
    m_retry.async_wait([self = shared_from_this()](const ErrorCode &ec) {
        if (!ec && !self->m_isOver)
            self->attempt();
    });
}

void CallRun::connected(std::shared_ptr<HttpChannel> channel, const ErrorCode &ec)
{
    if (m_isOver || !m_attempt) {
        // The caller left meanwhile, or the deadline passed: nothing has been sent.
        m_traffic.channels().drop(m_lastUpstream, channel);
        return;
    }
    m_attempt->channel = std::move(channel);
    if (!ec) {
        send();
        return;
    }
    m_traffic.health().failed(m_attempt->upstream.instanceId);
    // Nothing listens there: whatever comes back at the address has just started.
    if (ec == net::error::connection_refused)
        m_traffic.gate().cold().suspectRestart(m_attempt->upstream.instanceId,
                                               m_call.pool->coldStart);
    m_plan.notSent();
    endAttempt(false);
    judgeFailure({RunState::NotRun, Reason::ConnectFailed, m_streamBegun});
}

// Whether the request would still begin in time on the weights of the engine that was chosen.
bool CallRun::beginsInTime() const
{
    if (!m_call.pool->engine || !m_caller.prompt)
        return true;
    const EngineChoice &engine = m_attempt->engine;
    return m_traffic.engines().beginsInTime(engine.weightVersion, engine.beginsAfter,
                                            m_traffic.weights(m_caller.prompt->model));
}

void CallRun::send()
{
    // The upstream may have begun to leave while the connection came up, or its failure domain may
    // have been evacuated.
    if (!m_traffic.upstreams().takesNewWork(m_attempt->upstream.instanceId)) {
        m_plan.notSent();
        endAttempt(true);
        judgeFailure({RunState::NotRun, Reason::UpstreamLeaving, m_streamBegun});
        return;
    }
    // What the upstream takes may be used up meanwhile, or it may have turned cold or named a
    // limit, or its weights have been replaced for too long, as when this process stood still.
    // Nothing has happened to the request or the upstream: another one is chosen.
    if (!m_traffic.gate().maySend(m_attempt->upstream.instanceId,
                                  m_call.pool->coldRequestsPerSecond)
        || !beginsInTime()) {
        m_plan.turnedDown(m_attempt->upstream.instanceId);
        endAttempt(true);
        attempt();
        return;
    }
    m_traffic.gate().sent(m_attempt->upstream.instanceId);
    m_attempt->sent = true;
    m_attempt->sentAt = m_traffic.clock().now();
    m_traffic.health().sent(m_attempt->upstream.instanceId);
    const UpstreamHeadTerms terms{std::max(remaining(), kLeastPatience), m_events.lastId(),
                                  m_traffic.settings().mechanisms.shortFirst};
    m_attempt->channel->exchange(upstreamHead(m_head, m_call, *m_attempt, terms), m_body, *this);
}

void CallRun::headRead(const http::response_header<> &head)
{
    const auto self = shared_from_this();
    m_traffic.health().heard(m_attempt->upstream.instanceId);
    m_attempt->head = platform::readAnswerHead(head.result_int(), head);
    m_attempt->answer = head;
    m_traffic.noteState(m_caller.requestId, *m_attempt);
    // An answer to another request stands in the place of ours, which may have run.
    if (m_attempt->head.requestId != m_caller.requestId) {
        m_traffic.health().answeredFailure(m_attempt->upstream.instanceId);
        endAttempt(false);
        judgeFailure({RunState::MayHaveRun, Reason::UpstreamBroke, m_streamBegun});
        return;
    }
    m_traffic.noteAnswer(m_caller.requestId, *m_attempt);
    if (m_attempt->head.notRun || !isGood(head.result_int()))
        return;
    if (!m_attempt->head.isSealed) {
        m_traffic.health().answeredFailure(m_attempt->upstream.instanceId);
        endAttempt(false);
        judgeFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamBegun});
    }
}

bool CallRun::bodyRead(std::string_view bytes)
{
    const auto self = shared_from_this();
    m_traffic.health().heard(m_attempt->upstream.instanceId);
    if (isStream() && !m_attempt->head.notRun)
        return passEvents(bytes);
    m_attempt->body.append(bytes);
    return true;
}

bool CallRun::passEvents(std::string_view bytes)
{
    const std::string_view events = m_events.add(bytes);
    noteComputed();
    if (m_events.isTooLong()) {
        endAttempt(false);
        judgeFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamBegun});
        return false;
    }
    if (events.empty())
        return true;
    if (!m_streamBegun)
        beginStream();
    return m_port.sendPiece(events);
}

// The prompt has been computed, and what was to be fetched has arrived.
void CallRun::noteComputed()
{
    if (m_attempt->computed)
        return;
    m_attempt->computed = true;
    m_traffic.loads().promptComputed(m_attempt->upstream.instanceId, m_attempt->load);
    for (const auto &[store, tokens] : m_attempt->engine.fetchTokens)
        m_traffic.loads().end(store, {tokens, 0}, false);
}

void CallRun::beginStream()
{
    m_streamBegun = true;
    m_firstEvent = m_traffic.clock().now();
    const EngineChoice &engine = m_attempt->engine;
    // Short ones go before what lies at the engine, and so tell nothing of its pace.
    if (!engine.isShort)
        m_traffic.pace(m_call.pool->name)
            .observe(engine.found.tokensToCompute + engine.load.tokensToCompute,
                     *m_firstEvent - m_attempt->begun);
    m_port.beginStream(callersHead());
}

http::response_header<> CallRun::callersHead() const
{
    http::response_header<> head;
    head.result(m_attempt->answer->result_int());
    head.version(11);
    platform::writeCallerHead(*m_attempt->answer, head);
    return head;
}

void CallRun::callerReady()
{
    if (m_attempt && m_attempt->channel)
        m_attempt->channel->resumeReading();
}

void CallRun::answerEnded()
{
    const auto self = shared_from_this();
    judgeAnswer();
}

void CallRun::judgeAnswer()
{
    const unsigned status = m_attempt->answer->result_int();
    const std::string id = m_attempt->upstream.instanceId;
    UpstreamHealth &health = m_traffic.health();
    if (m_attempt->head.notRun) {
        judgeRefusal();
        return;
    }
    if (isStream()) {
        const bool isWhole = !m_events.hasPartOfEvent();
        endAttempt(true);
        if (!isWhole) {
            health.failed(id);
            noteBrokeOff();
            judgeFailure({RunState::MayHaveRun, Reason::AnswerCut, m_streamBegun});
            return;
        }
        health.succeeded(id);
        noteAnswered();
        if (m_firstEvent)
            m_traffic.pace(m_call.pool->name)
                .observeAnswer(m_traffic.clock().now() - *m_firstEvent);
        if (!m_streamBegun)
            beginStream(); // a stream without an event
        m_port.endStream();
        finish("answered", status);
        return;
    }
    constexpr unsigned kFirstServerError = 500;
    if (status < kFirstServerError)
        health.succeeded(id);
    else
        health.answeredFailure(id);
    if (m_streamBegun) { // the stream was to go on here, and does not
        endAttempt(true);
        judgeFailure({RunState::MayHaveRun, Reason::UpstreamBroke, true});
        return;
    }
    if (isGood(status))
        noteAnswered();
    if (status < kFirstServerError || !m_plan.terms().mayRunAgain) {
        passOn();
        return;
    }
    // A failure of the upstream's own: another may do better; if none may be asked, it stands.
    const auto again = m_plan.afterFailure(
        {RunState::Ran, Reason::UpstreamBroke, false}, m_traffic.clock().now(),
        [this] { return m_traffic.takeRepeat(m_call.pool->name); });
    if (again != AfterFailure::SendAgain) {
        passOn();
        return;
    }
    m_traffic.metrics().countRetry(Reason::UpstreamBroke);
    endAttempt(true);
    attempt();
}

// The upstream, or another one at its address, says that it has not run the request.
void CallRun::judgeRefusal()
{
    const std::string id = m_attempt->upstream.instanceId;
    const bool isGone = platform::isOfAnother(m_attempt->head, id);
    const bool isWrong = m_attempt->head.wrongInstance;
    // An engine that was taken to run other weights is well: it is sent what suits those that it
    // runs. Without this it turned every request away that a node had for it after each pause.
    const bool isKnownBetter
        = isWrong && !isGone && m_traffic.noteOtherWeights(m_caller.requestId, *m_attempt);
    if (!isKnownBetter)
        m_traffic.health().refused(id, isGone ? kGonePause : kFullPause);
    endAttempt(true);
    if (isGone) {
        m_traffic.channels().closeResting(id);
        m_plan.metAnother();
        judgeFailure({RunState::NotRun, Reason::UpstreamGone, m_streamBegun});
        return;
    }
    judgeFailure({RunState::NotRun, isWrong ? Reason::VersionMismatch : Reason::UpstreamPushback,
                  m_streamBegun});
}

void CallRun::passOn()
{
    const unsigned status = m_attempt->answer->result_int();
    http::response_header<> head = callersHead();
    std::string body = std::move(m_attempt->body);
    endAttempt(true);
    m_port.sendWhole(std::move(head), std::move(body));
    finish(isGood(status) ? "answered" : "upstream-failure", status);
}

void CallRun::channelFailed(const ErrorCode &cause)
{
    const auto self = shared_from_this();
    m_traffic.health().failed(m_attempt->upstream.instanceId);
    // What rests there has probably broken as well.
    m_traffic.channels().closeResting(m_attempt->upstream.instanceId);
    logAttemptFailure({m_caller.requestId, m_attempt->upstream.instanceId, cause.message(),
                       m_events.lastId().value_or(0), m_traffic.clock().now() - m_attempt->begun,
                       fingerprint()});
    noteBrokeOff();
    endAttempt(false);
    judgeFailure({RunState::MayHaveRun, Reason::UpstreamBroke, m_streamBegun});
}

void CallRun::endAttempt(bool reusable)
{
    if (!m_attempt)
        return;
    const std::string &id = m_attempt->upstream.instanceId;
    if (!m_attempt->isOpen)
        return;
    m_attempt->isOpen = false;
    noteComputed();
    m_traffic.loads().end(id, m_attempt->load, true);
    if (m_attempt->sent)
        m_traffic.health().ended(id);
    if (!m_attempt->channel)
        return;
    const std::shared_ptr<HttpChannel> channel = std::move(m_attempt->channel);
    m_attempt->channel.reset();
    if (reusable)
        m_traffic.channels().giveBack(
            id, channel,
            m_attempt->head.keepAlive ? Duration(*m_attempt->head.keepAlive) : kUsualKeepAlive);
    else
        m_traffic.channels().drop(id, channel);
}

void CallRun::judgeFailure(const FailedAttempt &failure)
{
    m_events.dropPartOfEvent();
    const AfterFailure next = m_plan.afterFailure(failure, m_traffic.clock().now(), [this] {
        return m_traffic.takeRepeat(m_call.pool->name);
    });
    switch (next) {
    case AfterFailure::SendAgain:
        m_traffic.metrics().countRetry(failure.reason);
        attempt();
        return;
    case AfterFailure::EndWithVerdict:
        giveUp(m_plan.verdict(returnAfter()));
        return;
    case AfterFailure::CutAnswer:
        m_port.cut();
        finish("cut", 0);
        return;
    }
}

// What a caller is told whose request has failed and is not sent again.
std::chrono::milliseconds CallRun::returnAfter()
{
    return std::max(kRetryAfter, returnAfterAll(m_traffic, m_call).value_or(kRetryAfter));
}

void CallRun::deadlinePassed()
{
    const bool sent = m_attempt && m_attempt->sent;
    noteUnanswered();
    endAttempt(false);
    if (m_streamBegun) {
        m_port.cut();
        finish("cut-deadline", 0);
        return;
    }
    m_plan.setReason(sent || m_plan.mayHaveRun() ? Reason::UpstreamTimeout
                                                 : Reason::DeadlineTooNear);
    Verdict verdict = m_plan.verdict(kRetryAfter);
    if (sent)
        verdict = Verdict::of(Reason::UpstreamTimeout);
    giveUp(verdict);
}

void CallRun::giveUp(const Verdict &verdict)
{
    Refusal refusal = makeRefusal(verdict);
    const unsigned status = refusal.head.result_int();
    m_traffic.metrics().countRefusal(verdict.reason);
    m_port.sendWhole(std::move(refusal.head), std::move(refusal.body));
    finish(info(verdict.reason).name, status);
}

void CallRun::callerLeft()
{
    if (m_isOver)
        return;
    noteUnanswered();
    endAttempt(false);
    m_traffic.metrics().countRefusal(Reason::CallerLeft);
    finish(info(Reason::CallerLeft).name, 0);
}

void CallRun::finish(std::string_view outcome, unsigned status)
{
    m_isOver = true;
    m_deadline.cancel();
    m_retry.cancel();
    const Duration took = m_traffic.clock().now() - m_arrived;
    m_traffic.metrics().observe("fordwood_request_seconds", took);
    if (m_firstEvent)
        m_traffic.metrics().observe("fordwood_first_event_seconds", *m_firstEvent - m_arrived);
    CallEnd end;
    end.request = m_caller.requestId;
    end.route = m_call.route != nullptr ? m_call.route->name : "";
    end.team = m_call.team != nullptr ? m_call.team->name : "";
    end.configuration = m_call.table ? m_call.table->config().version : 0;
    end.upstream = m_lastUpstream;
    end.sends = m_plan.sends();
    end.outcome = outcome;
    end.status = status;
    end.took = took;
    if (m_firstEvent)
        end.firstEvent = *m_firstEvent - m_arrived;
    if (m_attempt) {
        end.isUpstreamDraining = m_attempt->head.isDraining;
        end.backoff = m_attempt->head.backoff.length;
    }
    end.engine = m_attempt ? &m_attempt->engine : m_busyEngine ? &*m_busyEngine : nullptr;
    logCallEnd(end);
}

} // namespace fordwood::node
