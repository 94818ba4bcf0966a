// SPDX-License-Identifier: MIT
#include "fordwood/fenced_lock.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

FencedLock::Limits makeLimits()
{
    FencedLock::Limits limits;
    limits.ttl = 1500ms;
    limits.renewEvery = 400ms;
    limits.quietTime = 3s;
    limits.margin = 200ms;
    return limits;
}

// A node that follows the lock, and what the store would hold.
struct Node
{
    explicit Node(const std::string &name, const ManualClock &manualClock)
        : clock(manualClock), lock("lock", name, manualClock, makeLimits())
    {
        lock.keyChanged(nullptr);
    }

    // Goes through the steps of taking the lock; gives the value that it writes.
    std::string takeLock(std::int64_t revision, WriteResult result = WriteResult::Done)
    {
        REQUIRE(lock.tick().size() == 1); // GrantLease
        lock.leaseGranted(7, 1500ms, clock.now());
        const auto actions = lock.tick();
        REQUIRE(actions.size() == 1);
        const auto &taking = std::get<AcquireLock>(actions.front());
        lock.acquireAnswered(result, revision);
        return taking.value;
    }

    const ManualClock &clock;
    FencedLock lock;
};

} // namespace

TEST_CASE(
    "lock: a holder that has seen nobody before it waits all the same with the revision of its key "
    "as the fence [lock]")
{
    const ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    const auto holding = node.lock.holding();
    REQUIRE(holding);
    CHECK(holding->fence == 41);
    // The lease of one that ordered a moment ago may have run out before this node started.
    CHECK(holding->actFrom == clock.now() + 3s);
}

TEST_CASE("lock: a holder that was frozen finds its time over when it wakes [lock][freeze]")
{
    ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    clock.advance(1400ms); // the lease, less the margin
    CHECK_FALSE(node.lock.holding());
    // The answer to a renewal that was sent before the freeze counts from its send.
    Node late("b", clock);
    late.takeLock(42);
    const TimePoint asked = clock.now();
    clock.advance(5s);
    late.lock.leaseRenewed(1500ms, asked);
    CHECK_FALSE(late.lock.holding());
}

TEST_CASE("lock: a lease is counted from the send of its renewal, not from the answer [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    const TimePoint asked = clock.now();
    clock.advance(1s);
    node.lock.leaseRenewed(1500ms, asked);
    clock.advance(400ms);
    CHECK_FALSE(node.lock.holding());
}

TEST_CASE("lock: a write without an answer is settled by what the store shows [lock][lost-reply]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(0, WriteResult::Unknown);
    CHECK_FALSE(node.lock.holding());
    const StoredItem shown{"lock", 44, 44, value};
    node.lock.keyChanged(&shown);
    REQUIRE(node.lock.holding());
    CHECK(node.lock.holding()->fence == 44);

    Node other("b", clock);
    other.takeLock(0, WriteResult::Unknown);
    clock.advance(3s); // it never showed
    const auto actions = other.lock.tick();
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<RevokeLease>(actions.front()));
    CHECK_FALSE(other.lock.holding());
}

TEST_CASE("lock: a write that is carried out late does not make an abandoned attempt a holder "
          "[lock][lost-reply]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string first = node.takeLock(0, WriteResult::Unknown);
    clock.advance(3s);
    node.lock.tick(); // gives the attempt up
    clock.advance(1s);
    node.lock.keyChanged(nullptr);
    const std::string second = node.takeLock(0, WriteResult::Unknown);
    CHECK(first != second);
    const StoredItem late{"lock", 50, 50, first};
    node.lock.keyChanged(&late);
    CHECK_FALSE(node.lock.holding());
}

TEST_CASE("lock: a successor waits until what its predecessor may have sent has arrived [lock]")
{
    ManualClock clock;
    Node node("b", clock);
    const StoredItem held{"lock", 41, 41, "a#1"};
    node.lock.keyChanged(&held);
    CHECK(node.lock.tick().empty());
    clock.advance(1s);
    node.lock.keyChanged(nullptr); // its lease has run out
    node.takeLock(50);
    const TimePoint taken = clock.now();
    REQUIRE(node.lock.holding());
    CHECK(node.lock.predecessor() == "a");
    CHECK(node.lock.holding()->actFrom == taken + 3s);
    // The predecessor tells that it has acted last two seconds ago.
    node.lock.setPredecessorLastActed(taken - 2s);
    CHECK(node.lock.holding()->actFrom == taken + 1s);
    node.lock.setPredecessorLastActed(taken - 10s);
    CHECK(node.lock.holding()->actFrom == taken);
}

TEST_CASE("lock: what another node takes is lost, and a refused fence gives the lock up [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    const StoredItem other{"lock", 60, 60, "b#1"};
    node.lock.keyChanged(&other);
    CHECK_FALSE(node.lock.holding());

    Node fenced("c", clock);
    fenced.takeLock(41);
    fenced.lock.fenceRefused();
    CHECK_FALSE(fenced.lock.holding());
}

TEST_CASE("lock: nodes further down the order leave a free lock to others for a while [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    node.lock.setAcquireDelay(300ms);
    CHECK(node.lock.tick().empty());
    clock.advance(300ms);
    CHECK(node.lock.tick().size() == 1);
}

