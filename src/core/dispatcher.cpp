// SPDX-License-Identifier: MIT
#include "fordwood/dispatcher.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

constexpr std::chrono::milliseconds kRetrySoon{500};
// Marks permit ids that this node made itself, apart from those that owners give out.
constexpr std::uint64_t kMovedPermit = 1ULL << 63;
constexpr int kMostRedirections = 2;
constexpr std::size_t kMostMismatches = 20;
constexpr Duration kLocalSendWithin = std::chrono::seconds(2);

} // namespace

Dispatcher::Dispatcher(const Clock &clock, DispatcherLimits limits)
    : m_clock(clock), m_limits(limits), m_contention(clock, Contention::Limits{}),
      m_gate(clock, CeilingGate::Limits{})
{ }

void Dispatcher::setView(std::shared_ptr<const FleetView> view)
{
    m_view = std::move(view);
    m_gate.setBases(m_view->ceilingBases());
    for (auto &[id, call] : m_calls) {
        if (!call.held || call.held->direct || call.held->owner.empty())
            continue;
        const Member *owner = ownerOf(*call.held);
        if (owner != nullptr && owner->name != call.held->owner)
            holdAtOwner(call, *owner);
    }
}

void Dispatcher::begin(const CallRequest &request)
{
    const auto refuse = [&](Reason reason) {
        Verdict verdict = Verdict::of(reason, {}, kRetrySoon);
        if (request.key)
            verdict.state = RunState::MayHaveRun; // by an earlier send with the same key
        m_actions.emplace_back(EndCall{request.id, std::move(verdict)});
    };
    if (m_stopping)
        return refuse(Reason::Stopping);
    if (!m_view)
        return refuse(Reason::NotReady);
    if (m_calls.size() >= m_limits.maxCalls)
        return refuse(Reason::InFlightLimit);
    Call &call = m_calls[request.id];
    call.request = request;
    call.last = Verdict::of(Reason::NoUpstream, {}, kRetrySoon);
    const double ratio = m_view->configuration().limits.retryRatio;
    m_budgets.try_emplace(request.team, ratio).first->second.countFirstSend();
    choose(call);
    if (request.key) {
        const std::uint32_t partition = keyPartition(request.key->team, request.key->text);
        return claim(call, call.view->keyHolder(partition));
    }
    admit(call);
}

void Dispatcher::claimAnswered(const std::string &holder, std::uint64_t claimId,
                               const ClaimAnswer &answer)
{
    const auto known = m_claims.find(claimId);
    if (known == m_claims.end())
        return; // the claim was dropped, and the holder told so
    Call &call = m_calls.at(known->second);
    m_claims.erase(known);
    call.claimId = 0;
    switch (answer.decision) {
    case ClaimAnswer::Decision::Run:
        call.claimed = true;
        call.claimHolder = holder;
        return admit(call);
    case ClaimAnswer::Decision::Answer:
        m_actions.emplace_back(AnswerKept{call.request.id, answer.answer});
        return forget(call.request.id);
    case ClaimAnswer::Decision::Redirect:
        if (++call.redirections <= kMostRedirections)
            return claim(call, call.view->member(answer.holder));
        return end(call.request.id, Verdict::of(Reason::KeyHolderGone, {}, kRetrySoon));
    case ClaimAnswer::Decision::Refuse:
        return end(call.request.id, Verdict{answer.state, answer.reason, kRetrySoon, {}});
    }
}

void Dispatcher::permitAnswered(const std::string &owner, const PermitReply &reply)
{
    const auto known = m_asks.find(reply.askId);
    if (known == m_asks.end()) {
        // The call has gone on without this permit.
        if (reply.granted)
            m_actions.emplace_back(ReleasePermit{owner, reply.permitId, {}, 0.0, false});
        return;
    }
    Call &call = m_calls.at(known->second);
    m_asks.erase(known);
    call.askId = 0;
    if (reply.granted) {
        // Counted from the ask, not from the reply: it may have lain unread while we were paused.
        const TimePoint sendBy = call.asked + reply.waited + reply.sendWithin;
        return send(call, Held{owner, reply.permitId, current(call)->name}, sendBy);
    }
    const Verdict why = Verdict::of(reply.reason, {}, reply.retryAfter);
    if (reply.reason == Reason::UpstreamBusy && reply.firstTokenIn < call.soonestIn) {
        call.soonest = call.next;
        call.soonestIn = reply.firstTokenIn;
    }
    if (reply.reason == Reason::NotOwner)
        return askAgain(call, owner, why);
    askNext(call, why);
}

