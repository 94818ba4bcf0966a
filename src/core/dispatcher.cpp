// SPDX-License-Identifier: MIT
#include "fordwood/dispatcher.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

constexpr std::chrono::milliseconds kDefaultRetryAfter{500};

// A restarted upstream keeps its name here, so that a reported draining state expires after this
// time.
constexpr Duration kDrainingPause = std::chrono::seconds(10);
constexpr std::size_t kMaxMismatches = 20;
constexpr Duration kLocalSendWithin = std::chrono::seconds(2);

} // namespace

Dispatcher::Dispatcher(const Clock &clock, const DispatcherLimits &limits)
    : m_clock(clock), m_limits(limits), m_contention(clock, Contention::Limits{}),
      m_claims(clock, limits.ownerTimeout, m_actions),
      m_admission(clock, limits.ownerTimeout, *this, m_actions), m_permits(m_actions),
      m_quarantine(clock), m_ends(clock), m_gate(clock, stableHash(limits.node)), m_backoffs(clock)
{ }

void Dispatcher::setView(std::shared_ptr<const FleetView> view)
{
    m_view = std::move(view);
    m_admission.setView(m_view);
    m_permits.setView(m_view);
    std::vector<std::string> others;
    for (const Member &it : m_view->members()) {
        if (it.name != m_limits.node)
            others.push_back(it.name);
    }
    m_gate.setNonGossipingPeers(others);
}

void Dispatcher::begin(const CallRequest &request)
{
    const auto refuseWith = [&](Verdict verdict) {
        if (request.key)
            verdict.state = RunState::MayHaveRun; // by an earlier send with the same key
        m_actions.emplace_back(EndCall{request.id, std::move(verdict)});
    };
    const auto refuse
        = [&](Reason reason) { refuseWith(Verdict::of(reason, {}, kDefaultRetryAfter)); };
    if (m_stopping)
        return refuse(Reason::Stopping);
    if (!m_view)
        return refuse(Reason::NotReady);
    if (m_calls.size() >= m_limits.maxCalls)
        return refuse(Reason::InFlightLimit);
    if (isHeld(request))
        return refuseWith(quarantineVerdict(request));
    Call &call = m_calls[request.id];
    call.request = request;
    call.last = Verdict::of(Reason::NoUpstream, {}, kDefaultRetryAfter);
    const double ratio = m_view->configuration().limits.retryRatio;
    m_budgets.try_emplace(request.team, ratio).first->second.countFirstSend();
    choose(call);
    if (request.key) {
        const std::uint32_t partition = keyPartition(request.key->team, request.key->text);
        return claim(call, call.candidates.view().keyHolder(partition));
    }
    admit(call);
}

void Dispatcher::claimAnswered(std::uint64_t claimId, const ClaimAnswer &answer)
{
    const auto id = m_claims.onAnswer(claimId);
    if (!id)
        return;
    Call &call = m_calls.at(*id);
    switch (answer.decision) {
    case ClaimAnswer::Decision::Run:
        m_claims.grant(*id);
        return admit(call);
    case ClaimAnswer::Decision::Answer:
        m_actions.emplace_back(EndWithStoredAnswer{*id, answer.answer});
        return forget(*id);
    case ClaimAnswer::Decision::Redirect:
        if (m_claims.mayRedirect(*id))
            return claim(call, call.candidates.view().member(answer.holder));
        return end(*id, Verdict::of(Reason::KeyHolderGone, {}, kDefaultRetryAfter));
    case ClaimAnswer::Decision::Refuse:
        return end(*id, Verdict{answer.state, answer.reason, kDefaultRetryAfter, {}});
    }
}

