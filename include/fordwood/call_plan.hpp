// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CALL_PLAN_HPP_INCLUDED
#define FORDWOOD_CALL_PLAN_HPP_INCLUDED

#include <functional>
#include <set>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/verdict.hpp"

namespace fordwood {

// Constraints on the attempts of a request, from its route and its caller.
struct CallPolicy
{
    bool mayRunAgain = false; // also after an attempt that may have run
    bool resumable = false; // a stream that has begun may continue at another upstream
    std::size_t maxAttempts = 1;
    TimePoint answerBy{}; // the caller's deadline or the route's, whichever comes first
};

// What to do after a failed attempt.
enum class AfterFailure {
    SendAgain, // to another upstream
    EndWithVerdict, // the caller has received no part of an answer
    CutAnswer, // the caller has a part: close the connection so that it is seen to be incomplete
};

// How an attempt failed.
struct FailedAttempt
{
    RunState state = RunState::MayHaveRun;
    Reason reason = Reason::UpstreamBroke;
    bool answerBegun = false;
};

// Applies the retry rules to one request over all its attempts: how many upstreams it may be sent
// to, whether it may be retried after a failure, and which verdict its caller gets.
class CallPlan
{
public:
    explicit CallPlan(const CallPolicy &policy) : m_policy(policy) { }

    // The request is about to be sent to an upstream.
    void beginSend(const std::string &instanceId);

    // The connection could not be established, so that nothing was sent. The attempt counts toward
    // the limit of failed connections, but not toward the number of upstreams that the request may
    // be sent to.
    void connectionFailed();

    // A peer that was asked to connect to the upstream did not answer or does not act as a proxy.
    // Nothing was sent, and the upstream may be chosen again. Counts toward the limit of failed
    // connections only.
    void proxyFailed(const std::string &instanceId);

    // This node found by itself that the upstream accepts no requests at the moment. Nothing was
    // sent and nothing failed, so the attempt does not count at all and the upstream may be chosen
    // again.
    void rejectedLocally(const std::string &instanceId);

    // The intended upstream has ended, and another one at its address rejected the request. The
    // attempt does not count toward the number of upstreams that the request may be sent to, but
    // toward the limit of failed connections, and as a send in the fleet's retry budget.
    void reachedOtherInstance();

    // Decides what to do after a failure. `takeRetry` takes a retry from the fleet's budget and is
    // called only if needed.
    AfterFailure afterFailure(const FailedAttempt &failure, TimePoint now,
                              const std::function<bool()> &takeRetry);

    // The verdict for the caller once no attempt is left. It reports that the request may have run
    // if any attempt may have.
    Verdict verdict(std::chrono::milliseconds retryAfter) const;

    // Sets the reason of the verdict: no upstream could be chosen, or the deadline has passed.
    void setReason(Reason reason) { m_reason = reason; }

    bool mayHaveRun() const { return m_mayHaveRun; }
    bool hasConnectFailed() const { return m_connectFailures > 0; }
    const std::set<std::string> &tried() const { return m_tried; }
    std::size_t sends() const { return m_sends; }
    const CallPolicy &policy() const { return m_policy; }

private:
    CallPolicy m_policy;
    std::size_t m_sends = 0; // sends that count toward maxAttempts
    std::size_t m_deliveries = 0; // sends that reached any upstream
    std::size_t m_connectFailures = 0;
    std::set<std::string> m_tried; // instances
    bool m_mayHaveRun = false;
    Reason m_reason = Reason::NoUpstream;
};

} // namespace fordwood

#endif // FORDWOOD_CALL_PLAN_HPP_INCLUDED
