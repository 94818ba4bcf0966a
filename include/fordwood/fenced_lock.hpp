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

struct GrantLease
{
    Duration ttl;
};

// Creates the lock's key under the lease if it does not exist.
struct AcquireLock
{
    std::string key;
    std::string value;
    std::int64_t lease;
};

struct RenewLease
{
    std::int64_t lease;
};

// Revokes the lease, which also deletes the lock's key.
struct RevokeLease
{
    std::int64_t lease;
};

using LockAction = std::variant<GrantLease, AcquireLock, RenewLease, RevokeLease>;

// Result of a conditional write to the store.
enum class WriteResult {
    Done,
    ConditionFailed,
    LeaseExpired,
    Unknown, // no answer: the write may have been done or may still be done
    Refused, // certainly not done
};

// A lock shared by the fleet: a key of the platform's store under a lease. The fence is the version
// of the store at which the key was created, so it grows with each holder. A state machine that
// takes events and returns actions, without I/O.
//
// The holder counts its lease on its steady clock from the moment at which it *sent* the renewal,
// so that it stops before the store gives the lock to another node; a holder that was suspended
// finds its lease expired when it resumes. It may act again if the store confirms that the lease
// still exists. A new holder waits for `quietTime` before it acts, so that everything its
// predecessor sent has arrived by then.
class FencedLock
{
public:
    struct Limits
    {
        // Of the lease. Short, because after the death of a holder engines get no new weights until
        // its lease has expired. A renewal usually takes milliseconds, and a few hundred in the
        // worst case.
        Duration ttl = std::chrono::milliseconds(1'500);
        Duration renewEvery = std::chrono::milliseconds(400);
        Duration quietTime = std::chrono::seconds(3);
        // The holder stops acting this long before the end of its lease.
        Duration margin = std::chrono::milliseconds(200);
        // Time to wait for an answer, or for an unanswered write to show in the replica, before a
        // new attempt.
        Duration answerTimeout = std::chrono::seconds(2);
        Duration retryEvery = std::chrono::milliseconds(500);
    };

    // This node's hold of the lock.
    struct Holding
    {
        std::int64_t fence = 0;
        TimePoint since{};
        TimePoint actFrom{};
        TimePoint actUntil{};
    };

    // `owner` must be unique for each start of each node.
    FencedLock(std::string key, std::string owner, const Clock &clock, Limits limits);

    // How long the lock must have been free before this node tries to take it. Less preferred
    // holders get a longer delay.
    void setAcquireDelay(Duration delay) { m_acquireDelay = delay; }

    // The state of the lock's key in the node's replica of the store; null if it does not exist.
    // `epoch` is that of the replica.
    void keyChanged(const StoredItem *item, std::uint64_t epoch = 0);

    // The store is in this epoch. A lock taken in an earlier epoch is lost, and the id of its lease
    // may have been assigned to another node.
    void storeRestored(std::uint64_t epoch);

    void leaseGranted(std::int64_t lease, Duration ttl, TimePoint sentAt);
    void leaseNotGranted();
    void acquireAnswered(WriteResult result, std::int64_t revision);
    void leaseRenewed(Duration ttl, TimePoint sentAt);
    void leaseNotRenewed(bool hasExpired);

    // An engine has already seen a higher fence: the lock is given up and taken again.
    void fenceRefused();

    // Gives up the lock permanently, for a planned shutdown.
    void release();

    std::vector<LockAction> tick();

    // Empty while this node does not hold the lock or must not act.
    std::optional<Holding> holding() const;

    // The last other owner of the lock that was seen; empty if there was none.
    const std::string &predecessor() const { return m_predecessor; }

    // The predecessor acted last at this time, as it reported after its lease had ended, or cannot
    // have acted later. `quietTime` then counts from this time instead of from when the lock was
    // taken.
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
    std::optional<TimePoint> m_freeSince; // since the key does not exist
    TimePoint m_retryAt{};
    TimePoint m_waitUntil{}; // for an answer, or for a write to appear in the replica
    std::int64_t m_lease = 0;
    TimePoint m_leaseEnd{};
    TimePoint m_nextRenewal{};
    bool m_isRenewing = false;
    std::uint64_t m_epoch = 0; // of the store; zero: unknown
    std::optional<TimePoint> m_restoredAt;
    std::int64_t m_createRevision = 0; // revision at which this node's key was created
    bool m_isKeySeen = false; // the replica has shown this node's key
    TimePoint m_heldSince{};
    TimePoint m_actFrom{};
    std::string m_predecessor;
    std::vector<LockAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_FENCED_LOCK_HPP_INCLUDED
