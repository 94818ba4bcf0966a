// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_VERDICT_HPP_INCLUDED
#define FORDWOOD_VERDICT_HPP_INCLUDED

#include <chrono>
#include <string>

#include "fordwood/reason.hpp"

namespace fordwood {

// How a request ended, or why it was not started. The state shows whether it may have run.
struct Verdict
{
    RunState state = RunState::MayHaveRun;
    Reason reason = Reason::Internal;
    std::chrono::milliseconds retryAfter{0}; // zero: no advice
    std::string detail; // for human readers; may be empty

    // A verdict with the default state of the reason.
    static Verdict of(Reason reason, std::string detail = {},
                      std::chrono::milliseconds retryAfter = std::chrono::milliseconds(0))
    {
        return {info(reason).state, reason, retryAfter, std::move(detail)};
    }
};

// The rule for sending a request again: one that certainly did not run may be sent again; one that
// may have run only if it is repeatable. Nothing is sent again after a part of an answer was passed
// on.
constexpr bool maySendAgain(RunState state, bool repeatable, bool answerBegun)
{
    if (answerBegun)
        return false;
    if (state == RunState::NotRun)
        return true;
    return state == RunState::MayHaveRun && repeatable;
}

} // namespace fordwood

#endif // FORDWOOD_VERDICT_HPP_INCLUDED
