// SPDX-License-Identifier: MIT
#include "fordwood/call_plan.hpp"

namespace fordwood {

namespace {

// Failed connections after which a request is refused. Two dead upstreams are likely during an
// outage; more of them suggest that this node is cut off.
constexpr std::size_t kMaxConnectFailures = 4;

} // namespace

void CallPlan::beginSend(const std::string &instanceId)
{
    m_tried.insert(instanceId);
    m_sends += 1;
    m_deliveries += 1;
}

void CallPlan::connectionFailed()
{
    m_sends -= 1;
    m_deliveries -= 1;
    m_connectFailures += 1;
}

void CallPlan::rejectedLocally(const std::string &instanceId)
{
    m_tried.erase(instanceId);
    m_sends -= 1;
    m_deliveries -= 1;
}

void CallPlan::proxyFailed(const std::string &instanceId)
{
    rejectedLocally(instanceId);
    m_connectFailures += 1;
}

void CallPlan::reachedOtherInstance()
{
    m_sends -= 1;
    m_connectFailures += 1;
}

AfterFailure CallPlan::afterFailure(const FailedAttempt &failure, TimePoint now,
                                    const std::function<bool()> &takeRetry)
{
    m_reason = failure.reason;
    if (failure.state != RunState::NotRun)
        m_mayHaveRun = true;
    const AfterFailure end
        = failure.answerBegun ? AfterFailure::CutAnswer : AfterFailure::EndWithVerdict;
    const RunState state = m_mayHaveRun ? RunState::MayHaveRun : RunState::NotRun;
    if (!maySendAgain(state, m_policy.mayRunAgain, failure.answerBegun && !m_policy.resumable))
        return end;
    if (now >= m_policy.answerBy || m_sends >= m_policy.maxAttempts
        || m_connectFailures >= kMaxConnectFailures)
        return end;
    // Sending again is not a repetition if no upstream has been reached yet.
    if (m_deliveries > 0 && !takeRetry()) {
        if (!m_mayHaveRun)
            m_reason = Reason::RetryBudgetUsed;
        return end;
    }
    return AfterFailure::SendAgain;
}

Verdict CallPlan::verdict(std::chrono::milliseconds retryAfter) const
{
    Verdict verdict = Verdict::of(m_reason);
    if (!m_mayHaveRun) {
        verdict.state = RunState::NotRun;
        verdict.retryAfter = retryAfter;
        return verdict;
    }
    verdict.state = RunState::MayHaveRun;
    if (info(m_reason).state == RunState::NotRun)
        verdict.reason = Reason::UpstreamBroke; // an earlier attempt may have run
    return verdict;
}

} // namespace fordwood