void Dispatcher::permitAnswered(const std::string &owner, const PermitReply &reply)
{
    const auto known = m_permitRequests.find(reply.requestId);
    if (known == m_permitRequests.end()) {
        // The call no longer needs this permit.
        if (reply.granted)
            m_actions.emplace_back(ReleasePermit{owner, reply.permitId, {}, 0.0, false});
        return;
    }
    Call &call = m_calls.at(known->second);
    m_permitRequests.erase(known);
    call.requestId = 0;
    if (reply.granted) {
        // Counted from the permit request, not from the reply: the reply may have waited unread
        // while this process was paused.
        const TimePoint sendBy = call.requestedAt + reply.waited + reply.sendWithin;
        m_permits.addGranted(call.request, owner, reply.permitId, call.candidates.current()->name);
        return send(call, sendBy);
    }
    const Verdict why = Verdict::of(reply.reason, {}, reply.retryAfter);
    if (reply.reason == Reason::UpstreamBusy)
        call.candidates.recordFirstTokenDelay(reply.firstTokenIn);
    if (reply.reason == Reason::NotOwner)
        return retryAfterNotOwner(call, owner, why);
    tryNext(call, why);
}

// The member that was asked no longer owns the upstream, or not yet: the views of two nodes can
// differ briefly.
void Dispatcher::retryAfterNotOwner(Call &call, const std::string &previousOwner,
                                    const Verdict &why)
{
    const bool queueing = call.candidates.isQueueing();
    choose(call);
    call.candidates.setQueueing(queueing);
    const UpstreamConfig *upstream = call.candidates.current();
    if (upstream == nullptr)
        return end(call.request.id, why);
    call.last = why;
    const Member *owner = call.candidates.view().owner(*upstream);
    if (owner != nullptr && owner->name != previousOwner)
        return requestPermit(call);
    sendWithoutOwner(call);
}

void Dispatcher::allowanceAnswered(const std::string &team, std::uint64_t requestId,
                                   const Allowance &allowance)
{
    m_admission.onAnswer(team, requestId, allowance);
}

void Dispatcher::ownerLost(const std::string &owner)
{
    m_permits.ownerLost(owner);
    std::vector<CallId> waiting;
    for (const auto &[id, call] : m_calls) {
        if (call.requestId != 0 && call.requestedOwner == owner)
            waiting.push_back(id);
    }
    for (const CallId id : m_claims.openAt(owner))
        end(id, Verdict::of(Reason::KeyHolderGone, {}, kDefaultRetryAfter));
    m_admission.ownerLost(owner);
    std::sort(waiting.begin(), waiting.end());
    for (const CallId id : waiting) {
        Call &call = m_calls.at(id);
        m_permitRequests.erase(call.requestId);
        call.requestId = 0;
        sendWithoutOwner(call);
    }
}

void Dispatcher::attemptFailed(CallId id, unsigned attempt, const AttemptFailure &failure)
{
    Call *call = find(id, attempt);
    if (call == nullptr)
        return;
    const bool sentDirectly = m_permits.isDirect(id);
    const bool busy
        = failure.reason == Reason::UpstreamPushback || failure.reason == Reason::VersionMismatch;
    m_permits.release(id, 0.0, busy);
    if (failure.reason == Reason::UpstreamBroke || failure.reason == Reason::AnswerCut)
        recordBreakOff(*call);
    if (failure.reason == Reason::VersionMismatch)
        call->candidates.markWeightMismatch();
    else if (busy)
        call->candidates.markFull();
    Verdict verdict{failure.state, failure.reason, std::chrono::milliseconds(0), failure.detail};
    // A stream of complete events is resumed, not restarted.
    const bool cutForGood = failure.answerBegun && !failure.passedEvents;
    if (!maySendAgain(failure.state, call->request.repeatable, cutForGood))
        return end(id, verdict);
    if (call->request.deadline <= m_clock.now() || isHeld(call->request))
        return end(id, verdict);
    const bool free = needsNoRetry(*call, failure, sentDirectly);
    if (free)
        m_actions.emplace_back(CountRetry{failure.reason});
    if (!free && !takeRetry(*call, failure.reason)) {
        // Keep the failure as the verdict: an exhausted budget must not hide that the request may
        // have run.
        verdict.detail += (verdict.detail.empty() ? "" : "; ") + std::string("no retry left");
        return end(id, verdict);
    }
    call->stage = Stage::RequestingPermit;
    if (failure.answerBegun)
        call->resumeFrom = failure.passedEvents;
    call->last = verdict;
    call->mayHaveRun = call->mayHaveRun || failure.state != RunState::NotRun;
    if (!busy && failure.reason != Reason::PermitExpired)
        call->candidates.markBroken();
    choose(*call);
    if (call->candidates.isEmpty())
        return end(id, verdict);
    requestPermit(*call);
}

