// SPDX-License-Identifier: MIT
#include "fordwood/call_plan.hpp"

#include <doctest/doctest.h>

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{1h};

CallPolicy policyOf(bool mayRunAgain, bool resumable = false, std::size_t maxAttempts = 2)
{
    return {mayRunAgain, resumable, maxAttempts, kNow + 1s};
}

AfterFailure planAfterFailure(CallPlan &plan, RunState state, Reason reason,
                              bool answerBegun = false, bool budget = true)
{
    return plan.afterFailure({state, reason, answerBegun}, kNow, [budget] { return budget; });
}

} // namespace

TEST_CASE("call plan: what may have run and may not run again is never sent again [once]")
{
    CallPlan plan(policyOf(false));
    plan.sending("a");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::EndWithVerdict);
    const Verdict verdict = plan.verdict(250ms);
    CHECK(verdict.state == RunState::MayHaveRun);
    CHECK(info(verdict.reason).httpStatus == 502);
    CHECK(verdict.retryAfter == 0ms);
}

TEST_CASE("call plan: a later refusal does not make an earlier run unhappen [once]")
{
    CallPlan plan(policyOf(true));
    plan.sending("a");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::SendAgain);
    plan.sending("b");
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::UpstreamPushback)
          == AfterFailure::EndWithVerdict);
    const Verdict verdict = plan.verdict(250ms);
    CHECK(verdict.state == RunState::MayHaveRun);
    CHECK(verdict.reason == Reason::UpstreamBroke);
}

TEST_CASE(
    "call plan: what surely did not run is refused as such, with a time to come back [not-run]")
{
    CallPlan plan(policyOf(false, false, 1));
    plan.sending("a");
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::UpstreamPushback)
          == AfterFailure::EndWithVerdict);
    const Verdict verdict = plan.verdict(250ms);
    CHECK(verdict.state == RunState::NotRun);
    CHECK(verdict.retryAfter == 250ms);
}

TEST_CASE("call plan: an upstream that could not be reached does not count as sent to [retry]")
{
    CallPlan plan(policyOf(false, false, 1));
    plan.sending("a");
    plan.notSent();
    // No budget is asked: nothing has been sent yet.
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::ConnectFailed, false, false)
          == AfterFailure::SendAgain);
    CHECK(plan.tried().contains("a"));
    CHECK(plan.sends() == 0);
}

TEST_CASE(
    "call plan: an attempt that this node turned down itself costs no retry, and the upstream "
    "may be chosen again [retry][limit]")
{
    CallPlan plan(policyOf(false));
    for (int n = 0; n < 20; ++n) {
        plan.sending("a");
        plan.rejectedLocally("a");
    }
    CHECK(plan.sends() == 0);
    CHECK(plan.tried().empty());
    // Neither the budget of repeats nor the search for a reachable upstream has been touched.
    plan.sending("b");
    plan.notSent();
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::ConnectFailed, false, false)
          == AfterFailure::SendAgain);
}

TEST_CASE("call plan: the search for a reachable upstream ends [retry]")
{
    CallPlan plan(policyOf(true, false, 10));
    AfterFailure next = AfterFailure::SendAgain;
    int n = 0;
    while (next == AfterFailure::SendAgain && n < 100) {
        plan.sending(std::to_string(n++));
        plan.notSent();
        next = planAfterFailure(plan, RunState::NotRun, Reason::ConnectFailed);
    }
    CHECK(n == 4);
}

TEST_CASE(
    "call plan: no more upstreams than the route allows, and no repeat beyond the budget [retry]")
{
    CallPlan plan(policyOf(true));
    plan.sending("a");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::SendAgain);
    plan.sending("b");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::EndWithVerdict);

    CallPlan withoutBudget(policyOf(true));
    withoutBudget.sending("a");
    CHECK(planAfterFailure(withoutBudget, RunState::NotRun, Reason::UpstreamPushback, false, false)
          == AfterFailure::EndWithVerdict);
    CHECK(withoutBudget.verdict(250ms).reason == Reason::RetryBudgetUsed);
    CHECK(withoutBudget.verdict(250ms).state == RunState::NotRun);
}

TEST_CASE("call plan: a stream that has begun goes on elsewhere only where it may, else it is cut "
          "[streams]")
{
    CallPlan resumable(policyOf(true, true));
    resumable.sending("a");
    CHECK(planAfterFailure(resumable, RunState::MayHaveRun, Reason::UpstreamBroke, true)
          == AfterFailure::SendAgain);
    resumable.sending("b");
    CHECK(planAfterFailure(resumable, RunState::MayHaveRun, Reason::UpstreamBroke, true)
          == AfterFailure::CutAnswer);

    CallPlan other(policyOf(false));
    other.sending("a");
    CHECK(planAfterFailure(other, RunState::MayHaveRun, Reason::UpstreamBroke, true)
          == AfterFailure::CutAnswer);
}

TEST_CASE("call plan: nothing is sent after the deadline [deadline]")
{
    CallPlan plan(policyOf(true));
    plan.sending("a");
    const auto next = plan.afterFailure({RunState::NotRun, Reason::UpstreamPushback, false},
                                        kNow + 1s, [] { return true; });
    CHECK(next == AfterFailure::EndWithVerdict);
}

TEST_CASE(
    "call plan: an upstream that has ended, with another at its address, is not among those that "
    "the request may be sent to [not-run][retry]")
{
    CallPolicy policy;
    policy.maxAttempts = 1;
    policy.answerBy = TimePoint(1h);
    CallPlan plan(policy);
    int repeats = 0;
    const auto takeRepeat = [&repeats] {
        repeats += 1;
        return true;
    };
    const FailedAttempt gone{RunState::NotRun, Reason::UpstreamGone, false};
    plan.sending("ended");
    plan.reachedOtherInstance();
    CHECK(plan.afterFailure(gone, TimePoint{}, takeRepeat) == AfterFailure::SendAgain);
    CHECK(repeats == 1); // what arrived there counts for the fleet's budget
    plan.sending("lives");
    const FailedAttempt full{RunState::NotRun, Reason::UpstreamPushback, false};
    CHECK(plan.afterFailure(full, TimePoint{}, takeRepeat) == AfterFailure::EndWithVerdict);
    SUBCASE("the search ends")
    {
        CallPlan other(policy);
        std::size_t sends = 0;
        do {
            other.sending("ended-" + std::to_string(sends++));
            other.reachedOtherInstance();
        } while (other.afterFailure(gone, TimePoint{}, takeRepeat) == AfterFailure::SendAgain
                 && sends < 100);
        CHECK(sends < 10);
        CHECK(other.verdict(250ms).state == RunState::NotRun);
    }
}