// Whoever was asked owns the upstream no more, or not yet: the views of two nodes differ for a
// moment.
void Dispatcher::askAgain(Call &call, const std::string &asked, const Verdict &why)
{
    const bool queueing = call.queueing;
    choose(call);
    call.queueing = queueing;
    const UpstreamConfig *upstream = current(call);
    if (upstream == nullptr)
        return end(call.request.id, why);
    call.last = why;
    const Member *owner = call.view->owner(*upstream);
    if (owner != nullptr && owner->name != asked)
        return ask(call);
    fallBack(call);
}

void Dispatcher::allowanceAnswered(const std::string &team, std::uint64_t askId,
                                   const Allowance &allowance)
{
    m_gate.answered(team, askId, allowance);
    if (m_gate.isAsking(team))
        return; // it was the answer to an earlier ask
    m_allowanceAsks.erase(team);
    settleAdmitting(team);
}

void Dispatcher::ownerLost(const std::string &owner)
{
    m_lostOwners.insert(owner);
    std::vector<CallId> waiting;
    std::vector<CallId> unclaimed;
    for (auto &[id, call] : m_calls) {
        if (call.claimId != 0 && call.claimHolder == owner)
            unclaimed.push_back(id);
        if (call.askId != 0 && call.askedOwner == owner)
            waiting.push_back(id);
        if (call.held && call.held->owner == owner)
            call.held->owner.clear(); // nobody is left to give it back to
    }
    std::sort(unclaimed.begin(), unclaimed.end());
    for (const CallId id : unclaimed)
        end(id, Verdict::of(Reason::KeyHolderGone, {}, kRetrySoon));
    giveUpAllowances([&](const AllowanceWait &it) { return it.owner == owner; });
    std::sort(waiting.begin(), waiting.end());
    for (const CallId id : waiting) {
        Call &call = m_calls.at(id);
        m_asks.erase(call.askId);
        call.askId = 0;
        fallBack(call);
    }
}

void Dispatcher::attemptFailed(CallId id, unsigned attempt, const AttemptFailure &failure)
{
    Call *call = find(id, attempt);
    if (call == nullptr)
        return;
    const bool sentDirectly = call->held && call->held->direct;
    const bool busy
        = failure.reason == Reason::UpstreamPushback || failure.reason == Reason::VersionMismatch;
    releaseHeld(*call, 0.0, busy);
    if (failure.reason == Reason::VersionMismatch)
        call->mismatched.push_back(current(*call)->name);
    else if (busy)
        call->full.push_back(current(*call)->name);
    Verdict verdict{failure.state, failure.reason, std::chrono::milliseconds(0), failure.detail};
    // A stream of whole events is not begun again but continued.
    const bool cutForGood = failure.answerBegun && !failure.passedEvents;
    if (!maySendAgain(failure.state, call->request.repeatable, cutForGood))
        return end(id, verdict);
    if (call->request.deadline <= m_clock.now())
        return end(id, verdict);
    const bool free = isFree(*call, failure, sentDirectly);
    if (free)
        m_actions.emplace_back(CountRetry{failure.reason});
    if (!free && !takeRetry(*call, failure.reason)) {
        // The failure itself stays the verdict: an exhausted budget must not hide that it may have
        // run.
        verdict.detail += (verdict.detail.empty() ? "" : "; ") + std::string("no retry left");
        return end(id, verdict);
    }
    call->stage = Stage::Asking;
    if (failure.answerBegun)
        call->resumeFrom = failure.passedEvents;
    call->last = verdict;
    call->mayHaveRun = call->mayHaveRun || failure.state != RunState::NotRun;
    if (!busy && failure.reason != Reason::PermitExpired)
        call->broken.push_back(current(*call)->name);
    choose(*call);
    if (call->candidates.empty())
        return end(id, verdict);
    ask(*call);
}

