// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CALL_PLAN_HPP_INCLUDED
#define FORDWOOD_CALL_PLAN_HPP_INCLUDED

#include <functional>
#include <set>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/verdict.hpp"

namespace fordwood {

// What a request allows, taken from its route and its caller.
struct CallPolicy
{
    bool mayRunAgain = false; // also after an attempt that may have run
    bool resumable = false; // a stream may go on at another upstream after its answer has begun
    std::size_t maxAttempts = 1;
    TimePoint answerBy{}; // the caller's deadline or the route's, whichever comes first
};

// What follows when an attempt has failed.
enum class AfterFailure {
    SendAgain, // to another upstream
    EndWithVerdict, // no part of an answer has gone to the caller
    CutAnswer, // a part has: the connection must end so that the answer is seen to be incomplete
};

// How one request ended or an attempt at it failed.
struct FailedAttempt
{
    RunState state = RunState::MayHaveRun;
    Reason reason = Reason::UpstreamBroke;
    bool answerBegun = false;
};

// The rules for one request over all its attempts: to how many upstreams it may be sent, whether it
// may be sent once more after a failure, and what the caller may be told at the end.
class CallPlan
{
public:
    explicit CallPlan(const CallPolicy &terms) : m_terms(terms) { }

    // The request is about to be handed to an upstream.
    void sending(const std::string &instanceId);

    // Nothing of the request was sent after all: no connection came up. The attempt still counts
    // against endless search, but not against the upstreams that the request may be sent to.
    void notSent();

    // The upstream takes no more requests for now, as this node knows by itself. Nothing came up
    // and nothing failed, so that it counts against nothing, and the upstream may be chosen again.
    void rejectedLocally(const std::string &instanceId);

    // Another upstream has the address of the one that was meant, which has ended, and turned the
    // request away. The one that has ended does not count among those that the request may be sent
    // to, but what arrived at its address counts as a send of the fleet's.
    void reachedOtherInstance();

    // What follows. `takeRepeat` asks the fleet's budget of repeated sends, only when it is needed.
    AfterFailure afterFailure(const FailedAttempt &failure, TimePoint now,
                              const std::function<bool()> &takeRepeat);

    // The verdict for the caller once no attempt is left. True to what may have run.
    Verdict verdict(std::chrono::milliseconds retryAfter) const;

    // No upstream could be chosen, or the time is up: the reason that the verdict then gives.
    void setReason(Reason reason) { m_reason = reason; }

    bool mayHaveRun() const { return m_mayHaveRun; }
    const std::set<std::string> &tried() const { return m_tried; }
    std::size_t sends() const { return m_sends; }
    const CallPolicy &terms() const { return m_terms; }

private:
    CallPolicy m_terms;
    std::size_t m_sends = 0; // that count against the upstreams that may be tried
    std::size_t m_deliveries = 0; // anywhere
    std::size_t m_connectFailures = 0;
    std::set<std::string> m_tried; // instances
    bool m_mayHaveRun = false;
    Reason m_reason = Reason::NoUpstream;
};

} // namespace fordwood

#endif // FORDWOOD_CALL_PLAN_HPP_INCLUDED
