// SPDX-License-Identifier: MIT
#include "node/call_run.hpp"

#include <algorithm>

#include "fordwood/engine_groups.hpp"
#include "fordwood/homes.hpp"
#include "fordwood/rendezvous.hpp"
#include "fordwood/service_chooser.hpp"
#include "node/call_log.hpp"
#include "node/refusal.hpp"

namespace fordwood::node {

namespace {

// How long a caller waits that does not say.
constexpr std::chrono::milliseconds kUsualPatience{30'000};

// Less than this is not worth sending: no upstream would finish.
constexpr std::chrono::milliseconds kLeastPatience{5};

// While no upstream may be used, this often one is looked for anew, for a quarter of the target
// latency: after that an early refusal serves the caller better.
constexpr Duration kLookAgain = std::chrono::milliseconds(25);
constexpr int kWaitPart = 4;

// What a refused caller is told to wait.
constexpr std::chrono::milliseconds kRetryAfter{250};

// An evacuation lasts for seconds at least.
constexpr std::chrono::milliseconds kEvacuatedRetryAfter{1'000};

// The wait at an engine, in target latencies, from which a long prompt is refused at once.
constexpr double kLongestWait = 0.7;

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

std::string_view textOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

} // namespace

CallRun::CallRun(Traffic &traffic, CallerPort &port, http::request_header<> head, std::string body,
                 TimePoint arrived)
    : m_traffic(traffic), m_port(port), m_head(std::move(head)),
      m_body(std::make_shared<const std::string>(std::move(body))), m_arrived(arrived),
      m_caller(platform::readCallerHead(m_head)), m_table(traffic.table()),
      m_deadline(traffic.context()), m_retry(traffic.context())
{ }

void CallRun::start()
{
    if (!admit())
        return;
    m_traffic.countRequest(m_pool->name);
    if (m_pool->engine && m_caller.prompt)
        m_traffic.countPrompt(*m_caller.prompt, *m_pool->engine);
    armDeadline();
    attempt();
}

bool CallRun::admit()
{
    const auto refuse = [this](Reason reason) {
        giveUp(Verdict::of(reason, {}, kRetryAfter));
        return false;
    };
    if (!m_table)
        return refuse(Reason::NotReady);
    if (m_caller.requestId.empty())
        return refuse(Reason::MalformedRequest);
    m_route = m_table->findRoute(textOf(m_head[http::field::host]), textOf(m_head.target()));
    if (m_route == nullptr)
        return refuse(Reason::UnknownRoute);
    if (m_table->hasTeams())
        m_team = m_table->findTeam(m_caller.teamKey);
    if (m_table->hasTeams() && m_team == nullptr && !m_route->isPublic)
        return refuse(Reason::UnknownTeam);
    m_pool = m_table->findService(RouteTable::targetOf(*m_route, m_caller.requestId));
    if (m_pool == nullptr)
        return refuse(Reason::NoUpstream);
    std::chrono::milliseconds patience = m_caller.patience.value_or(kUsualPatience);
    if (m_route->timeout.count() > 0)
        patience = std::min(patience, m_route->timeout);
    CallTerms terms;
    terms.mayRunAgain = m_route->mayRunAgain();
    terms.resumable = m_route->streaming && m_route->resumable;
    terms.maxAttempts = m_route->maxAttempts;
    terms.answerBy = m_arrived + patience;
    if (!m_traffic.mayFinish(terms.answerBy))
        return refuse(Reason::Stopping);
    m_plan = CallPlan(terms);
    return true;
}

void CallRun::armDeadline()
{
    m_deadline.expires_at(m_plan.terms().answerBy);
    m_deadline.async_wait([self = shared_from_this()](const ErrorCode &ec) {
        if (!ec && !self->m_isOver)
            self->deadlinePassed();
    });
}

RequestFingerprint CallRun::fingerprint() const
{
    return fingerprintOf({textOf(m_head.method_string()), textOf(m_head[http::field::host]),
                          textOf(m_head.target()), m_team != nullptr ? m_team->name : "", *m_body});
}

std::chrono::milliseconds CallRun::remaining() const
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(m_plan.terms().answerBy
                                                                 - m_traffic.clock().now());
}

bool CallRun::isStream() const
{
    return m_route->streaming && m_attempt && isGood(m_attempt->answer->result_int());
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
        m_traffic.heavyLoadSent();
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

// The upstream broke off under the request. Without counting that, a request that comes again under
// new ids ended 19 of a fleet's 18 engines and their successors in some seconds.
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
    auto candidates = m_traffic.candidates(*m_pool);
    const Homes homes(*m_route, m_team);
    if (!homes.isAnywhere()) {
        std::erase_if(candidates, [&](const UpstreamRecord *it) {
            return !homes.allows(it->failureDomain, m_traffic.settings().regions);
        });
    }
    if (m_pool->engine && m_caller.prompt)
        return chooseEngine(candidates);
    const std::uint64_t salt = stableHash(m_caller.requestId);
    const UpstreamRecord *chosen
        = chooseUpstream(candidates, m_plan.tried(), m_traffic.settings().node.failureDomain, salt,
                         m_traffic.loads(), m_traffic.health());
    if (chosen == nullptr)
        return false;
    m_attempt.emplace();
    m_attempt->upstream = *chosen;
    return true;
}

bool CallRun::chooseEngine(const std::vector<const UpstreamRecord *> &candidates)
{
    // Short prompts are computed sooner than asked about.
    if (!isShortPrompt(*m_caller.prompt, *m_pool->engine) && m_traffic.isWaking())
        return false;
    const std::string walled = m_team != nullptr && m_team->isolated ? m_team->name : "";
    const EngineChooser::Question question{*m_caller.prompt,
                                           walled,
                                           m_traffic.weights(m_caller.prompt->model),
                                           *m_pool->engine,
                                           m_plan.tried(),
                                           m_traffic.shortGroup(*m_pool),
                                           m_traffic.consideredPart(),
                                           stableHash(m_caller.requestId, m_plan.sends()),
                                           m_traffic.coldAmong(candidates)};
    auto choice = m_traffic.engines().choose(question, candidates, m_traffic.loads(),
                                             m_traffic.health(), m_traffic.contexts());
    if (!choice)
        return false;
    if (!choice->isShort && !m_streamBegun && waitsTooLong(*choice)) {
        m_isOverload = true;
        m_busyEngine = *choice;
        return false;
    }
    keepContextAtHome(*choice);
    EngineChooser::noteSent(*choice, *m_caller.prompt, m_traffic.contexts());
    m_attempt.emplace();
    m_attempt->upstream = *m_traffic.upstreams().find(choice->instanceId);
    m_attempt->load = choice->load;
    m_attempt->engine = *choice;
    m_attempt->fetchUntil = m_traffic.fetchUntil();
    return true;
}

// Context of a prompt that is bound to regions is saved in no other.
void CallRun::keepContextAtHome(EngineChoice &choice) const
{
    const Homes homes(*m_route, m_team);
    if (homes.isAnywhere())
        return;
    for (std::string &address : choice.saveTo) {
        const ContextStore *store = m_table->findStore(address);
        if (store != nullptr && !homes.allows(store->failureDomain, m_traffic.settings().regions))
            address.clear();
    }
}

// Whether the answer would be late anyway: work for it would make others late as well, while a
// caller that is told so at once can come again.
bool CallRun::waitsTooLong(const EngineChoice &choice)
{
    if (!m_traffic.settings().mechanisms.earlyRefusals)
        return false;
    const Duration wait = m_traffic.pace(m_pool->name).timeFor(choice.waitTokens);
    const std::chrono::duration<double, std::nano> longest
        = kLongestWait * std::chrono::duration<double, std::nano>(m_route->targetLatency);
    return m_route->targetLatency.count() > 0 && wait > longest;
}

void CallRun::waitForUpstream()
{
    if (m_isOverload) {
        m_plan.setReason(Reason::UpstreamBusy);
        giveUp(m_plan.verdict(std::max(kRetryAfter, m_route->targetLatency)));
        return;
    }
    if (!m_streamBegun && m_traffic.isEvacuated(*m_pool)) {
        m_plan.setReason(Reason::DomainEvacuated);
        giveUp(m_plan.verdict(kEvacuatedRetryAfter));
        return;
    }
    const Duration patience = m_route->targetLatency / kWaitPart;
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
        m_traffic.coldGate().suspectRestart(m_attempt->upstream.instanceId, m_pool->coldStart);
    m_plan.notSent();
    endAttempt(false);
    judgeFailure({RunState::NotRun, Reason::ConnectFailed, m_streamBegun});
}

http::request_header<> CallRun::upstreamHead() const
{
    platform::UpstreamStamp stamp;
    stamp.instanceId = m_attempt->upstream.instanceId;
    stamp.team = m_team != nullptr ? m_team->name : "";
    stamp.patience = std::max(remaining(), kLeastPatience);
    if (m_events.lastId())
        stamp.resumeFrom = m_events.lastId();
    if (m_attempt->engine.weightVersion > 0) {
        stamp.weightVersion = m_attempt->engine.weightVersion;
        stamp.contextSalt = m_attempt->engine.salt;
        stamp.fetchFrom = m_attempt->engine.fetchFrom;
        stamp.saveTo = m_attempt->engine.saveTo;
        if (m_attempt->engine.isFetching())
            stamp.fetchUntil = m_attempt->fetchUntil;
        stamp.priority = enginePriority();
    }
    http::request_header<> head;
    head.method_string(m_head.method_string());
    head.target(m_head.target());
    head.version(11);
    platform::writeUpstreamHead(m_head, stamp, head);
    return head;
}

// Long prompts wait for short ones, which take next to no time; the urgency of the team, or of the
// route, decides within each kind.
int CallRun::enginePriority() const
{
    constexpr int kKinds = 5; // of the ten priorities that an engine knows, for either kind
    const auto ofTeam = m_team != nullptr ? m_team->priority : std::nullopt;
    const int urgency = std::clamp(ofTeam.value_or(m_route->priority), 0, kKinds - 1);
    const bool goesFirst = m_attempt->engine.isShort || !m_traffic.settings().mechanisms.shortFirst;
    return goesFirst ? urgency : kKinds + urgency;
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
    // Others may have gone to a cold upstream meanwhile, or it may have turned cold.
    if (!m_traffic.coldGate().maySend(m_attempt->upstream.instanceId,
                                      m_pool->coldRequestsPerSecond)) {
        m_plan.notSent();
        endAttempt(true);
        judgeFailure({RunState::NotRun, Reason::UpstreamBusy, m_streamBegun});
        return;
    }
    m_traffic.coldGate().sent(m_attempt->upstream.instanceId);
    m_attempt->sent = true;
    m_traffic.health().sent(m_attempt->upstream.instanceId);
    m_attempt->channel->exchange(upstreamHead(), m_body, *this);
}

void CallRun::headRead(const http::response_header<> &head)
{
    const auto self = shared_from_this();
    m_traffic.health().heard(m_attempt->upstream.instanceId);
    m_attempt->head = platform::readAnswerHead(head.result_int(), head);
    m_attempt->answer = head;
    // An answer to another request stands in the place of ours, which may have run.
    if (m_attempt->head.requestId != m_caller.requestId) {
        m_traffic.health().answeredFailure(m_attempt->upstream.instanceId);
        endAttempt(false);
        judgeFailure({RunState::MayHaveRun, Reason::UpstreamBroke, m_streamBegun});
        return;
    }
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
    m_traffic.loads().computed(m_attempt->upstream.instanceId, m_attempt->load);
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
        m_traffic.pace(m_pool->name)
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
    const auto again = m_plan.afterFailure({RunState::Ran, Reason::UpstreamBroke, false},
                                           m_traffic.clock().now(),
                                           [this] { return m_traffic.takeRepeat(m_pool->name); });
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
    const AfterFailure next = m_plan.afterFailure(
        failure, m_traffic.clock().now(), [this] { return m_traffic.takeRepeat(m_pool->name); });
    switch (next) {
    case AfterFailure::SendAgain:
        m_traffic.metrics().countRetry(failure.reason);
        attempt();
        return;
    case AfterFailure::EndWithVerdict:
        giveUp(m_plan.verdict(kRetryAfter));
        return;
    case AfterFailure::CutAnswer:
        m_port.cut();
        finish("cut", 0);
        return;
    }
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
    end.route = m_route != nullptr ? m_route->name : "";
    end.team = m_team != nullptr ? m_team->name : "";
    end.configuration = m_table ? m_table->config().version : 0;
    end.upstream = m_lastUpstream;
    end.sends = m_plan.sends();
    end.outcome = outcome;
    end.status = status;
    end.took = took;
    if (m_firstEvent)
        end.firstEvent = *m_firstEvent - m_arrived;
    end.engine = m_attempt ? &m_attempt->engine : m_busyEngine ? &*m_busyEngine : nullptr;
    logCallEnd(end);
}

} // namespace fordwood::node
