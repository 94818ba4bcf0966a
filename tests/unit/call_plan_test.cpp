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

TEST_CASE("call plan: a request that may have run and must not run again is never retried [once]")
{
    CallPlan plan(policyOf(false));
    plan.beginSend("a");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::EndWithVerdict);
    const Verdict verdict = plan.verdict(250ms);
    CHECK(verdict.state == RunState::MayHaveRun);
    CHECK(info(verdict.reason).httpStatus == 502);
    CHECK(verdict.retryAfter == 0ms);
}

TEST_CASE("call plan: a later refusal does not hide that an earlier attempt may have run [once]")
{
    CallPlan plan(policyOf(true));
    plan.beginSend("a");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::SendAgain);
    plan.beginSend("b");
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::UpstreamPushback)
          == AfterFailure::EndWithVerdict);
    const Verdict verdict = plan.verdict(250ms);
    CHECK(verdict.state == RunState::MayHaveRun);
    CHECK(verdict.reason == Reason::UpstreamBroke);
}

TEST_CASE("call plan: a request that did not run is refused as not-run with a retry time [not-run]")
{
    CallPlan plan(policyOf(false, false, 1));
    plan.beginSend("a");
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::UpstreamPushback)
          == AfterFailure::EndWithVerdict);
    const Verdict verdict = plan.verdict(250ms);
    CHECK(verdict.state == RunState::NotRun);
    CHECK(verdict.retryAfter == 250ms);
}

TEST_CASE("call plan: a failed connection does not count as a send [retry]")
{
    CallPlan plan(policyOf(false, false, 1));
    plan.beginSend("a");
    plan.connectionFailed();
    // No budget is needed: nothing has been sent yet.
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::ConnectFailed, false, false)
          == AfterFailure::SendAgain);
    CHECK(plan.tried().contains("a"));
    CHECK(plan.sends() == 0);
}

TEST_CASE("call plan: an attempt rejected by this node itself costs no retry, and its upstream may "
          "be chosen again [retry][limit]")
{
    CallPlan plan(policyOf(false));
    for (int n = 0; n < 20; ++n) {
        plan.beginSend("a");
        plan.rejectedLocally("a");
    }
    CHECK(plan.sends() == 0);
    CHECK(plan.tried().empty());
    // Neither the retry budget nor the limit of failed connections has been used.
    plan.beginSend("b");
    plan.connectionFailed();
    CHECK(planAfterFailure(plan, RunState::NotRun, Reason::ConnectFailed, false, false)
          == AfterFailure::SendAgain);
}

TEST_CASE("call plan: the search for a reachable upstream ends [retry]")
{
    CallPlan plan(policyOf(true, false, 10));
    AfterFailure next = AfterFailure::SendAgain;
    int n = 0;
    while (next == AfterFailure::SendAgain && n < 100) {
        plan.beginSend(std::to_string(n++));
        plan.connectionFailed();
        next = planAfterFailure(plan, RunState::NotRun, Reason::ConnectFailed);
    }
    CHECK(n == 4);
}

TEST_CASE("call plan: sends are limited by the route, and retries by the budget [retry]")
{
    CallPlan plan(policyOf(true));
    plan.beginSend("a");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::SendAgain);
    plan.beginSend("b");
    CHECK(planAfterFailure(plan, RunState::MayHaveRun, Reason::UpstreamBroke)
          == AfterFailure::EndWithVerdict);

    CallPlan withoutBudget(policyOf(true));
    withoutBudget.beginSend("a");
    CHECK(planAfterFailure(withoutBudget, RunState::NotRun, Reason::UpstreamPushback, false, false)
          == AfterFailure::EndWithVerdict);
    CHECK(withoutBudget.verdict(250ms).reason == Reason::RetryBudgetUsed);
    CHECK(withoutBudget.verdict(250ms).state == RunState::NotRun);
}

TEST_CASE("call plan: a stream that has begun continues elsewhere only if resumable, else it is "
          "cut [streams]")
{
    CallPlan resumable(policyOf(true, true));
    resumable.beginSend("a");
    CHECK(planAfterFailure(resumable, RunState::MayHaveRun, Reason::UpstreamBroke, true)
          == AfterFailure::SendAgain);
    resumable.beginSend("b");
    CHECK(planAfterFailure(resumable, RunState::MayHaveRun, Reason::UpstreamBroke, true)
          == AfterFailure::CutAnswer);

    CallPlan other(policyOf(false));
    other.beginSend("a");
    CHECK(planAfterFailure(other, RunState::MayHaveRun, Reason::UpstreamBroke, true)
          == AfterFailure::CutAnswer);
}

TEST_CASE("call plan: nothing is sent after the deadline [deadline]")
{
    CallPlan plan(policyOf(true));
    plan.beginSend("a");
    const auto next = plan.afterFailure({RunState::NotRun, Reason::UpstreamPushback, false},
                                        kNow + 1s, [] { return true; });
    CHECK(next == AfterFailure::EndWithVerdict);
}

TEST_CASE("call plan: an ended upstream whose address another one has taken does not count as "
          "tried [not-run][retry]")
{
    CallPolicy policy;
    policy.maxAttempts = 1;
    policy.answerBy = TimePoint(1h);
    CallPlan plan(policy);
    int repeats = 0;
    const auto takeRetry = [&repeats] {
        repeats += 1;
        return true;
    };
    const FailedAttempt gone{RunState::NotRun, Reason::UpstreamGone, false};
    plan.beginSend("ended");
    plan.reachedOtherInstance();
    CHECK(plan.afterFailure(gone, TimePoint{}, takeRetry) == AfterFailure::SendAgain);
    CHECK(repeats == 1); // the send that arrived there counts toward the fleet's budget
    plan.beginSend("lives");
    const FailedAttempt full{RunState::NotRun, Reason::UpstreamPushback, false};
    CHECK(plan.afterFailure(full, TimePoint{}, takeRetry) == AfterFailure::EndWithVerdict);
    SUBCASE("the search ends")
    {
        CallPlan other(policy);
        std::size_t sends = 0;
        do {
            other.beginSend("ended-" + std::to_string(sends++));
            other.reachedOtherInstance();
        } while (other.afterFailure(gone, TimePoint{}, takeRetry) == AfterFailure::SendAgain
                 && sends < 100);
        CHECK(sends < 10);
        CHECK(other.verdict(250ms).state == RunState::NotRun);
    }
}
