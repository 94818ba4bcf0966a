// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REASON_HPP_INCLUDED
#define FORDWOOD_REASON_HPP_INCLUDED

#include <array>
#include <cstdint>
#include <string_view>

namespace fordwood {

// Whether an upstream may have executed a request.
enum class RunState : std::uint8_t { NotRun, MayHaveRun, Ran };

// Why a request was refused, retried or ended early. Every reason has its own counter and a row in
// docs/reasons.md; numbers are part of the protocol between processes and are never reused.
enum class Reason : std::uint16_t {
#define FORDWOOD_REASON(symbol, number, name, state, status, text) symbol = number,
#include "fordwood/reason_list.inc"
#undef FORDWOOD_REASON
};

// The fixed properties of one reason.
struct ReasonInfo
{
    Reason reason;
    std::string_view name; // as in counters and the Fordwood-Reason header
    RunState state; // state of a request with no other attempts
    int httpStatus;
    std::string_view text; // one sentence for the caller
};

// All reasons, in the order of their numbers.
inline constexpr std::array kReasons = {
#define FORDWOOD_REASON(symbol, number, name, state, status, text) \
    ReasonInfo{Reason::symbol, name, RunState::state, status, text},
#include "fordwood/reason_list.inc"
#undef FORDWOOD_REASON
};

// The properties of a reason; those of Reason::Internal for an unknown number.
constexpr const ReasonInfo &info(Reason reason)
{
    for (const ReasonInfo &it : kReasons) {
        if (it.reason == reason)
            return it;
    }
    return kReasons[0];
}

// The value of the Fordwood-Verdict header for a state.
constexpr std::string_view headerValue(RunState state)
{
    switch (state) {
    case RunState::NotRun:
        return "not-run";
    case RunState::MayHaveRun:
        return "may-have-run";
    case RunState::Ran:
        return "ran";
    }
    return "may-have-run";
}

} // namespace fordwood

#endif // FORDWOOD_REASON_HPP_INCLUDED
