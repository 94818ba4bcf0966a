// SPDX-License-Identifier: MIT
#include "fordwood/quarantine_gate.hpp"

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

} // namespace

void QuarantineGate::publish(const QuarantineUpdate &update)
{
    if (m_quarantine.apply(update))
        m_updates.push_back(update);
}

void QuarantineGate::onDisconnect(const RequestFingerprint &request, const std::string &instanceId)
{
    // A request that an upstream has completed recently only happened to run there: popular pages
    // are in progress at any upstream that ends.
    if (!m_answers.contains(request))
        publish({request, stableHash(instanceId)});
}

void QuarantineGate::onUnanswered(const RequestFingerprint &request, const std::string &instanceId)
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

void QuarantineGate::onAnswer(const RequestFingerprint &request)
{
    m_answers.note(request);
    publish({request, {}});
}

void QuarantineGate::applyUpdates(const std::vector<QuarantineUpdate> &updates)
{
    for (const QuarantineUpdate &it : updates) {
        if (m_quarantine.apply(it) && it.failedInstance && m_answers.contains(it.request))
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
    std::erase_if(m_endedUpstreams,
                  [&](const auto &it) { return now - it.second >= kEndDetectedWithin; });
}

} // namespace fordwood