// Whether sending again costs nothing of the team's budget, since it adds no load: a direct send
// that met a full upstream now waits its turn at the owner, and so does one that met other weights.
bool Dispatcher::isFree(const Call &call, const AttemptFailure &failure, bool sentDirectly)
{
    if (failure.reason == Reason::VersionMismatch)
        return call.mismatched.size() <= kMostMismatches;
    return sentDirectly && failure.reason == Reason::UpstreamPushback;
}

void Dispatcher::attemptFinished(CallId id, unsigned attempt, double cost, KeptAnswer answer)
{
    Call *call = find(id, attempt);
    if (call == nullptr)
        return;
    releaseHeld(*call, cost);
    m_contention.countAccepted(call->request.target);
    if (call->claimed)
        m_actions.emplace_back(
            FinishClaim{call->claimHolder, *call->request.key, RunState::Ran, std::move(answer)});
    forget(id);
}

void Dispatcher::callerLeft(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    Call &call = it->second;
    if (call.claimed && call.stage == Stage::Sent)
        return; // its answer is kept for the caller's next send with the same key
    withdraw(call);
    if (call.stage == Stage::Sent)
        m_actions.emplace_back(CancelAttempt{id, call.attempt});
    releaseHeld(call, 0.0);
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
        else if (call.claimId != 0 && call.claimUntil <= now)
            unclaimed.push_back(id);
        else if (call.askId != 0 && call.askedUntil <= now)
            silent.push_back(id);
    }
    std::sort(silent.begin(), silent.end());
    std::sort(late.begin(), late.end());
    std::sort(unclaimed.begin(), unclaimed.end());
    for (const CallId id : unclaimed)
        end(id, Verdict::of(Reason::OwnerSilent, {}, kRetrySoon));
    for (const CallId id : late) {
        Call &call = m_calls.at(id);
        withdraw(call);
        if (call.stage == Stage::Sent) {
            m_actions.emplace_back(CancelAttempt{id, call.attempt});
            releaseHeld(call, 0.0);
            end(id, Verdict::of(Reason::UpstreamTimeout));
        } else {
            end(id, Verdict::of(Reason::DeadlineTooNear, {}, kRetrySoon));
        }
    }
    for (const CallId id : silent) {
        Call &call = m_calls.at(id);
        withdraw(call);
        fallBack(call);
    }
    giveUpAllowances([&](const AllowanceWait &it) { return it.until <= now; });
    for (const std::string &team : m_gate.due())
        askAllowance(team);
}

std::vector<Action> Dispatcher::takeActions()
{
    return std::exchange(m_actions, {});
}

// Lets the call begin if its team may run one more request; else it waits for the answer of the
// team's owner, unless that has just said that there is no more.
void Dispatcher::admit(Call &call)
{
    const std::string team = call.request.team;
    if (m_gate.enter(team)) {
        call.entered = true;
        return ask(call);
    }
    if (!m_gate.isAsking(team) && !m_gate.mayAsk(team))
        return end(call.request.id, Verdict::of(Reason::TeamCeiling, {}, kRetrySoon));
    call.stage = Stage::Admitting;
    m_admitting[team].push_back(call.request.id);
    if (!m_gate.isAsking(team))
        askAllowance(team);
}

void Dispatcher::askAllowance(const std::string &team)
{
    const auto waiting = m_admitting.find(team);
    const AllowanceAsk ask
        = m_gate.ask(team, waiting == m_admitting.end() ? 0 : waiting->second.size());
    const Member *owner = m_view->teamOwner(team);
    if (owner == nullptr) {
        m_gate.unanswered(team);
        return settleAdmitting(team);
    }
    m_allowanceAsks[team] = {owner->name, m_clock.now() + m_limits.ownerTimeout};
    m_actions.emplace_back(AskAllowance{owner->name, owner->controlAddress, ask});
}

// Goes on without the answers to the open asks that match.
template <typename Matches>
void Dispatcher::giveUpAllowances(Matches matches)
{
    std::vector<std::string> teams;
    for (const auto &[team, it] : m_allowanceAsks) {
        if (matches(it))
            teams.push_back(team);
    }
    for (const std::string &team : teams) {
        m_allowanceAsks.erase(team);
        m_gate.unanswered(team);
        settleAdmitting(team);
    }
}

