// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_FENCED_LOCK_HPP_INCLUDED
#define FORDWOOD_FENCED_LOCK_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/store_replica.hpp"

namespace fordwood {

// Asks the store for a lease.
struct GrantLease
{
    Duration ttl;
};

// Writes the lock's key under the lease, if the key is absent.
struct AcquireLock
{
    std::string key;
    std::string value;
    std::int64_t lease;
};

// Renews the lease.
struct RenewLease
{
    std::int64_t lease;
};

// Gives the lease up, and the lock with it.
struct RevokeLease
{
    std::int64_t lease;
};

using LockAction = std::variant<GrantLease, AcquireLock, RenewLease, RevokeLease>;

// How the store answered a write that had a condition.
enum class WriteResult {
    Done,
    ConditionFailed,
    LeaseExpired,
    Unknown, // no answer: it may have been done, or may be done later
    Refused, // surely not done
};

// A lock over the fleet: a key of the platform's store under a lease. The version of the store at
// which the key was created is the fence: it grows with each holder. Events in, actions out; no
// I/O.
//
// The holder counts its lease from the moment at which it *sent* the renewal, on its steady clock,
// so that it stops before the store gives the lock to another; a holder that was frozen sees on
// waking that its time is over. It acts again if the store says that the lease is still there. A
// new holder waits `quietTime` before it acts, in which whatever the one before has sent arrives.
class FencedLock
{
public:
    struct Limits
    {
        // Of the lease: short, since engines wait for their weights until it has run out after a
        // holder's death. A renewal takes milliseconds, some hundred on a bad day.
        Duration ttl = std::chrono::milliseconds(1'500);
        Duration renewEvery = std::chrono::milliseconds(400);
        Duration quietTime = std::chrono::seconds(3);
        // Before the end of the lease in which the holder no longer acts.
        Duration margin = std::chrono::milliseconds(200);
        // A write without an answer is waited for so long before a new attempt.
        Duration answerTimeout = std::chrono::seconds(2);
        Duration retryEvery = std::chrono::milliseconds(500);
    };

    // The lock as it is held by this node.
    struct Holding
    {
        std::int64_t fence = 0;
        TimePoint since{};
        TimePoint actFrom{};
        TimePoint actUntil{};
    };

    // `owner` must differ between nodes and between the lives of a node.
    FencedLock(std::string key, std::string owner, const Clock &clock, Limits limits);

    // How long this node waits before it tries to take a lock that is free: nodes that would rather
    // have another one hold it wait longer.
    void setAcquireDelay(Duration delay) { m_acquireDelay = delay; }

    // The key as the node's copy of the store shows it; null when it is absent. `epoch`: of the
    // copy.
    void keyChanged(const StoredItem *item, std::uint64_t epoch = 0);

    // The store is in this epoch. A lock of an earlier one is lost, and its lease may be another's.
    void storeRestored(std::uint64_t epoch);

    void leaseGranted(std::int64_t lease, Duration ttl, TimePoint sentAt);
    void leaseNotGranted();
    void acquireAnswered(WriteResult result, std::int64_t revision);
    void leaseRenewed(Duration ttl, TimePoint sentAt);
    void leaseNotRenewed(bool hasExpired);

    // A higher fence was seen where orders go: the lock is given up and taken anew.
    void fenceRefused();

    // Gives the lock up for good, at a planned stop.
    void release();

    std::vector<LockAction> tick();

    // Nothing while this node does not hold the lock, or may not act.
    std::optional<Holding> holding() const;

    // The owner of the lock before this node, as far as seen; empty: none was seen.
    const std::string &predecessor() const { return m_predecessor; }

    // The owner before has acted last at this moment, by its own word after its time was over, or
    // as far as it can have: `quietTime` counts from there instead of from the taking of the lock.
    void setPredecessorLastActed(TimePoint lastAction);

private:
    enum class Stage : std::uint8_t { Idle, Granting, Acquiring, AwaitingKey, Held, Released };

    void startOver(Duration pause);
    void becomeHolder(std::int64_t createRevision);
    std::string value() const;

    const std::string m_key;
    const std::string m_owner;
    const Clock &m_clock;
    const Limits m_limits;
    Duration m_acquireDelay{0};
    Stage m_stage = Stage::Idle;
    std::uint64_t m_attempt = 0;
    std::optional<TimePoint> m_freeSince; // the key is absent
    TimePoint m_notBefore{};
    TimePoint m_waitUntil{}; // for an answer, or for a write to show
    std::int64_t m_lease = 0;
    TimePoint m_leaseEnd{};
    TimePoint m_nextRenewal{};
    bool m_isRenewing = false;
    std::uint64_t m_epoch = 0; // of the store; zero: not known
    std::optional<TimePoint> m_restoredAt;
    std::int64_t m_createRevision = 0; // revision at which the own key was created
    bool m_isKeySeen = false; // the copy of the store has shown the own key
    TimePoint m_heldSince{};
    TimePoint m_actFrom{};
    std::string m_predecessor;
    std::vector<LockAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_FENCED_LOCK_HPP_INCLUDED