// A holder gave the lock up 0.2 s after its taking ("OrderLockTaken fence=8", then "ReplicaFetched
// revision=7" and "OrderLockLost fence=8" in one): its copy of the store was from before.
TEST_CASE("lock: a copy of the store from before the lock was taken does not end it [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(41);
    node.lock.keyChanged(nullptr); // the copy is merged up to an older revision
    REQUIRE(node.lock.holding());
    CHECK(node.lock.holding()->fence == 41);

    const StoredItem shown{"lock", 41, 41, value};
    node.lock.keyChanged(&shown);
    REQUIRE(node.lock.holding());
    node.lock.keyChanged(nullptr); // now it is gone indeed
    CHECK_FALSE(node.lock.holding());
}

TEST_CASE("lock: a holder whose key never shows acts no longer than its lease [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    node.lock.keyChanged(nullptr);
    clock.advance(1300ms);
    CHECK_FALSE(node.lock.holding());

    // The store says that its lease is over: it tries anew, since its copy shows the key as free.
    clock.advance(200ms);
    const auto asking = node.lock.tick();
    REQUIRE(asking.size() == 1);
    CHECK(std::holds_alternative<RenewLease>(asking.front()));
    node.lock.leaseNotRenewed(true);
    clock.advance(500ms);
    node.lock.keyChanged(nullptr);
    const auto anew = node.lock.tick();
    REQUIRE(anew.size() == 2);
    CHECK(std::holds_alternative<RevokeLease>(anew.front()));
    CHECK(std::holds_alternative<GrantLease>(anew.back()));
    CHECK_FALSE(node.lock.holding());
}

// The store was away for 4 s; its key was still there when it was back, yet the first order
// came 4.7 s later: "OrderLockLost fence=14" at 21.15 s, "OrderLockTaken fence=40" by the same node
// at 25.76 s, "WeightsOrdered" at 28.77 s.
TEST_CASE("lock: a holder whose lease outlasts the store's absence goes on at once [lock][store]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(41);
    const StoredItem shown{"lock", 41, 41, value};
    node.lock.keyChanged(&shown);
    clock.advance(4s); // orders may be sent by now
    node.lock.leaseRenewed(1500ms, clock.now());
    const auto before = node.lock.holding();
    REQUIRE(before);

    // The store answers nothing: the holder does not act, but asks whether its lease is still
    // there.
    for (int n = 0; n < 8; ++n) {
        clock.advance(500ms);
        for (const LockAction &it : node.lock.tick()) {
            CHECK(std::holds_alternative<RenewLease>(it));
            node.lock.leaseNotRenewed(false);
        }
    }
    CHECK_FALSE(node.lock.holding());

    // Leases waited with the store, so nobody can have held the lock since.
    node.lock.leaseRenewed(1500ms, clock.now());
    REQUIRE(node.lock.holding());
    CHECK(node.lock.holding()->fence == 41);
    CHECK(node.lock.holding()->actFrom == before->actFrom);
}

TEST_CASE("lock: a holder whose lease ran out while the store was away starts over [lock][store]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(41);
    const StoredItem shown{"lock", 41, 41, value};
    node.lock.keyChanged(&shown);
    clock.advance(4s);
    node.lock.tick();
    node.lock.leaseNotRenewed(true);
    node.lock.leaseRenewed(1500ms, clock.now()); // an older answer that was late
    CHECK_FALSE(node.lock.holding());
    node.lock.keyChanged(nullptr);
    clock.advance(500ms);
    CHECK(std::holds_alternative<GrantLease>(node.lock.tick().back()));
}

// Revisions are given out again: engines that have seen a higher fence would turn all orders away,
// and two holders could have the same one.
TEST_CASE("lock: a fence taken after a restore of the store is higher than all before it "
          "[lock][restored]")
{
    ManualClock clock;
    Node node("a", clock);
    node.lock.storeRestored(1);
    node.takeLock(41);
    const std::int64_t before = node.lock.holding()->fence;
    node.lock.storeRestored(2);
    CHECK_FALSE(node.lock.holding());
    node.lock.keyChanged(nullptr, 2);
    clock.advance(500ms);
    node.takeLock(7);
    REQUIRE(node.lock.holding());
    CHECK(node.lock.holding()->fence > before);
}

TEST_CASE("lock: a lease from before a restore is neither renewed nor ended, since its id may be "
          "another's by now [lock][restored]")
{
    ManualClock clock;
    Node node("a", clock);
    node.lock.storeRestored(1);
    node.takeLock(41);
    node.lock.storeRestored(2);
    const auto actions = node.lock.tick();
    CHECK(actions.empty());
    // What its copy of before the restore shows says nothing of the lock any more.
    node.lock.keyChanged(nullptr, 1);
    clock.advance(5s);
    CHECK(node.lock.tick().empty());
}

// The copy may show an earlier holder than the last one, whose orders may still be on their way.
TEST_CASE("lock: after a restore the word of the holder before does not shorten the quiet time "
          "[lock][restored]")
{
    ManualClock clock;
    Node node("a", clock);
    node.lock.storeRestored(1);
    node.lock.storeRestored(2);
    node.lock.keyChanged(nullptr, 2);
    clock.advance(500ms);
    node.takeLock(7);
    node.lock.setPredecessorLastActed(clock.now() - 10s);
    CHECK(node.lock.holding()->actFrom == clock.now() + 2500ms);
}
