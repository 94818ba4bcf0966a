// SPDX-License-Identifier: MIT
#include "fordwood/permit_book.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

constexpr Duration kFullFor = std::chrono::milliseconds(20);
constexpr std::chrono::milliseconds kRetryStep{250};
constexpr std::chrono::milliseconds kRetryMost{10'000};

} // namespace

PermitBook::PermitBook(const Clock &clock, PermitLimits limits) : m_clock(clock), m_limits(limits)
{ }

void PermitBook::setUpstreams(const std::vector<OwnedUpstream> &upstreams)
{
    std::map<std::string, Line> lines;
    for (const OwnedUpstream &it : upstreams) {
        auto known = m_lines.extract(it.name);
        Line &line
            = known.empty() ? lines[it.name] : lines.insert(std::move(known)).position->second;
        line.upstream = it;
        line.prefill.setEngine(it.prefillTokensPerSecond, it.cacheTokens);
    }
    for (auto &[name, line] : m_lines)
        denyAllWaiting(line, Reason::NotOwner);
    m_lines = std::move(lines);
    for (auto &[name, line] : m_lines) {
        if (line.upstream.leaving)
            denyAllWaiting(line, Reason::UpstreamLeaving);
        fill(line);
    }
}

void PermitBook::setShares(std::map<std::string, double> shares)
{
    m_shares = std::move(shares);
}

void PermitBook::setHeld(const std::string &upstream, bool held)
{
    const auto it = m_lines.find(upstream);
    if (it == m_lines.end())
        return;
    it->second.held = held;
    fill(it->second);
}

void PermitBook::ask(const PermitAsk &ask)
{
    const auto it = m_lines.find(ask.upstream);
    if (it == m_lines.end())
        return deny(ask, Reason::NotOwner);
    Line &line = it->second;
    if (line.upstream.leaving)
        return deny(ask, Reason::UpstreamLeaving);
    if (line.queue.empty() && takesNow(line, ask)) {
        line.queue.charge(ask.team, share(ask.team), ask.cost);
        return grant(line, ask, Duration::zero());
    }
    if (ask.wait <= Duration::zero())
        return deny(ask, Reason::UpstreamBusy);
    if (line.queue.waiting(ask.team) >= m_limits.queuePerTeam)
        return deny(ask, Reason::QueueFull);
    if (expectedWait(line, ask) + line.meanHold > ask.wait)
        return deny(ask, Reason::DeadlineTooNear);
    const FairQueue::EntryId id = m_nextEntry++;
    const Duration prefill = line.prefill.timeFor(ask.prompt);
    line.waiting.emplace(id, Waiting{ask, m_clock.now(), prefill});
    line.byAsk.emplace(std::pair(ask.holder, ask.askId), id);
    line.waitingPrefill += prefill;
    line.queue.push({id, ask.team, share(ask.team), ask.cost, ask.priority});
}

void PermitBook::release(HolderId holder, std::uint64_t permitId, const std::string &upstream,
                         double cost)
{
    for (auto &[name, line] : m_lines) {
        if (upstream.empty() || upstream == name)
            releaseIn(line, holder, permitId, cost);
    }
}

void PermitBook::releaseIn(Line &line, HolderId holder, std::uint64_t permitId, double cost)
{
    const auto permit = line.running.find({holder, permitId});
    if (permit == line.running.end())
        return;
    const Duration held = m_clock.now() - permit->second.granted;
    line.meanHold = line.meanHold == Duration::zero() ? held : (line.meanHold * 7 + held) / 8;
    const double correction = cost > 0 ? cost - permit->second.cost : 0.0;
    if (correction > 0)
        line.queue.charge(permit->second.team, share(permit->second.team), correction);
    line.running.erase(permit);
    if (line.running.empty())
        line.prefill.setIdle(m_clock.now());
    fill(line);
}

void PermitBook::pushedBack(HolderId holder, std::uint64_t permitId, const std::string &upstream)
{
    const auto it = m_lines.find(upstream);
    if (it != m_lines.end())
        it->second.fullUntil = m_clock.now() + kFullFor;
    release(holder, permitId, upstream, 0.0);
}

void PermitBook::withdraw(HolderId holder, std::uint64_t askId, const std::string &upstream)
{
    const auto it = m_lines.find(upstream);
    if (it == m_lines.end())
        return;
    const auto entry = it->second.byAsk.find({holder, askId});
    if (entry != it->second.byAsk.end())
        dropWaiting(it->second, entry->second);
}

void PermitBook::hold(HolderId holder, std::uint64_t permitId, const std::string &upstream,
                      const std::string &team)
{
    const auto it = m_lines.find(upstream);
    if (it != m_lines.end())
        it->second.running.insert_or_assign({holder, permitId},
                                            Permit{holder, team, 0.0, m_clock.now()});
}

void PermitBook::dropHolder(HolderId holder)
{
    for (auto &[name, line] : m_lines) {
        std::vector<FairQueue::EntryId> gone;
        for (const auto &[id, it] : line.waiting) {
            if (it.ask.holder == holder)
                gone.push_back(id);
        }
        for (const FairQueue::EntryId id : gone)
            dropWaiting(line, id);
        std::erase_if(line.running, [&](const auto &it) { return it.second.holder == holder; });
        fill(line);
    }
}

void PermitBook::tick()
{
    const TimePoint now = m_clock.now();
    for (auto &[name, line] : m_lines) {
        std::vector<FairQueue::EntryId> late;
        for (const auto &[id, it] : line.waiting) {
            if (it.since + it.ask.wait <= now)
                late.push_back(id);
        }
        std::sort(late.begin(), late.end());
        for (const FairQueue::EntryId id : late) {
            deny(line.waiting.at(id).ask, Reason::DeadlineTooNear);
            dropWaiting(line, id);
        }
        fill(line);
    }
}

