// SPDX-License-Identifier: MIT
#include "fordwood/permit_scheduler.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

constexpr Duration kPushbackPause = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds kRetryAfterStep{250};
constexpr std::chrono::milliseconds kMaxRetryAfter{10'000};

} // namespace

PermitScheduler::PermitScheduler(const Clock &clock, PermitLimits limits)
    : m_clock(clock), m_limits(limits)
{ }

void PermitScheduler::setUpstreams(const std::vector<OwnedUpstream> &upstreams)
{
    std::map<std::string, UpstreamState> states;
    for (const OwnedUpstream &it : upstreams) {
        auto known = m_states.extract(it.name);
        UpstreamState &state
            = known.empty() ? states[it.name] : states.insert(std::move(known)).position->second;
        state.upstream = it;
        state.prefill.setEngine(it.prefillTokensPerSecond, it.cacheTokens);
    }
    for (auto &[name, state] : m_states)
        denyAllWaiting(state, Reason::NotOwner);
    m_states = std::move(states);
    for (auto &[name, state] : m_states) {
        if (state.upstream.leaving)
            denyAllWaiting(state, Reason::UpstreamLeaving);
        grantWaiting(state);
    }
}

void PermitScheduler::setShares(std::map<std::string, double> shares)
{
    m_shares = std::move(shares);
}

void PermitScheduler::setPaused(const std::string &upstream, bool isPaused)
{
    const auto it = m_states.find(upstream);
    if (it == m_states.end())
        return;
    it->second.isPaused = isPaused;
    grantWaiting(it->second);
}

void PermitScheduler::request(const PermitRequest &ask)
{
    const auto it = m_states.find(ask.upstream);
    if (it == m_states.end())
        return deny(ask, Reason::NotOwner);
    UpstreamState &state = it->second;
    if (state.upstream.leaving)
        return deny(ask, Reason::UpstreamLeaving);
    if (state.queue.empty() && canGrantNow(state, ask)) {
        state.queue.charge(ask.team, share(ask.team), ask.cost);
        return grant(state, ask, Duration::zero());
    }
    if (ask.wait <= Duration::zero())
        return deny(ask, Reason::UpstreamBusy);
    if (state.queue.waiting(ask.team) >= m_limits.queuePerTeam)
        return deny(ask, Reason::QueueFull);
    if (expectedWait(state, ask) + state.meanHold > ask.wait)
        return deny(ask, Reason::DeadlineTooNear);
    const FairQueue::EntryId id = m_nextEntry++;
    const Duration prefill = state.prefill.timeFor(ask.prompt);
    state.waiting.emplace(id, Waiting{ask, m_clock.now(), prefill});
    state.byRequest.emplace(std::pair(ask.holder, ask.requestId), id);
    state.waitingPrefill += prefill;
    state.queue.push({id, ask.team, share(ask.team), ask.cost, ask.priority});
}

void PermitScheduler::release(HolderId holder, std::uint64_t permitId, const std::string &upstream,
                              double cost)
{
    for (auto &[name, state] : m_states) {
        if (upstream.empty() || upstream == name)
            releaseFrom(state, holder, permitId, cost);
    }
}

void PermitScheduler::releaseFrom(UpstreamState &state, HolderId holder, std::uint64_t permitId,
                                  double cost)
{
    const auto permit = state.running.find({holder, permitId});
    if (permit == state.running.end())
        return;
    const Duration holdTime = m_clock.now() - permit->second.granted;
    state.meanHold
        = state.meanHold == Duration::zero() ? holdTime : (state.meanHold * 7 + holdTime) / 8;
    const double correction = cost > 0 ? cost - permit->second.cost : 0.0;
    if (correction > 0)
        state.queue.charge(permit->second.team, share(permit->second.team), correction);
    state.running.erase(permit);
    if (state.running.empty())
        state.prefill.setIdle(m_clock.now());
    grantWaiting(state);
}