// Lets waiting calls of a team begin as far as its ceiling allows. The others ask again if the
// owner gave all that was asked for before they came, and are refused if it did not.
void Dispatcher::settleAdmitting(const std::string &team)
{
    const auto waiting = m_admitting.extract(team);
    if (waiting.empty())
        return;
    for (const CallId id : waiting.mapped()) {
        const auto it = m_calls.find(id);
        if (it == m_calls.end())
            continue; // its caller has left, or its time is up
        Call &call = it->second;
        call.entered = m_gate.enter(team);
        if (call.entered)
            ask(call);
        else if (m_gate.mayAsk(team))
            m_admitting[team].push_back(id);
        else
            end(id, Verdict::of(Reason::TeamCeiling, {}, kRetrySoon));
    }
    if (m_admitting.count(team) != 0)
        askAllowance(team);
}

// Removes a call that has ended.
void Dispatcher::forget(CallId id)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end())
        return;
    if (it->second.entered)
        m_gate.leave(it->second.request.team);
    m_calls.erase(it);
}

// Asks a member whether the call's key may run.
void Dispatcher::claim(Call &call, const Member *holder)
{
    if (holder == nullptr)
        return end(call.request.id, Verdict::of(Reason::KeyHolderGone, {}, kRetrySoon));
    call.stage = Stage::Claiming;
    call.claimId = m_nextAsk++;
    call.claimHolder = holder->name;
    call.claimUntil = m_clock.now() + m_limits.ownerTimeout;
    m_claims.emplace(call.claimId, call.request.id);
    m_actions.emplace_back(
        ClaimKey{call.claimId, holder->name, holder->controlAddress, *call.request.key});
}

// Gives up an open claim: should the holder have granted it, the key is free again.
void Dispatcher::dropClaim(Call &call)
{
    if (call.claimId == 0)
        return;
    m_claims.erase(call.claimId);
    call.claimId = 0;
    m_actions.emplace_back(FinishClaim{call.claimHolder, *call.request.key, RunState::NotRun, {}});
}

// The upstreams to try, best first: those that broke are left out, those that were full come last.
void Dispatcher::choose(Call &call)
{
    call.view = m_view;
    call.next = 0;
    call.soonest = 0;
    call.soonestIn = Duration::max();
    call.queueing = false;
    call.candidates = candidatesFor(call);
    const auto among = [](const std::vector<std::string> &names, const UpstreamConfig *it) {
        return std::find(names.begin(), names.end(), it->name) != names.end();
    };
    std::erase_if(call.candidates,
                  [&](const UpstreamConfig *it) { return among(call.broken, it); });
    std::stable_partition(call.candidates.begin(), call.candidates.end(), [&](const auto *it) {
        return !among(call.full, it) && !among(call.mismatched, it);
    });
    if (call.candidates.size() > m_limits.candidates)
        call.candidates.resize(m_limits.candidates);
}

std::vector<const UpstreamConfig *> Dispatcher::candidatesFor(const Call &call) const
{
    const CallRequest &request = call.request;
    const bool anywhere = call.resumeFrom || !call.mismatched.empty();
    const std::size_t count = anywhere ? m_view->configuration().upstreams.size()
                                       : m_limits.candidates + call.broken.size();
    if (request.kind == CallKind::Service)
        return m_view->services(request.target, request.prefixHash, count);
    auto candidates = m_view->engines(request.target, request.prefixHash, count);
    if (call.resumeFrom)
        std::erase_if(candidates, [](const UpstreamConfig *it) { return !it->resumes; });
    // Weights that are not those of this node's configuration: if the domain is cut off, its own
    // engines are the ones that still have them.
    if (!call.mismatched.empty())
        std::stable_partition(candidates.begin(), candidates.end(), [&](const auto *it) {
            return it->failureDomain == m_view->ownFailureDomain();
        });
    return candidates;
}

