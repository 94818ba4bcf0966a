// SPDX-License-Identifier: MIT
#include "fordwood/quarantine_gate.hpp"

#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// An upstream that falls silent is known to have ended once its record has run out, some four
// seconds later.
constexpr Duration kEndIsKnownAfter = std::chrono::seconds(5);

// Sends without an answer that are remembered for that time: many times what callers leave.
constexpr std::size_t kMostUnanswered = 1'024;

} // namespace

void QuarantineGate::tell(const RequestNews &news)
{
    if (m_quarantine.take(news))
        m_news.push_back(news);
}

void QuarantineGate::brokeOff(const RequestFingerprint &request, const std::string &instanceId)
{
    // One that an upstream has answered of late was only there: pages that many ask for are under
    // way wherever an upstream ends.
    if (!m_answers.contains(request))
        tell({request, stableHash(instanceId)});
}

void QuarantineGate::leftUnanswered(const RequestFingerprint &request,
                                    const std::string &instanceId)
{
    const auto ended = m_ended.find(instanceId);
    if (ended != m_ended.end() && m_clock.now() - ended->second < kEndIsKnownAfter) {
        brokeOff(request, instanceId);
        return;
    }
    if (m_unanswered.size() == kMostUnanswered)
        m_unanswered.pop_front();
    m_unanswered.push_back({request, instanceId, m_clock.now()});
}

void QuarantineGate::upstreamEnded(const std::string &instanceId)
{
    m_ended[instanceId] = m_clock.now();
    for (const Unanswered &it : m_unanswered) {
        if (it.instanceId == instanceId && m_clock.now() - it.when < kEndIsKnownAfter)
            brokeOff(it.request, instanceId);
    }
}

void QuarantineGate::answered(const RequestFingerprint &request)
{
    m_answers.note(request);
    tell({request, {}});
}

void QuarantineGate::heard(const std::vector<RequestNews> &news)
{
    for (const RequestNews &it : news) {
        if (m_quarantine.take(it) && it.brokenLife && m_answers.contains(it.request))
            tell({it.request, {}});
    }
}

std::vector<RequestNews> QuarantineGate::takeNews()
{
    return std::exchange(m_news, {});
}

void QuarantineGate::tick()
{
    m_quarantine.tick();
    const TimePoint now = m_clock.now();
    while (!m_unanswered.empty() && now - m_unanswered.front().when >= kEndIsKnownAfter)
        m_unanswered.pop_front();
    std::erase_if(m_ended, [&](const auto &it) { return now - it.second >= kEndIsKnownAfter; });
}

} // namespace fordwood