// Whether a retry is free of charge for the team's retry budget because it adds no load: a direct
// send that a full upstream refused now waits for a permit at the owner, and so does one that met
// other weights.
bool Dispatcher::needsNoRetry(const Call &call, const AttemptFailure &failure, bool sentDirectly)
{
    if (failure.reason == Reason::VersionMismatch)
        return call.candidates.weightMismatches() <= kMaxMismatches;
    return sentDirectly && failure.reason == Reason::UpstreamPushback;
}

void Dispatcher::attemptFinished(CallId id, unsigned attempt, double cost, StoredAnswer answer)
{
    Call *call = find(id, attempt);
    if (call == nullptr)
        return;
    m_permits.release(id, cost);
    if (call->request.fingerprint)
        m_quarantine.onAnswer(*call->request.fingerprint);
    m_contention.countAccepted(call->request.target);
    m_claims.finish(id, RunState::Ran, std::move(answer));
    forget(id);
}

Dispatcher::LimitOutcome Dispatcher::limitRead(CallId id, unsigned attempt,
                                               const ParsedLimit &limit)
{
    const Call *call = find(id, attempt);
    if (call == nullptr)
        return {};
    LimitOutcome outcome;
    outcome.upstream = call->candidates.current()->name;
    if (limit.perSecond)
        m_gate.upstreamLimits().addUpstream(outcome.upstream);
    if (limit.perSecond || !limit.isUnreadable)
        outcome.change
            = m_gate.upstreamLimits().onAnswer(outcome.upstream, limit.perSecond, call->sentAt);
    outcome.ownRate = m_gate.ownRate(outcome.upstream);
    return outcome;
}

std::optional<Dispatcher::Backoff> Dispatcher::noticeRead(CallId id, unsigned attempt,
                                                          const UpstreamNotice &notice)
{
    const Call *call = find(id, attempt);
    if (call == nullptr)
        return std::nullopt;
    const Duration length = std::max(notice.isDraining ? kDrainingPause : Duration::zero(),
                                     notice.backoff.value_or(Duration::zero()));
    const std::string &upstream = call->candidates.current()->name;
    if (!m_backoffs.addBackoff(upstream, length))
        return std::nullopt;
    return Backoff{upstream, length};
}

// LimitGate::maySend() counts this node as having a request, so it is not called during a backoff.
bool Dispatcher::maySend(const std::string &upstream)
{
    return !m_backoffs.isBackingOff(upstream) && m_gate.maySend(upstream);
}

void Dispatcher::callerLeft(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    Call &call = it->second;
    if (m_claims.isGranted(id) && call.stage == Stage::Sent)
        return; // its answer is stored for a repeat with the same key
    withdraw(call);
    if (call.stage == Stage::Sent)
        m_actions.emplace_back(CancelAttempt{id, call.attempt});
    m_permits.release(id, 0.0);
    end(id, Verdict::of(Reason::CallerLeft));
}

void Dispatcher::tick()
{
    const TimePoint now = m_clock.now();
    std::vector<CallId> silent;
    std::vector<CallId> late;
    std::vector<CallId> unclaimed;
    for (const auto &[id, call] : m_calls) {
        if (call.request.deadline <= now)
            late.push_back(id);
        else if (m_claims.isOverdue(id))
            unclaimed.push_back(id);
        else if (call.requestId != 0 && call.replyDue <= now)
            silent.push_back(id);
    }
    std::sort(silent.begin(), silent.end());
    std::sort(late.begin(), late.end());
    std::sort(unclaimed.begin(), unclaimed.end());
    for (const CallId id : unclaimed)
        end(id, Verdict::of(Reason::OwnerSilent, {}, kDefaultRetryAfter));
    for (const CallId id : late)
        endExpired(m_calls.at(id));
    for (const CallId id : silent) {
        Call &call = m_calls.at(id);
        withdraw(call);
        sendWithoutOwner(call);
    }
    m_admission.tick();
    m_quarantine.tick();
    // This daemon keeps its own counts and shares them with nobody.
    std::ignore = m_quarantine.takeUpdates();
}