void Dispatcher::ask(Call &call)
{
    const UpstreamConfig *upstream = current(call);
    if (upstream == nullptr)
        return end(call.request.id, call.last);
    if (maySendDirectly(*upstream, call))
        return send(call, Held{{}, 0, upstream->name, true}, m_clock.now() + kLocalSendWithin);
    const Member *owner = call.view->owner(*upstream);
    if (owner == nullptr)
        return fallBack(call);
    holdAgain(*owner);
    // A lone candidate is queued for at once; else the first round only looks for a free place.
    call.queueing = call.queueing || call.candidates.size() == 1;
    const TimePoint now = m_clock.now();
    const Duration left = call.request.deadline - now;
    call.stage = Stage::Asking;
    call.askId = m_nextAsk++;
    call.askedOwner = owner->name;
    call.asked = now;
    call.askedUntil = now + m_limits.ownerTimeout + (call.queueing ? left : Duration::zero());
    m_asks.emplace(call.askId, call.request.id);
    m_actions.emplace_back(AskPermit{
        call.request.id,
        call.askId,
        owner->name,
        owner->controlAddress,
        upstream->name,
        call.request.team,
        call.request.cost,
        call.request.priority,
        call.queueing ? left : Duration::zero(),
        {call.request.prefixHash, call.request.contextTokens, call.request.questionTokens}});
}

void Dispatcher::askNext(Call &call, const Verdict &why)
{
    call.last = why;
    if (call.queueing)
        return end(call.request.id, why);
    ++call.next;
    if (call.next < call.candidates.size())
        return ask(call);
    m_contention.countRefused(call.request.target);
    // No place is free anywhere near: wait where the first token would come soonest.
    call.next = call.soonest;
    call.queueing = true;
    ask(call);
}

// Only where a full upstream says that it did not run the request. A call that found every
// candidate full waits its turn at an owner instead, and tells the others of its model that places
// are short.
bool Dispatcher::maySendDirectly(const UpstreamConfig &upstream, const Call &call)
{
    const std::size_t tokens = call.request.contextTokens + call.request.questionTokens;
    if (!m_limits.direct || !upstream.refusesWhenFull || tokens > m_limits.mostDirectTokens)
        return false;
    const auto refusedBy = [&](const std::vector<std::string> &names) {
        return std::find(names.begin(), names.end(), upstream.name) != names.end();
    };
    const bool triedAll = refusedBy(call.full) || refusedBy(call.mismatched);
    if (triedAll)
        m_contention.countRefused(call.request.target);
    return !triedAll && !m_contention.isContended(call.request.target);
}

void Dispatcher::fallBack(Call &call)
{
    const UpstreamConfig *upstream = current(call);
    std::size_t &used = m_localInUse[upstream->name];
    if (used >= localAllowance(*upstream)) {
        const Verdict verdict = Verdict::of(Reason::LocalAllowanceUsed, {}, kRetrySoon);
        return call.queueing ? end(call.request.id, verdict) : askNext(call, verdict);
    }
    ++used;
    m_actions.emplace_back(CountRetry{Reason::OwnerSilent});
    send(call, Held{{}, 0, upstream->name}, m_clock.now() + kLocalSendWithin);
}

void Dispatcher::send(Call &call, Held held, TimePoint sendBy)
{
    const UpstreamConfig *upstream = current(call);
    call.held = std::move(held);
    if (m_view->isLeaving(upstream->name)) {
        releaseHeld(call, 0.0);
        return askNext(call, Verdict::of(Reason::UpstreamLeaving, {}, kRetrySoon));
    }
    renewVersion(call);
    call.stage = Stage::Sent;
    ++call.attempt;
    m_actions.emplace_back(
        SendCall{call.request.id, call.attempt, upstream->name, upstream->address,
                 call.request.priority, sendBy, call.request.deadline, call.request.repeatable,
                 call.request.key.has_value(), call.request.weightVersion, call.resumeFrom});
}

// A request that nobody has begun to answer runs on the weight version that is in force now; a
// stream goes on with the one that it began with.
void Dispatcher::renewVersion(Call &call) const
{
    if (call.request.kind != CallKind::Completion || call.resumeFrom)
        return;
    const auto &models = m_view->configuration().models;
    const auto model = models.find(call.request.target);
    if (model != models.end())
        call.request.weightVersion = model->second.weightVersion;
}

