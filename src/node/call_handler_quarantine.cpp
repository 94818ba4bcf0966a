// SPDX-License-Identifier: MIT
// The part of CallHandler that tells the quarantine what became of requests, and heeds it.
#include "node/call_handler.hpp"

namespace fordwood::node {

RequestFingerprint CallHandler::fingerprint() const
{
    return fingerprintOf(m_head, m_call, *m_body);
}

RequestIdentity CallHandler::identity() const
{
    return identityOf(fingerprint(), m_call, m_caller);
}

// Why the request must not be sent: several upstreams in a row ended while handling it. Checked
// before each attempt and after each wait, since any node may have reported it meanwhile.
std::optional<QuarantineGate::Hold> CallHandler::findHold()
{
    QuarantineGate &quarantine = m_state.quarantine();
    if (quarantine.isEmpty())
        return std::nullopt;
    const auto hold = quarantine.findHold(identity());
    if (!hold)
        return std::nullopt;
    const bool mayTry = !m_hasAskedForTrial && m_plan.sends() == 0;
    m_hasAskedForTrial = true;
    return mayTry && quarantine.takeTrial(*hold) ? std::nullopt : hold;
}

void CallHandler::rejectQuarantined(const QuarantineGate::Hold &hold)
{
    if (m_streamStarted) {
        cutStream("cut-quarantined");
        return;
    }
    if (hold.part) {
        for (const PromptPart &it : m_caller.prompt->parts) {
            if (fingerprintOfPart(m_call.pool->name, it.id) == *hold.part)
                m_state.logHeldPart(*hold.part, it.id);
        }
    }
    m_plan.setReason(Reason::RequestQuarantined);
    rejectWith(m_plan.verdict(std::chrono::ceil<std::chrono::milliseconds>(hold.remaining)));
}

// Counts that the upstream closed the connection while handling the request. Without this, a
// request that was repeated under new ids ended 19 engines, in a fleet that has 18 at a time.
void CallHandler::recordDisconnect()
{
    m_state.paths().ifPathWorks(m_call.pool->name, [&state = m_state, request = identity(),
                                                    id = m_attempt->upstream.instanceId] {
        state.quarantine().onDisconnect(request, id);
        state.publishQuarantineUpdates();
    });
}

void CallHandler::recordAnswered()
{
    m_state.quarantine().onAnswer(identity());
    m_state.publishQuarantineUpdates();
}

// Counts that the attempt ends without an answer of the upstream, which may have ended.
void CallHandler::recordUnanswered()
{
    if (!m_attempt || !m_attempt->isOpen || !m_attempt->sent)
        return;
    m_state.quarantine().onUnanswered(identity(), m_attempt->upstream.instanceId);
    m_state.publishQuarantineUpdates();
}

} // namespace fordwood::node