// Ends a call that can be answered no more, and cancels its attempt if it has been sent.
void Dispatcher::endUnanswered(Call &call, const Verdict &verdict)
{
    const CallId id = call.request.id;
    withdraw(call);
    if (call.stage == Stage::Sent) {
        m_actions.emplace_back(CancelAttempt{id, call.attempt});
        m_permits.release(id, 0.0);
    }
    end(id, verdict);
}

// Ends a call whose deadline has passed.
void Dispatcher::endExpired(Call &call)
{
    endUnanswered(call, call.stage == Stage::Sent
                            ? Verdict::of(Reason::UpstreamTimeout)
                            : Verdict::of(Reason::DeadlineTooNear, {}, kDefaultRetryAfter));
}

void Dispatcher::endAllForStop()
{
    // A call that leaves its team's ceiling lets another one in, so those that wait to be let in
    // are ended first, and those that have been sent last.
    std::vector<std::tuple<bool, bool, CallId>> open;
    for (const auto &[id, call] : m_calls)
        open.emplace_back(call.entered, call.stage == Stage::Sent, id);
    std::sort(open.begin(), open.end());
    for (const auto &[entered, sent, id] : open) {
        Call &call = m_calls.at(id);
        endUnanswered(call, call.stage == Stage::Sent || call.mayHaveRun
                                ? Verdict::of(Reason::CutByStop)
                                : Verdict::of(Reason::Stopping, {}, kDefaultRetryAfter));
    }
}

std::vector<Action> Dispatcher::takeActions()
{
    return std::exchange(m_actions, {});
}

// Starts the call once its team may run one more request.
void Dispatcher::admit(Call &call)
{
    call.stage = Stage::Admitting;
    m_admission.admit(call.request.id, call.request.team);
}

void Dispatcher::onAdmitted(CallId id)
{
    Call &call = m_calls.at(id);
    call.entered = true;
    requestPermit(call);
}

void Dispatcher::onRefused(CallId id)
{
    end(id, Verdict::of(Reason::TeamCeiling, {}, kDefaultRetryAfter));
}

// Removes a call that has ended.
void Dispatcher::forget(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    const Call &call = it->second;
    if (call.entered)
        m_admission.leave(call.request.team);
    else
        m_admission.withdraw(id, call.request.team);
    m_claims.forget(id);
    m_calls.erase(it);
}

// Asks a member whether the request with the call's key may run.
void Dispatcher::claim(Call &call, const Member *holder)
{
    if (holder == nullptr)
        return end(call.request.id, Verdict::of(Reason::KeyHolderGone, {}, kDefaultRetryAfter));
    call.stage = Stage::Claiming;
    m_claims.open(call.request.id, *call.request.key, *holder);
}

void Dispatcher::choose(Call &call)
{
    call.candidates.choose(m_view, call.request, call.resumeFrom.has_value(), m_limits.candidates);
}

