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

void PermitScheduler::request(const PermitRequest &request)
{
    const auto it = m_states.find(request.upstream);
    if (it == m_states.end())
        return deny(request, Reason::NotOwner);
    UpstreamState &state = it->second;
    if (state.upstream.leaving)
        return deny(request, Reason::UpstreamLeaving);
    if (state.queue.empty() && canGrantNow(state, request)) {
        state.queue.charge(request.team, share(request.team), request.cost);
        return grant(state, request, Duration::zero());
    }
    if (request.wait <= Duration::zero())
        return deny(request, Reason::UpstreamBusy);
    if (state.queue.waiting(request.team) >= m_limits.queuePerTeam)
        return deny(request, Reason::QueueFull);
    if (expectedWait(state, request) + state.meanHoldTime > request.wait)
        return deny(request, Reason::DeadlineTooNear);
    const FairQueue::EntryId id = m_nextEntry++;
    const Duration prefill = state.prefill.timeFor(request.prompt);
    state.waiting.emplace(id, Waiting{request, m_clock.now(), prefill});
    state.byRequest.emplace(std::pair(request.holder, request.requestId), id);
    state.waitingPrefill += prefill;
    state.queue.push({id, request.team, share(request.team), request.cost, request.priority});
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
    state.meanHoldTime = state.meanHoldTime == Duration::zero()
                             ? holdTime
                             : (state.meanHoldTime * 7 + holdTime) / 8;
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
        it->second.pushbackUntil = m_clock.now() + kPushbackPause;
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
        std::vector<FairQueue::EntryId> dropped;
        for (const auto &[id, it] : state.waiting) {
            if (it.request.holder == holder)
                dropped.push_back(id);
        }
        for (const FairQueue::EntryId id : dropped)
            dropWaiting(state, id);
        std::erase_if(state.running, [&](const auto &it) { return it.second.holder == holder; });
        grantWaiting(state);
    }
}

void PermitScheduler::tick()
{
    const TimePoint now = m_clock.now();
    for (auto &[name, state] : m_states) {
        std::vector<FairQueue::EntryId> expired;
        for (const auto &[id, it] : state.waiting) {
            if (it.since + it.request.wait <= now)
                expired.push_back(id);
        }
        std::sort(expired.begin(), expired.end());
        for (const FairQueue::EntryId id : expired) {
            deny(state.waiting.at(id).request, Reason::DeadlineTooNear);
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

void PermitScheduler::grant(UpstreamState &state, const PermitRequest &request, Duration waited)
{
    const std::uint64_t id = m_nextPermit++;
    state.prefill.enqueue(request.prompt, m_clock.now());
    state.running.emplace(std::pair(request.holder, id),
                          Permit{request.holder, request.team, request.cost, m_clock.now()});
    PermitAnswer answer;
    answer.holder = request.holder;
    answer.requestId = request.requestId;
    answer.granted = true;
    answer.permitId = id;
    answer.waited = waited;
    answer.sendWithin = m_limits.sendWithin;
    m_answers.push_back(answer);
}

void PermitScheduler::deny(const PermitRequest &request, Reason reason)
{
    const auto it = m_states.find(request.upstream);
    PermitAnswer answer;
    answer.holder = request.holder;
    answer.requestId = request.requestId;
    answer.reason = reason;
    answer.retryAfter = retryAdvice(it == m_states.end() ? nullptr : &it->second);
    if (it != m_states.end())
        // The prompt's own computation counts twice, because other calls wait for it as well.
        answer.firstTokenIn
            = expectedWait(it->second, request) + it->second.prefill.timeFor(request.prompt) * 2;
    m_answers.push_back(answer);
}

void PermitScheduler::denyAllWaiting(UpstreamState &state, Reason reason)
{
    std::vector<FairQueue::EntryId> ids;
    for (const auto &[id, it] : state.waiting)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const FairQueue::EntryId id : ids) {
        deny(state.waiting.at(id).request, reason);
        dropWaiting(state, id);
    }
}

void PermitScheduler::grantWaiting(UpstreamState &state)
{
    if (state.isPaused || m_clock.now() < state.pushbackUntil)
        return; // tick() tries again
    while (!state.upstream.leaving && state.running.size() < state.upstream.slots
           && state.prefill.backlog(m_clock.now()) <= m_limits.maxBacklog) {
        const auto entry = state.queue.next();
        if (!entry)
            return;
        const Waiting waiting = state.waiting.at(entry->id);
        if (waiting.since + waiting.request.wait - m_clock.now() < state.meanHoldTime) {
            // Too late to finish, so the slot goes to a call that can.
            deny(waiting.request, Reason::DeadlineTooNear);
            dropWaiting(state, entry->id);
            continue;
        }
        state.queue.pop();
        dropWaiting(state, entry->id);
        grant(state, waiting.request, m_clock.now() - waiting.since);
    }
}

void PermitScheduler::dropWaiting(UpstreamState &state, FairQueue::EntryId id)
{
    const auto it = state.waiting.find(id);
    if (it == state.waiting.end())
        return;
    state.byRequest.erase({it->second.request.holder, it->second.request.requestId});
    state.waitingPrefill -= it->second.prefill; // as added, even if the estimate has changed
    state.queue.remove(id);
    state.waiting.erase(it);
}

// Whether a request can be granted without waiting. A call whose context is cached at the upstream
// accepts a backlog up to the time of computing the context elsewhere; any other goes where the
// backlog is smaller.
bool PermitScheduler::canGrantNow(const UpstreamState &state, const PermitRequest &request) const
{
    const TimePoint now = m_clock.now();
    if (state.isPaused || now < state.pushbackUntil || state.running.size() >= state.upstream.slots)
        return false;
    const Duration most
        = state.prefill.isCached(request.prompt)
              ? std::max(m_limits.maxBacklog, state.prefill.uncachedTimeFor(request.prompt))
              : m_limits.maxBacklog;
    return state.prefill.backlog(now) <= most;
}

// The estimated wait of a request, from the mean hold time of permits and the team's share among
// the waiting teams.
Duration PermitScheduler::expectedWait(const UpstreamState &state,
                                       const PermitRequest &request) const
{
    const std::size_t ahead = state.queue.waiting(request.team);
    const double own = share(request.team);
    const double active = state.queue.activeShare() + (ahead == 0 ? own : 0.0);
    const double rounds = static_cast<double>(ahead + 1) * active / own
                          / static_cast<double>(std::max<std::size_t>(1, state.upstream.slots));
    const bool slotsFree = state.queue.empty() && state.running.size() < state.upstream.slots;
    const auto bySlots = std::chrono::duration_cast<Duration>(state.meanHoldTime * rounds);
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
