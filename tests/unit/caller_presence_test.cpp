// SPDX-License-Identifier: MIT
#include <doctest/doctest.h>

#include "fordwood/caller_presence.hpp"

using namespace fordwood;

// Guards against streams that are cut although their callers read, and against work for callers
// that have left.
TEST_CASE("caller presence: an answer that has begun shows whether its caller reads [callers]")
{
    EndedInput ended;
    ended.isAtUpstream = ended.isStreamed = ended.hasBegun = true;
    CHECK_FALSE(ended.isCallerWaiting());
    ended.hasTakenMore = true;
    CHECK(ended.isCallerWaiting());
    ended.hasTakenMore = false;
    ended.isCloseAnnounced = true;
    CHECK(ended.isCallerWaiting());
}

TEST_CASE("caller presence: before its answer begins, a request goes on only if it has run in any "
          "case [callers]")
{
    EndedInput ended;
    CHECK_FALSE(ended.isCallerWaiting()); // waits for an upstream
    ended.isAtUpstream = true;
    CHECK(ended.isCallerWaiting());
    ended.mayRunAgain = true;
    CHECK_FALSE(ended.isCallerWaiting());
    ended.mayRunAgain = false;
    ended.isStreamed = true;
    CHECK_FALSE(ended.isCallerWaiting());
}
