// SPDX-License-Identifier: MIT
// From which peer a node reads the changes that it lacks.
#include "node/replica_read_plan.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

using Kind = ReplicaReadPlan::Kind;
using Outcome = ReplicaReadPlan::Outcome;
using Read = ReplicaReadPlan::Read;

} // namespace

// Guards against a node that misses a change for seconds because the peer that it prefers is gone.
TEST_CASE("replica read plan: after a read without an answer, another peer is asked [changes]")
{
    ManualClock clock;
    ReplicaReadPlan plan(clock);
    REQUIRE(plan.next({"a", "b"}, false) == Read{"a", Kind::Changes});
    plan.ended({"a", Kind::Changes}, Outcome::Silent);
    clock.advance(200ms);
    CHECK(plan.next({"a", "b"}, false) == Read{"b", Kind::Changes});
    plan.ended({"b", Kind::Changes}, Outcome::Silent);
    clock.advance(200ms);
    CHECK(plan.next({"a", "b"}, false) == Read{"a", Kind::Changes}); // the older failure
    CHECK(plan.next({"a", "b", "c"}, false) == Read{"c", Kind::Changes});
    clock.advance(2s);
    CHECK(plan.next({"a", "b"}, false) == Read{"a", Kind::Changes});
}

// Guards against the load that grows as its own remedy: nodes that miss an answer ask for all keys.
TEST_CASE("replica read plan: peers that do not answer are not asked for snapshots [changes][size]")
{
    ManualClock clock;
    ReplicaReadPlan plan(clock);
    for (int n = 0; n < 20; ++n) {
        const auto read = plan.next({"a", "b"}, false);
        REQUIRE(read);
        CHECK(read->kind == Kind::Changes);
        plan.ended(*read, n % 2 == 0 ? Outcome::Silent : Outcome::Rejected);
        clock.advance(300ms);
    }
    CHECK(plan.failures() == 20);
}

TEST_CASE("replica read plan: changes too large to arrive in time are read as a snapshot [size]")
{
    ManualClock clock;
    ReplicaReadPlan plan(clock);
    plan.ended({"a", Kind::Changes}, Outcome::Cut);
    CHECK(plan.next({"a", "b"}, false) == Read{"b", Kind::Changes});
    plan.ended({"b", Kind::Changes}, Outcome::Cut);
    CHECK(plan.next({"a"}, false) == Read{"a", Kind::Snapshot});
    plan.ended({"a", Kind::Snapshot}, Outcome::Done);
    CHECK(plan.next({"a"}, false) == Read{"a", Kind::Changes});
}

TEST_CASE("replica read plan: a peer that defers snapshots still sends changes [start]")
{
    ManualClock clock;
    ReplicaReadPlan plan(clock);
    plan.ended({"a", Kind::Snapshot}, Outcome::Rejected, 2s);
    CHECK(plan.next({"a"}, false) == Read{"a", Kind::Changes});
    // Without a replica there is nothing that changes could be added to.
    CHECK_FALSE(plan.next({"a"}, true));
    CHECK(plan.next({"a", "b"}, true) == Read{"b", Kind::Snapshot});
    clock.advance(2s);
    CHECK(plan.next({"a"}, true) == Read{"a", Kind::Snapshot});
}

TEST_CASE("replica read plan: a peer without snapshots sends everything as changes [start]")
{
    ManualClock clock;
    ReplicaReadPlan plan(clock);
    plan.ended({"a", Kind::Snapshot}, Outcome::NoSnapshots);
    CHECK(plan.next({"a"}, true) == Read{"a", Kind::Changes});
    plan.ended({"a", Kind::Changes}, Outcome::Done);
    CHECK(plan.next({"a"}, true) == Read{"a", Kind::Changes});
}
