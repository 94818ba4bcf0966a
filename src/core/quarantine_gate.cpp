// SPDX-License-Identifier: MIT
#include "fordwood/quarantine_gate.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// An upstream that stops responding is known to have ended once its record expires, about four
// seconds later.
constexpr Duration kEndDetectedWithin = std::chrono::seconds(5);

// Requests without a response that are kept for that time: many times the number that callers
// usually abandon.
constexpr std::size_t kMaxUnanswered = 1'024;

// Slots for whole requests: 64 KB; a node answers some tens of requests per second. A prompt has a
// few parts, most of which many prompts share.
constexpr std::size_t kAnswerSlots = 2'048;
constexpr Duration kAnswerMaxAge = std::chrono::minutes(1);
constexpr Duration kPartAnswerMaxAge = std::chrono::seconds(10);

// The time from the last failure to the first trial of a held part, and the factor from each trial
// to the next.
constexpr Duration kTrialDelay = std::chrono::seconds(30);
constexpr int kTrialDelayFactor = 4;
constexpr std::size_t kMaxTrials = 4; // longer pauses than after these exceed the hold

} // namespace

QuarantineGate::QuarantineGate(const Clock &clock)
    : m_clock(clock), m_quarantine(clock), m_answers(clock, kAnswerSlots, kAnswerMaxAge),
      m_partAnswers(clock, kAnswerSlots, kPartAnswerMaxAge)
{ }

void QuarantineGate::setNodes(std::string self, std::vector<std::string> others)
{
    m_self = std::move(self);
    m_otherNodes = std::move(others);
}

bool QuarantineGate::isAnswered(const RequestFingerprint &subject) const
{
    return subject.isPart ? m_partAnswers.contains(subject) : m_answers.contains(subject);
}

std::optional<QuarantineGate::Hold> QuarantineGate::findHold(const RequestIdentity &request) const
{
    Hold hold;
    hold.remaining = m_quarantine.heldFor(request.whole);
    hold.isWhole = hold.remaining > Duration::zero();
    hold.part = m_quarantine.findHeldPart(request.parts);
    if (hold.part)
        hold.remaining = std::max(hold.remaining, m_quarantine.heldFor(*hold.part));
    return hold.isWhole || hold.part ? std::optional(hold) : std::nullopt;
}

bool QuarantineGate::takeTrial(const Hold &hold)
{
    const auto &part = hold.part;
    if (!part || hold.isWhole || rendezvousRank(part->low, m_self, m_otherNodes) != 0)
        return false;
    std::size_t &trials = m_trials[*part];
    Duration delay = kTrialDelay;
    for (std::size_t n = 0; n < trials; ++n)
        delay *= kTrialDelayFactor;
    const auto sinceFailure = m_quarantine.sinceLastFailure(*part);
    if (trials >= kMaxTrials || !sinceFailure || *sinceFailure < delay)
        return false;
    trials += 1;
    return true;
}

void QuarantineGate::publish(const QuarantineUpdate &update)
{
    if (m_quarantine.apply(update))
        m_updates.push_back(update);
}

// A request that an upstream has completed recently only happened to run there: popular pages are
// in progress at any upstream that ends.
void QuarantineGate::recordFailure(const RequestFingerprint &subject, std::uint64_t instance)
{
    if (!isAnswered(subject))
        publish({subject, instance});
}

void QuarantineGate::onDisconnect(const RequestIdentity &request, const std::string &instanceId)
{
    const std::uint64_t instance = stableHash(instanceId);
    recordFailure(request.whole, instance);
    for (const RequestFingerprint &it : request.parts)
        recordFailure(it, instance);
}

void QuarantineGate::onUnanswered(const RequestIdentity &request, const std::string &instanceId)
{
    const auto endedAt = m_endedUpstreams.find(instanceId);
    if (endedAt != m_endedUpstreams.end() && m_clock.now() - endedAt->second < kEndDetectedWithin) {
        onDisconnect(request, instanceId);
        return;
    }
    if (m_unanswered.size() == kMaxUnanswered)
        m_unanswered.pop_front();
    m_unanswered.push_back({request, instanceId, m_clock.now()});
}

void QuarantineGate::onUpstreamEnded(const std::string &instanceId)
{
    m_endedUpstreams[instanceId] = m_clock.now();
    for (const UnansweredRequest &it : m_unanswered) {
        if (it.instanceId == instanceId && m_clock.now() - it.when < kEndDetectedWithin)
            onDisconnect(it.request, instanceId);
    }
}

void QuarantineGate::onAnswer(const RequestIdentity &request)
{
    m_answers.note(request.whole);
    publish({request.whole, {}});
    for (const RequestFingerprint &it : request.parts) {
        m_partAnswers.note(it);
        publish({it, {}});
    }
}

void QuarantineGate::applyUpdates(const std::vector<QuarantineUpdate> &updates)
{
    for (const QuarantineUpdate &it : updates) {
        if (m_quarantine.apply(it) && it.failedInstance && isAnswered(it.request))
            publish({it.request, {}});
    }
}

std::vector<QuarantineUpdate> QuarantineGate::takeUpdates()
{
    return std::exchange(m_updates, {});
}

void QuarantineGate::tick()
{
    m_quarantine.tick();
    const TimePoint now = m_clock.now();
    while (!m_unanswered.empty() && now - m_unanswered.front().when >= kEndDetectedWithin)
        m_unanswered.pop_front();
    std::erase_if(m_trials, [this](const auto &it) { return !m_quarantine.isSuspect(it.first); });
    std::erase_if(m_endedUpstreams,
                  [&](const auto &it) { return now - it.second >= kEndDetectedWithin; });
}

} // namespace fordwood