void Dispatcher::requestPermit(Call &call)
{
    const UpstreamConfig *upstream = call.candidates.current();
    if (upstream == nullptr)
        return end(call.request.id, call.last);
    if (!maySend(upstream->name))
        return skipUpstream(call);
    if (maySendDirectly(*upstream, call)) {
        m_permits.addDirect(call.request, upstream->name);
        return send(call, m_clock.now() + kLocalSendWithin);
    }
    const Member *owner = call.candidates.view().owner(*upstream);
    if (owner == nullptr)
        return sendWithoutOwner(call);
    m_permits.announceHeldPermits(*owner);
    // A single candidate is queued for at once; otherwise the first pass only looks for a free
    // slot.
    const bool queueing = call.candidates.isQueueing() || call.candidates.isOnlyOne();
    call.candidates.setQueueing(queueing);
    const TimePoint now = m_clock.now();
    const Duration wait = queueing ? call.request.deadline - now : Duration::zero();
    call.stage = Stage::RequestingPermit;
    call.requestId = m_nextRequestId++;
    call.requestedOwner = owner->name;
    call.requestedAt = now;
    call.replyDue = now + m_limits.ownerTimeout + wait;
    m_permitRequests.emplace(call.requestId, call.request.id);
    m_actions.emplace_back(RequestPermit{
        call.request.id,
        call.requestId,
        owner->name,
        owner->controlAddress,
        upstream->name,
        call.request.team,
        call.request.cost,
        call.request.priority,
        wait,
        {call.request.prefixHash, call.request.contextTokens, call.request.questionTokens}});
}

void Dispatcher::tryNext(Call &call, const Verdict &why)
{
    call.last = why;
    if (call.candidates.isQueueing())
        return end(call.request.id, why);
    if (call.candidates.advance())
        return requestPermit(call);
    m_contention.countRefused(call.request.target);
    // No candidate has a free slot.
    call.candidates.queueAtSoonest();
    requestPermit(call);
}

// Skips an upstream that accepts no requests at the moment. If no other candidate is left, the call
// is refused at once.
void Dispatcher::skipUpstream(Call &call)
{
    if (call.candidates.isQueueing())
        return end(call.request.id, limitedVerdict(*call.candidates.current()));
    tryNext(call, Verdict::of(Reason::UpstreamLimited, {}, kDefaultRetryAfter));
}

// Direct sends go only to upstreams that refuse requests when full, without running them. A call
// that all candidates refused waits for a permit at an owner instead, and counts as a sign of
// contention for the other calls of its model.
bool Dispatcher::maySendDirectly(const UpstreamConfig &upstream, const Call &call)
{
    const std::size_t tokens = call.request.contextTokens + call.request.questionTokens;
    if (!m_limits.direct || !upstream.refusesWhenFull || tokens > m_limits.maxDirectTokens)
        return false;
    const bool triedAll = call.candidates.wasRefusedBy(upstream);
    if (triedAll)
        m_contention.countRefused(call.request.target);
    return !triedAll && !m_contention.isContended(call.request.target);
}

void Dispatcher::sendWithoutOwner(Call &call)
{
    if (!m_permits.tryTakeLocal(call.request, *call.candidates.current())) {
        const Verdict verdict = Verdict::of(Reason::LocalAllowanceUsed, {}, kDefaultRetryAfter);
        return call.candidates.isQueueing() ? end(call.request.id, verdict)
                                            : tryNext(call, verdict);
    }
    m_actions.emplace_back(CountRetry{Reason::OwnerSilent});
    send(call, m_clock.now() + kLocalSendWithin);
}

// Sends the call with the permit just obtained.
void Dispatcher::send(Call &call, TimePoint sendBy)
{
    const UpstreamConfig *upstream = call.candidates.current();
    if (m_view->isLeaving(upstream->name)) {
        m_permits.release(call.request.id, 0.0);
        return tryNext(call, Verdict::of(Reason::UpstreamLeaving, {}, kDefaultRetryAfter));
    }
    // Other copies of the request may have made upstreams break off while this one waited.
    if (isHeld(call.request)) {
        m_permits.release(call.request.id, 0.0);
        return end(call.request.id, quarantineVerdict(call.request));
    }
    // While this call waited for its permit, another call may have used up this daemon's share of
    // the limit, or the limit may have been announced. Without this check, an engine with a limit
    // of two requests per second got ten from one daemon.
    if (!maySend(upstream->name)) {
        m_permits.release(call.request.id, 0.0);
        return skipUpstream(call);
    }
    m_gate.recordSend(upstream->name);
    renewVersion(call);
    call.stage = Stage::Sent;
    call.sentAt = m_clock.now();
    ++call.attempt;
    m_actions.emplace_back(
        SendCall{call.request.id, call.attempt, upstream->name, upstream->address,
                 call.request.priority, sendBy, call.request.deadline, call.request.repeatable,
                 call.request.key.has_value(), call.request.weightVersion, call.resumeFrom});
}

