// SPDX-License-Identifier: MIT
#include "fordwood/fenced_lock.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

FencedLock::FencedLock(std::string key, std::string owner, const Clock &clock, Limits limits)
    : m_key(std::move(key)), m_owner(std::move(owner)), m_clock(clock), m_limits(limits)
{ }

std::string FencedLock::value() const
{
    return m_owner + "#" + std::to_string(m_attempt);
}

void FencedLock::storeRestored(std::uint64_t epoch)
{
    if (epoch <= m_epoch)
        return;
    const bool isFirst = std::exchange(m_epoch, epoch) == 0;
    if (isFirst)
        return;
    m_restoredAt = m_clock.now();
    m_freeSince.reset();
    m_lease = 0;
    if (m_stage != Stage::Released)
        startOver(m_limits.retryEvery);
}

void FencedLock::keyChanged(const StoredItem *item, std::uint64_t epoch)
{
    storeRestored(epoch);
    if (epoch < m_epoch)
        return;
    const bool isOwnKey = item != nullptr && item->value == value();
    // The replica may be at a revision from before this node took the lock. Until it has shown the
    // key, only the lease determines whether the lock is still held.
    if (item == nullptr && m_stage == Stage::Held && !m_isKeySeen)
        return;
    if (item == nullptr) {
        if (!m_freeSince)
            m_freeSince = m_clock.now();
    } else {
        m_freeSince.reset();
        if (!isOwnKey)
            m_predecessor = item->value->substr(0, item->value->rfind('#'));
    }
    if (isOwnKey && (m_stage == Stage::Acquiring || m_stage == Stage::AwaitingKey))
        becomeHolder(item->createRevision);
    if (isOwnKey && m_stage == Stage::Held)
        m_isKeySeen = true;
    if (m_stage == Stage::Held && !isOwnKey
        && (item == nullptr || item->createRevision > m_createRevision))
        startOver(m_limits.retryEvery);
}

void FencedLock::leaseGranted(std::int64_t lease, Duration ttl, TimePoint sentAt)
{
    if (m_stage != Stage::Granting) {
        m_actions.emplace_back(RevokeLease{lease});
        return;
    }
    m_lease = lease;
    m_leaseEnd = sentAt + ttl;
    m_attempt += 1;
    m_stage = Stage::Acquiring;
    m_waitUntil = m_clock.now() + m_limits.answerTimeout;
    m_actions.emplace_back(AcquireLock{m_key, value(), lease});
}

void FencedLock::leaseNotGranted()
{
    if (m_stage == Stage::Granting)
        startOver(m_limits.retryEvery);
}

void FencedLock::acquireAnswered(WriteResult result, std::int64_t revision)
{
    if (m_stage != Stage::Acquiring)
        return;
    switch (result) {
    case WriteResult::Done:
        becomeHolder(revision);
        return;
    case WriteResult::Unknown:
        // The replica will show whether the write was done.
        m_stage = Stage::AwaitingKey;
        m_waitUntil = m_clock.now() + m_limits.answerTimeout;
        return;
    case WriteResult::ConditionFailed:
    case WriteResult::LeaseExpired:
    case WriteResult::Refused:
        startOver(m_limits.retryEvery);
        return;
    }
}

void FencedLock::becomeHolder(std::int64_t createRevision)
{
    m_stage = Stage::Held;
    m_isKeySeen = false;
    m_createRevision = createRevision;
    m_heldSince = m_clock.now();
    // Applies even if no predecessor was seen: its key may have expired before this node started.
    m_actFrom = m_heldSince + m_limits.quietTime;
    m_nextRenewal = m_clock.now();
    m_isRenewing = false;
}

void FencedLock::leaseRenewed(Duration ttl, TimePoint sentAt)
{
    m_isRenewing = false;
    if (m_stage != Stage::Held)
        return;
    m_leaseEnd = std::max(m_leaseEnd, sentAt + ttl);
}

void FencedLock::leaseNotRenewed(bool hasExpired)
{
    m_isRenewing = false;
    if (m_stage == Stage::Held && hasExpired)
        startOver(m_limits.retryEvery);
}

void FencedLock::fenceRefused()
{
    if (m_stage == Stage::Held)
        startOver(m_limits.retryEvery);
}

void FencedLock::release()
{
    if (m_lease != 0)
        m_actions.emplace_back(RevokeLease{m_lease});
    m_lease = 0;
    m_stage = Stage::Released;
}

void FencedLock::startOver(Duration pause)
{
    if (m_lease != 0)
        m_actions.emplace_back(RevokeLease{m_lease});
    m_lease = 0;
    m_stage = Stage::Idle;
    m_retryAt = m_clock.now() + pause;
}

std::vector<LockAction> FencedLock::tick()
{
    const TimePoint now = m_clock.now();
    switch (m_stage) {
    case Stage::Idle:
        if (m_freeSince && now >= m_retryAt && now - *m_freeSince >= m_acquireDelay) {
            m_stage = Stage::Granting;
            m_waitUntil = now + m_limits.answerTimeout;
            m_actions.emplace_back(GrantLease{m_limits.ttl});
        }
        break;
    case Stage::Granting:
    case Stage::Acquiring:
    case Stage::AwaitingKey:
        if (now >= m_waitUntil)
            startOver(m_limits.retryEvery);
        break;
    case Stage::Held:
        // Renews even after the lease has ended by the holder's own count: leases may be suspended
        // while the store is unavailable. If the store still has the lease when it returns, no
        // other node can have held the lock.
        if (!m_isRenewing && now >= m_nextRenewal) {
            m_isRenewing = true;
            m_nextRenewal = now + m_limits.renewEvery;
            m_actions.emplace_back(RenewLease{m_lease});
        }
        break;
    case Stage::Released:
        break;
    }
    return std::exchange(m_actions, {});
}

std::optional<FencedLock::Holding> FencedLock::holding() const
{
    if (m_stage != Stage::Held || m_clock.now() >= m_leaseEnd - m_limits.margin)
        return std::nullopt;
    return Holding{fenceOf({m_epoch, m_createRevision}), m_heldSince, m_actFrom,
                   m_leaseEnd - m_limits.margin};
}

void FencedLock::setPredecessorLastActed(TimePoint lastAction)
{
    // After a restore the replica may show an earlier holder than the last one.
    const TimePoint lastActed = std::max(lastAction, m_restoredAt.value_or(lastAction));
    m_actFrom = std::min(m_actFrom, std::max(m_heldSince, lastActed + m_limits.quietTime));
}

} // namespace fordwood
