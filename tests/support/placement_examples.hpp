// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_PLACEMENT_EXAMPLES_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_PLACEMENT_EXAMPLES_HPP_INCLUDED

#include <vector>

#include "node/placement_messages.hpp"

namespace fordwood::node {

// Placement messages in which every field is set.
inline PlacementRequest exampleRequest()
{
    using std::chrono::milliseconds;
    PlacementRequest it;
    it.id = {UINT64_MAX, 7};
    it.service = "chat";
    it.shard = {3, 2};
    it.prompt = {"m", {{"context", 7'520}, {"own", 1'670}}, 9'190, 9};
    it.isolatedTeam = "t";
    it.team = UINT64_MAX - 1;
    it.fingerprint = UINT64_MAX - 2;
    it.avoid = {1, UINT64_MAX};
    it.targetLatency = milliseconds(600);
    it.remaining = milliseconds(8'000);
    return it;
}

inline PlacementReply exampleReply()
{
    using std::chrono::milliseconds;
    PlacementReply it;
    it.number = 7;
    it.outcome = PlacementOutcome::Placed;
    it.instanceId = "e1";
    it.weightVersion = 4;
    it.loadBefore = {2, 1'670, 18'000};
    it.tokensToCompute = 1'670;
    it.firstTokenDelay = milliseconds(241);
    it.saveTo = {"10.0.0.1:80", ""};
    it.retryAfter = milliseconds(1);
    return it;
}

inline PlacementProgress exampleProgress()
{
    using std::chrono::milliseconds;
    PlacementProgress it;
    it.process = UINT64_MAX;
    it.placed
        = {{5, "e1", {1'670, 9'199}, milliseconds(7'000)}, {6, "e2", {0, 400}, milliseconds(0)}};
    it.computed = {3, 4};
    it.ended = {1, UINT64_MAX};
    it.paused = {1};
    return it;
}

inline std::vector<PlacementMessage> placementExamples()
{
    return {exampleRequest(), exampleReply(), exampleProgress()};
}

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_SUPPORT_PLACEMENT_EXAMPLES_HPP_INCLUDED