void PermitScheduler::onPushback(HolderId holder, std::uint64_t permitId,
                                 const std::string &upstream)
{
    const auto it = m_states.find(upstream);
    if (it != m_states.end())
        it->second.pausedUntil = m_clock.now() + kPushbackPause;
    release(holder, permitId, upstream, 0.0);
}

void PermitScheduler::withdraw(HolderId holder, std::uint64_t requestId,
                               const std::string &upstream)
{
    const auto it = m_states.find(upstream);
    if (it == m_states.end())
        return;
    const auto entry = it->second.byRequest.find({holder, requestId});
    if (entry != it->second.byRequest.end())
        dropWaiting(it->second, entry->second);
}

void PermitScheduler::adoptPermit(HolderId holder, std::uint64_t permitId,
                                  const std::string &upstream, const std::string &team)
{
    const auto it = m_states.find(upstream);
    if (it != m_states.end())
        it->second.running.insert_or_assign({holder, permitId},
                                            Permit{holder, team, 0.0, m_clock.now()});
}

void PermitScheduler::dropHolder(HolderId holder)
{
    for (auto &[name, state] : m_states) {
        std::vector<FairQueue::EntryId> gone;
        for (const auto &[id, it] : state.waiting) {
            if (it.ask.holder == holder)
                gone.push_back(id);
        }
        for (const FairQueue::EntryId id : gone)
            dropWaiting(state, id);
        std::erase_if(state.running, [&](const auto &it) { return it.second.holder == holder; });
        grantWaiting(state);
    }
}

void PermitScheduler::tick()
{
    const TimePoint now = m_clock.now();
    for (auto &[name, state] : m_states) {
        std::vector<FairQueue::EntryId> late;
        for (const auto &[id, it] : state.waiting) {
            if (it.since + it.ask.wait <= now)
                late.push_back(id);
        }
        std::sort(late.begin(), late.end());
        for (const FairQueue::EntryId id : late) {
            deny(state.waiting.at(id).ask, Reason::DeadlineTooNear);
            dropWaiting(state, id);
        }
        grantWaiting(state);
    }
}

std::vector<PermitAnswer> PermitScheduler::takeAnswers()
{
    return std::exchange(m_answers, {});
}

std::size_t PermitScheduler::running(const std::string &upstream) const
{
    const auto it = m_states.find(upstream);
    return it == m_states.end() ? 0 : it->second.running.size();
}

bool PermitScheduler::hasWaiting() const
{
    return std::any_of(m_states.begin(), m_states.end(),
                       [](const auto &it) { return !it.second.queue.empty(); });
}

std::size_t PermitScheduler::waiting(const std::string &upstream) const
{
    const auto it = m_states.find(upstream);
    return it == m_states.end() ? 0 : it->second.queue.size();
}

void PermitScheduler::grant(UpstreamState &state, const PermitRequest &ask, Duration waited)
{
    const std::uint64_t id = m_nextPermit++;
    state.prefill.give(ask.prompt, m_clock.now());
    state.running.emplace(std::pair(ask.holder, id),
                          Permit{ask.holder, ask.team, ask.cost, m_clock.now()});
    PermitAnswer answer;
    answer.holder = ask.holder;
    answer.requestId = ask.requestId;
    answer.granted = true;
    answer.permitId = id;
    answer.waited = waited;
    answer.sendWithin = m_limits.sendWithin;
    m_answers.push_back(answer);
}

void PermitScheduler::deny(const PermitRequest &ask, Reason reason)
{
    const auto it = m_states.find(ask.upstream);
    PermitAnswer answer;
    answer.holder = ask.holder;
    answer.requestId = ask.requestId;
    answer.reason = reason;
    answer.retryAfter = retryAdvice(it == m_states.end() ? nullptr : &it->second);
    if (it != m_states.end())
        // What is computed here is counted twice: others wait for it as well.
        answer.firstTokenIn
            = expectedWait(it->second, ask) + it->second.prefill.timeFor(ask.prompt) * 2;
    m_answers.push_back(answer);
}

