// SPDX-License-Identifier: MIT
// The part of CallHandler that ends requests for a planned stop of the node.
#include "node/call_handler.hpp"

#include "node/call_log.hpp"

namespace fordwood::node {

// Elsewhere the caller can have it answered. A stream that has begun can go on only here.
bool CallHandler::wouldBeCutByStop() const
{
    return !m_streamStarted
           && !m_state.stop().canEnd(m_state.stopRequest(m_call), m_state.clock().now());
}

void CallHandler::rejectForStop()
{
    m_state.countDuringStop(true);
    m_plan.setReason(Reason::Stopping);
    rejectWith(m_plan.verdict(kRetryAfter));
}

void CallHandler::onStopEnd()
{
    if (m_isFinished)
        return;
    logRequestCut(describeOpen());
    const bool mayRun = isAtUpstream() && !m_attempt->head.hasNotRun;
    endAttempt(false);
    if (!m_streamStarted && !mayRun) {
        rejectForStop();
        return;
    }
    m_state.countCutByStop();
    if (m_streamStarted) {
        m_state.metrics().countRefusal(Reason::CutByStop);
        cutStream(info(Reason::CutByStop).name);
        return;
    }
    rejectWith(Verdict::of(Reason::CutByStop));
}

bool CallHandler::isAtUpstream() const
{
    return m_attempt && m_attempt->isOpen && m_attempt->sent;
}

void CallHandler::logOpenLate() const
{
    if (!m_isFinished)
        logRequestOpenLate(describeOpen());
}

// Tells of a request that was passed on and whose caller has not the answer of its upstream.
void CallHandler::logEndInStop(std::string_view outcome, unsigned status) const
{
    if (!m_state.stop().hasBegun() || m_plan.sends() == 0 || outcome == kAnswered
        || outcome == kUpstreamFailure)
        return;
    UnfinishedRequest end{describeOpen(), outcome, status, m_hasInputEnded};
    end.timeLeft = m_plan.policy().answerBy - m_state.clock().now();
    logUnfinishedInStop(end);
}

OpenRequest CallHandler::describeOpen() const
{
    const TimePoint now = m_state.clock().now();
    OpenRequest open;
    open.request = m_caller.requestId;
    open.route = m_call.route != nullptr ? m_call.route->name : "";
    open.mayRunAgain = m_plan.policy().mayRunAgain;
    open.upstream = m_lastUpstream;
    open.eventsPassed = m_eventSplitter.lastId().value_or(0);
    open.elapsed = now - m_arrived;
    open.arrived = m_state.stop().elapsed(m_arrived);
    if (m_attempt && m_attempt->isOpen) {
        open.isSent = m_attempt->sent;
        if (m_attempt->startedAt != TimePoint{})
            open.attemptElapsed = now - m_attempt->startedAt;
        if (m_attempt->sent)
            open.silence = now - m_attempt->lastDataAt;
    }
    return open;
}

} // namespace fordwood::node
