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

// A node that uses the lock; the test plays the store.
struct Node
{
    explicit Node(const std::string &name, const ManualClock &manualClock)
        : clock(manualClock), lock("lock", name, manualClock, makeLimits())
    {
        lock.keyChanged(nullptr);
    }

    // Takes the lock step by step; returns the value that the node writes.
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

TEST_CASE("lock: a holder that saw no predecessor still waits, and its fence is the revision of "
          "its key [lock]")
{
    const ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    const auto holding = node.lock.holding();
    REQUIRE(holding);
    CHECK(holding->fence == 41);
    // The lease of a predecessor that sent an order a moment ago may have expired before this node
    // started.
    CHECK(holding->actFrom == clock.now() + 3s);
}

TEST_CASE("lock: a holder that was suspended finds its lease expired when it resumes "
          "[lock][freeze]")
{
    ManualClock clock;
    Node node("a", clock);
    node.takeLock(41);
    clock.advance(1400ms); // past the lease minus the margin
    CHECK_FALSE(node.lock.holding());
    // The answer to a renewal from before the suspension counts from when the renewal was sent.
    Node late("b", clock);
    late.takeLock(42);
    const TimePoint asked = clock.now();
    clock.advance(5s);
    late.lock.leaseRenewed(1500ms, asked);
    CHECK_FALSE(late.lock.holding());
}

TEST_CASE("lock: a lease counts from when its renewal was sent, not from the answer [lock]")
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

TEST_CASE("lock: a write without an answer is resolved by what the replica shows "
          "[lock][lost-reply]")
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
    clock.advance(3s); // the write never showed
    const auto actions = other.lock.tick();
    REQUIRE(actions.size() == 1);
    CHECK(std::holds_alternative<RevokeLease>(actions.front()));
    CHECK_FALSE(other.lock.holding());
}

TEST_CASE("lock: a write of an abandoned attempt that is carried out late does not make the node a "
          "holder [lock][lost-reply]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string first = node.takeLock(0, WriteResult::Unknown);
    clock.advance(3s);
    node.lock.tick(); // abandons the attempt
    clock.advance(1s);
    node.lock.keyChanged(nullptr);
    const std::string second = node.takeLock(0, WriteResult::Unknown);
    CHECK(first != second);
    const StoredItem late{"lock", 50, 50, first};
    node.lock.keyChanged(&late);
    CHECK_FALSE(node.lock.holding());
}

TEST_CASE("lock: a new holder waits until what its predecessor may have sent has arrived [lock]")
{
    ManualClock clock;
    Node node("b", clock);
    const StoredItem held{"lock", 41, 41, "a#1"};
    node.lock.keyChanged(&held);
    CHECK(node.lock.tick().empty());
    clock.advance(1s);
    node.lock.keyChanged(nullptr); // the lease of "a" has expired
    node.takeLock(50);
    const TimePoint taken = clock.now();
    REQUIRE(node.lock.holding());
    CHECK(node.lock.predecessor() == "a");
    CHECK(node.lock.holding()->actFrom == taken + 3s);
    // The predecessor reports that it acted last two seconds ago.
    node.lock.setPredecessorLastActed(taken - 2s);
    CHECK(node.lock.holding()->actFrom == taken + 1s);
    node.lock.setPredecessorLastActed(taken - 10s);
    CHECK(node.lock.holding()->actFrom == taken);
}

TEST_CASE("lock: it is lost when another node takes it, and given up when a fence is refused "
          "[lock]")
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

TEST_CASE("lock: less preferred nodes wait before they take a free lock [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    node.lock.setAcquireDelay(300ms);
    CHECK(node.lock.tick().empty());
    clock.advance(300ms);
    CHECK(node.lock.tick().size() == 1);
}