// Who owns the upstream of a permit in use now; null when it has gone or there are no members.
const Member *Dispatcher::ownerOf(const Held &held) const
{
    const auto &upstreams = m_view->configuration().upstreams;
    const auto it = upstreams.find(held.upstream);
    return it == upstreams.end() ? nullptr : m_view->owner(it->second);
}

// Moves a permit in use to another owner, or to the next process of the same one.
void Dispatcher::holdAtOwner(Call &call, const Member &owner)
{
    Held &held = *call.held;
    if (held.permitId == 0) // it no longer counts against the local allowance
        m_localInUse[held.upstream] -= m_localInUse[held.upstream] > 0 ? 1 : 0;
    if (!held.owner.empty() && held.permitId != 0)
        m_actions.emplace_back(ReleasePermit{held.owner, held.permitId, held.upstream, 0.0, false});
    held.owner = owner.name;
    held.permitId = kMovedPermit | call.request.id;
    m_actions.emplace_back(HoldPermit{owner.name, owner.controlAddress, held.permitId,
                                      held.upstream, call.request.team});
}

// An owner that was lost is asked again: its process may be another one that knows of nothing.
void Dispatcher::holdAgain(const Member &owner)
{
    if (m_lostOwners.erase(owner.name) == 0)
        return;
    std::vector<CallId> ids;
    for (const auto &[id, call] : m_calls) {
        if (!call.held || call.held->direct || !call.held->owner.empty())
            continue;
        const Member *present = ownerOf(*call.held);
        if (present != nullptr && present->name == owner.name)
            ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end());
    for (const CallId id : ids)
        holdAtOwner(m_calls.at(id), owner);
}

void Dispatcher::releaseHeld(Call &call, double cost, bool pushedBack)
{
    if (!call.held)
        return;
    const Held held = *std::exchange(call.held, std::nullopt);
    if (held.direct)
        return;
    if (held.permitId != 0) {
        if (!held.owner.empty())
            m_actions.emplace_back(
                ReleasePermit{held.owner, held.permitId, held.upstream, cost, pushedBack});
        return;
    }
    std::size_t &used = m_localInUse[held.upstream];
    used -= used > 0 ? 1 : 0;
}

void Dispatcher::withdraw(Call &call)
{
    if (call.askId == 0)
        return;
    m_actions.emplace_back(WithdrawAsk{call.askId, call.askedOwner, current(call)->name});
    m_asks.erase(call.askId);
    call.askId = 0;
}

void Dispatcher::end(CallId id, const Verdict &verdict)
{
    const auto it = m_calls.find(id);
    EndCall action{id, verdict};
    if (it != m_calls.end()) {
        Call &call = it->second;
        const bool everSent = call.attempt > 0;
        // "Not run" is only true if it is true of every attempt, and of a key only if the key was
        // ours.
        const bool unsure = call.mayHaveRun || (call.request.key && !call.claimed);
        if (unsure && verdict.state == RunState::NotRun)
            action.verdict.state = RunState::MayHaveRun;
        dropClaim(call);
        if (call.claimed)
            m_actions.emplace_back(FinishClaim{call.claimHolder,
                                               *call.request.key,
                                               everSent ? action.verdict.state : RunState::NotRun,
                                               {}});
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

std::size_t Dispatcher::localAllowance(const UpstreamConfig &upstream) const
{
    std::size_t peers = 0;
    for (const Member &it : m_view->members())
        peers += it.failureDomain == upstream.failureDomain ? 1 : 0;
    return std::max<std::size_t>(1, upstream.slots / std::max<std::size_t>(1, peers));
}

const UpstreamConfig *Dispatcher::current(const Call &call) const
{
    return call.next < call.candidates.size() ? call.candidates[call.next] : nullptr;
}

Dispatcher::Call *Dispatcher::find(CallId id, unsigned attempt)
{
    const auto it = m_calls.find(id);
    if (it == m_calls.end() || it->second.attempt != attempt || it->second.stage != Stage::Sent)
        return nullptr;
    return &it->second;
}

} // namespace fordwood
