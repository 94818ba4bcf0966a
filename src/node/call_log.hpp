// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CALL_LOG_HPP_INCLUDED
#define FORDWOOD_NODE_CALL_LOG_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "fordwood/clock.hpp"
#include "fordwood/engine_chooser.hpp"
#include "fordwood/request_fingerprint.hpp"

namespace fordwood::node {

// How a request ended, and what decided it.
struct CallSummary
{
    std::string request; // its id
    std::string route; // empty: none was found
    std::string team;
    std::uint64_t configuration = 0; // version in force
    std::string upstream; // the last one
    std::size_t sends = 0;
    std::string_view outcome;
    unsigned status = 0; // zero: the answer was cut, or the caller left
    Duration duration{};
    std::optional<Duration> firstEvent; // of a stream, after the arrival
    const EngineChoice *engine = nullptr; // chosen last; null: no engine was looked for
    // What the last answer of the upstream says of its own state.
    bool isUpstreamDraining = false;
    std::optional<Duration> backoff;
};

// An upstream broke off while a request was there.
struct AttemptFailure
{
    std::string request; // its id, which is new with each try of a caller
    std::string upstream;
    std::string cause;
    std::uint64_t eventsPassed = 0; // the id of the last one
    Duration elapsed{}; // since the upstream was chosen
    RequestFingerprint fingerprint; // the same for the same request
};

// Writes the line about it.
void logAttemptFailure(const AttemptFailure &failure);

// Writes the line about the end of a request.
void logCallSummary(const CallSummary &end);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CALL_LOG_HPP_INCLUDED