// Regression: a holder gave up the lock 0.2 s after taking it, because its replica of the store was
// still at a revision from before the lock was taken (fence 8, replica at revision 7).
TEST_CASE("lock: a replica from before the lock was taken does not end it [lock]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(41);
    node.lock.keyChanged(nullptr); // the replica is merged up to an older revision
    REQUIRE(node.lock.holding());
    CHECK(node.lock.holding()->fence == 41);

    const StoredItem shown{"lock", 41, 41, value};
    node.lock.keyChanged(&shown);
    REQUIRE(node.lock.holding());
    node.lock.keyChanged(nullptr); // now the key is really gone
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

    // The store reports that the lease has expired: the node tries again, since its replica shows
    // no key.
    clock.advance(200ms);
    const auto renewal = node.lock.tick();
    REQUIRE(renewal.size() == 1);
    CHECK(std::holds_alternative<RenewLease>(renewal.front()));
    node.lock.leaseNotRenewed(true);
    clock.advance(500ms);
    node.lock.keyChanged(nullptr);
    const auto retry = node.lock.tick();
    REQUIRE(retry.size() == 2);
    CHECK(std::holds_alternative<RevokeLease>(retry.front()));
    CHECK(std::holds_alternative<GrantLease>(retry.back()));
    CHECK_FALSE(node.lock.holding());
}

// Regression: the store was unavailable for 4 s and still had the key when it returned, yet the
// first order came 4.7 s later: the holder gave up the lock at 21.15 s, took it again at 25.76 s
// and sent the first order at 28.77 s.
TEST_CASE("lock: a holder whose lease outlasts an outage of the store continues at once "
          "[lock][store]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(41);
    const StoredItem shown{"lock", 41, 41, value};
    node.lock.keyChanged(&shown);
    clock.advance(4s); // the quiet time is over
    node.lock.leaseRenewed(1500ms, clock.now());
    const auto before = node.lock.holding();
    REQUIRE(before);

    // The store does not answer: the holder does not act, but goes on asking whether its lease
    // still exists.
    for (int n = 0; n < 8; ++n) {
        clock.advance(500ms);
        for (const LockAction &it : node.lock.tick()) {
            CHECK(std::holds_alternative<RenewLease>(it));
            node.lock.leaseNotRenewed(false);
        }
    }
    CHECK_FALSE(node.lock.holding());

    // Leases were suspended during the outage, so no other node can have held the lock since.
    node.lock.leaseRenewed(1500ms, clock.now());
    REQUIRE(node.lock.holding());
    CHECK(node.lock.holding()->fence == 41);
    CHECK(node.lock.holding()->actFrom == before->actFrom);
}

TEST_CASE("lock: a holder whose lease expired while the store was unavailable starts over "
          "[lock][store]")
{
    ManualClock clock;
    Node node("a", clock);
    const std::string value = node.takeLock(41);
    const StoredItem shown{"lock", 41, 41, value};
    node.lock.keyChanged(&shown);
    clock.advance(4s);
    node.lock.tick();
    node.lock.leaseNotRenewed(true);
    node.lock.leaseRenewed(1500ms, clock.now()); // an older answer that arrived late
    CHECK_FALSE(node.lock.holding());
    node.lock.keyChanged(nullptr);
    clock.advance(500ms);
    CHECK(std::holds_alternative<GrantLease>(node.lock.tick().back()));
}

// A restored store assigns revisions again: engines that have seen a higher fence would reject all
// orders, and two holders could have the same fence.
TEST_CASE("lock: a fence from after a restore of the store is higher than all before it "
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

TEST_CASE("lock: a lease from before a restore is neither renewed nor revoked, since its id may "
          "have been assigned to another node [lock][restored]")
{
    ManualClock clock;
    Node node("a", clock);
    node.lock.storeRestored(1);
    node.takeLock(41);
    node.lock.storeRestored(2);
    const auto actions = node.lock.tick();
    CHECK(actions.empty());
    // What a replica from before the restore shows no longer applies to the lock.
    node.lock.keyChanged(nullptr, 1);
    clock.advance(5s);
    CHECK(node.lock.tick().empty());
}

// The replica may show an earlier holder than the last one, whose orders may still be in transit.
TEST_CASE("lock: after a restore a predecessor's report does not shorten the quiet time "
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