std::vector<PermitAnswer> PermitBook::takeAnswers()
{
    return std::exchange(m_answers, {});
}

std::size_t PermitBook::running(const std::string &upstream) const
{
    const auto it = m_lines.find(upstream);
    return it == m_lines.end() ? 0 : it->second.running.size();
}

bool PermitBook::hasWaiting() const
{
    return std::any_of(m_lines.begin(), m_lines.end(),
                       [](const auto &it) { return !it.second.queue.empty(); });
}

std::size_t PermitBook::waiting(const std::string &upstream) const
{
    const auto it = m_lines.find(upstream);
    return it == m_lines.end() ? 0 : it->second.queue.size();
}

void PermitBook::grant(Line &line, const PermitAsk &ask, Duration waited)
{
    const std::uint64_t id = m_nextPermit++;
    line.prefill.enqueue(ask.prompt, m_clock.now());
    line.running.emplace(std::pair(ask.holder, id),
                         Permit{ask.holder, ask.team, ask.cost, m_clock.now()});
    PermitAnswer answer;
    answer.holder = ask.holder;
    answer.askId = ask.askId;
    answer.granted = true;
    answer.permitId = id;
    answer.waited = waited;
    answer.sendWithin = m_limits.sendWithin;
    m_answers.push_back(answer);
}

void PermitBook::deny(const PermitAsk &ask, Reason reason)
{
    const auto it = m_lines.find(ask.upstream);
    PermitAnswer answer;
    answer.holder = ask.holder;
    answer.askId = ask.askId;
    answer.reason = reason;
    answer.retryAfter = retryAdvice(it == m_lines.end() ? nullptr : &it->second);
    if (it != m_lines.end())
        // What is computed here is counted twice: others wait for it as well.
        answer.firstTokenIn
            = expectedWait(it->second, ask) + it->second.prefill.timeFor(ask.prompt) * 2;
    m_answers.push_back(answer);
}

void PermitBook::denyAllWaiting(Line &line, Reason reason)
{
    std::vector<FairQueue::EntryId> ids;
    for (const auto &[id, it] : line.waiting)
        ids.push_back(id);
    std::sort(ids.begin(), ids.end());
    for (const FairQueue::EntryId id : ids) {
        deny(line.waiting.at(id).ask, reason);
        dropWaiting(line, id);
    }
}

void PermitBook::fill(Line &line)
{
    if (line.held || m_clock.now() < line.fullUntil)
        return; // tick() comes back to it
    while (!line.upstream.leaving && line.running.size() < line.upstream.slots
           && line.prefill.backlog(m_clock.now()) <= m_limits.mostBacklog) {
        const auto entry = line.queue.next();
        if (!entry)
            return;
        const Waiting waiting = line.waiting.at(entry->id);
        if (waiting.since + waiting.ask.wait - m_clock.now() < line.meanHold) {
            // Too late to finish: it must not take the place of one that can.
            deny(waiting.ask, Reason::DeadlineTooNear);
            dropWaiting(line, entry->id);
            continue;
        }
        line.queue.pop();
        dropWaiting(line, entry->id);
        grant(line, waiting.ask, m_clock.now() - waiting.since);
    }
}

void PermitBook::dropWaiting(Line &line, FairQueue::EntryId id)
{
    const auto it = line.waiting.find(id);
    if (it == line.waiting.end())
        return;
    line.byAsk.erase({it->second.ask.holder, it->second.ask.askId});
    line.waitingPrefill -= it->second.prefill; // what was added, whatever is believed by now
    line.queue.remove(id);
    line.waiting.erase(it);
}

// Whether a request may go to the upstream at once. One whose context is kept there waits as long
// as it would take to compute it elsewhere; any other goes where less is to be computed.
bool PermitBook::takesNow(const Line &line, const PermitAsk &ask) const
{
    const TimePoint now = m_clock.now();
    if (line.held || now < line.fullUntil || line.running.size() >= line.upstream.slots)
        return false;
    const Duration most
        = line.prefill.isCached(ask.prompt)
              ? std::max(m_limits.mostBacklog, line.prefill.uncachedTimeFor(ask.prompt))
              : m_limits.mostBacklog;
    return line.prefill.backlog(now) <= most;
}

// How long an ask would wait, from the mean time that permits are held and the team's part of the
// places among the teams that wait.
Duration PermitBook::expectedWait(const Line &line, const PermitAsk &ask) const
{
    const std::size_t ahead = line.queue.waiting(ask.team);
    const double own = share(ask.team);
    const double active = line.queue.activeShare() + (ahead == 0 ? own : 0.0);
    const double rounds = static_cast<double>(ahead + 1) * active / own
                          / static_cast<double>(std::max<std::size_t>(1, line.upstream.slots));
    const bool slotsFree = line.queue.empty() && line.running.size() < line.upstream.slots;
    const auto bySlots = std::chrono::duration_cast<Duration>(line.meanHold * rounds);
    const Duration byPrefill = line.prefill.backlog(m_clock.now()) + line.waitingPrefill;
    return std::max(slotsFree ? Duration::zero() : bySlots, byPrefill);
}

std::chrono::milliseconds PermitBook::retryAdvice(const Line *line) const
{
    if (line == nullptr)
        return kRetryStep;
    const auto rounds = 1 + line->queue.size() / std::max<std::size_t>(1, line->upstream.slots);
    return std::min(kRetryMost, kRetryStep * static_cast<int>(std::min<std::size_t>(rounds, 100)));
}

double PermitBook::share(const std::string &team) const
{
    const auto it = m_shares.find(team);
    return it == m_shares.end() ? 1.0 : it->second;
}

} // namespace fordwood