void PermitScheduler::denyAllWaiting(UpstreamState &state, Reason reason)
{
    std::vector<FairQueue::EntryId> ids;
    for (const auto &[id, it] : state.waiting)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const FairQueue::EntryId id : ids) {
        deny(state.waiting.at(id).ask, reason);
        dropWaiting(state, id);
    }
}

void PermitScheduler::grantWaiting(UpstreamState &state)
{
    if (state.isPaused || m_clock.now() < state.pausedUntil)
        return; // tick() comes back to it
    while (!state.upstream.leaving && state.running.size() < state.upstream.slots
           && state.prefill.backlog(m_clock.now()) <= m_limits.maxBacklog) {
        const auto entry = state.queue.next();
        if (!entry)
            return;
        const Waiting waiting = state.waiting.at(entry->id);
        if (waiting.since + waiting.ask.wait - m_clock.now() < state.meanHold) {
            // Too late to finish: it must not take the place of one that can.
            deny(waiting.ask, Reason::DeadlineTooNear);
            dropWaiting(state, entry->id);
            continue;
        }
        state.queue.pop();
        dropWaiting(state, entry->id);
        grant(state, waiting.ask, m_clock.now() - waiting.since);
    }
}

void PermitScheduler::dropWaiting(UpstreamState &state, FairQueue::EntryId id)
{
    const auto it = state.waiting.find(id);
    if (it == state.waiting.end())
        return;
    state.byRequest.erase({it->second.ask.holder, it->second.ask.requestId});
    state.waitingPrefill -= it->second.prefill; // what was added, whatever is believed by now
    state.queue.remove(id);
    state.waiting.erase(it);
}

// Whether a request may go to the upstream at once. One whose context is kept there waits as long
// as it would take to compute it elsewhere; any other goes where less is to be computed.
bool PermitScheduler::canGrantNow(const UpstreamState &state, const PermitRequest &ask) const
{
    const TimePoint now = m_clock.now();
    if (state.isPaused || now < state.pausedUntil || state.running.size() >= state.upstream.slots)
        return false;
    const Duration most = state.prefill.isWarm(ask.prompt)
                              ? std::max(m_limits.maxBacklog, state.prefill.coldTimeFor(ask.prompt))
                              : m_limits.maxBacklog;
    return state.prefill.backlog(now) <= most;
}

// How long an ask would wait, from the mean time that permits are held and the team's part of the
// places among the teams that wait.
Duration PermitScheduler::expectedWait(const UpstreamState &state, const PermitRequest &ask) const
{
    const std::size_t ahead = state.queue.waiting(ask.team);
    const double own = share(ask.team);
    const double active = state.queue.activeShare() + (ahead == 0 ? own : 0.0);
    const double rounds = static_cast<double>(ahead + 1) * active / own
                          / static_cast<double>(std::max<std::size_t>(1, state.upstream.slots));
    const bool slotsFree = state.queue.empty() && state.running.size() < state.upstream.slots;
    const auto bySlots = std::chrono::duration_cast<Duration>(state.meanHold * rounds);
    const Duration byPrefill = state.prefill.backlog(m_clock.now()) + state.waitingPrefill;
    return std::max(slotsFree ? Duration::zero() : bySlots, byPrefill);
}

std::chrono::milliseconds PermitScheduler::retryAdvice(const UpstreamState *state) const
{
    if (state == nullptr)
        return kRetryAfterStep;
    const auto rounds = 1 + state->queue.size() / std::max<std::size_t>(1, state->upstream.slots);
    return std::min(kMaxRetryAfter,
                    kRetryAfterStep * static_cast<int>(std::min<std::size_t>(rounds, 100)));
}

double PermitScheduler::share(const std::string &team) const
{
    const auto it = m_shares.find(team);
    return it == m_shares.end() ? 1.0 : it->second;
}

} // namespace fordwood