// A request without any part of an answer runs on the current weight version; a resumed stream
// continues on the version that it began with.
void Dispatcher::renewVersion(Call &call) const
{
    if (call.request.kind != CallKind::Completion || call.resumeFrom)
        return;
    const auto &models = m_view->configuration().models;
    const auto model = models.find(call.request.target);
    if (model != models.end())
        call.request.weightVersion = model->second.weightVersion;
}

void Dispatcher::withdraw(Call &call)
{
    if (call.requestId == 0)
        return;
    m_actions.emplace_back(WithdrawPermitRequest{call.requestId, call.requestedOwner,
                                                 call.candidates.current()->name});
    m_permitRequests.erase(call.requestId);
    call.requestId = 0;
}

void Dispatcher::end(CallId id, const Verdict &verdict)
{
    const auto it = m_calls.find(id);
    EndCall action{id, verdict};
    if (it != m_calls.end()) {
        const Call &call = it->second;
        // Report "not run" only if it holds for every attempt and, with a key, only if this call
        // was granted the key.
        const bool unsure = call.mayHaveRun || (call.request.key && !m_claims.isGranted(id));
        if (unsure && verdict.state == RunState::NotRun)
            action.verdict.state = RunState::MayHaveRun;
        const bool everSent = call.attempt > 0;
        m_claims.finish(id, everSent ? action.verdict.state : RunState::NotRun, {});
    }
    m_actions.emplace_back(std::move(action));
    forget(id);
}

bool Dispatcher::takeRetry(const Call &call, Reason reason)
{
    if (!m_budgets[call.request.team].takeRetry()) {
        m_actions.emplace_back(CountRetry{Reason::RetryBudgetUsed});
        return false;
    }
    m_actions.emplace_back(CountRetry{reason});
    return true;
}

// Records that an upstream broke off while it ran the call. Without this count, a request that its
// caller keeps repeating would bring down one upstream after the other.
void Dispatcher::recordBreakOff(const Call &call)
{
    if (call.request.fingerprint)
        m_quarantine.onDisconnect(*call.request.fingerprint,
                                  m_ends.onDisconnect(call.candidates.current()->name));
}

bool Dispatcher::isHeld(const CallRequest &request) const
{
    return request.fingerprint && m_quarantine.isHeld(*request.fingerprint);
}

Verdict Dispatcher::quarantineVerdict(const CallRequest &request) const
{
    return Verdict::of(
        Reason::RequestQuarantined, {},
        std::chrono::ceil<std::chrono::milliseconds>(m_quarantine.heldFor(*request.fingerprint)));
}

Verdict Dispatcher::limitedVerdict(const UpstreamConfig &upstream)
{
    const double nodes = static_cast<double>(std::max<std::size_t>(m_view->members().size(), 1));
    RetrySchedule &schedule = m_retrySchedules.try_emplace(upstream.name, m_clock).first->second;
    const Duration backoff = m_backoffs.remaining(upstream.name);
    if (backoff > Duration::zero())
        return Verdict::of(Reason::UpstreamBackoff, {},
                           schedule.next(static_cast<double>(upstream.slots) / nodes, backoff));
    const double perSecond = m_gate.totalRate(upstream.name).value_or(0.0);
    return Verdict::of(Reason::UpstreamLimited, {}, schedule.next(perSecond / nodes));
}

Dispatcher::Call *Dispatcher::find(CallId id, unsigned attempt)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.attempt != attempt || it->second.stage != Stage::Sent)
        return nullptr;
    return &it->second;
}

} // namespace fordwood
