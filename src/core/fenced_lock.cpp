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
    const bool isOwn = item != nullptr && item->value == value();
    // The copy may be merged up to a revision from before this node took the lock: as long as it
    // has not shown the key, only the lease tells whether the lock is still held.
    if (item == nullptr && m_stage == Stage::Held && !m_isShown)
        return;
    if (item == nullptr) {
        if (!m_freeSince)
            m_freeSince = m_clock.now();
    } else {
        m_freeSince.reset();
        if (!isOwn)
            m_predecessor = item->value->substr(0, item->value->rfind('#'));
    }
    if (isOwn && (m_stage == Stage::Taking || m_stage == Stage::Settling))
        hold(item->created);
    if (isOwn && m_stage == Stage::Held)
        m_isShown = true;
    if (m_stage == Stage::Held && !isOwn && (item == nullptr || item->created > m_created))
        startOver(m_limits.retryEvery);
}

void FencedLock::leaseGranted(std::int64_t lease, Duration life, TimePoint asked)
{
    if (m_stage != Stage::Granting) {
        m_actions.emplace_back(EndLease{lease});
        return;
    }
    m_lease = lease;
    m_leaseEnd = asked + life;
    m_attempt += 1;
    m_stage = Stage::Taking;
    m_waitUntil = m_clock.now() + m_limits.settleTime;
    m_actions.emplace_back(TakeLock{m_key, value(), lease});
}

void FencedLock::leaseRefused()
{
    if (m_stage == Stage::Granting)
        startOver(m_limits.retryEvery);
}

void FencedLock::lockTaken(WriteResult result, std::int64_t revision)
{
    if (m_stage != Stage::Taking)
        return;
    switch (result) {
    case WriteResult::Done:
        hold(revision);
        return;
    case WriteResult::Unknown:
        // The copy of the store will show whether it was done.
        m_stage = Stage::Settling;
        m_waitUntil = m_clock.now() + m_limits.settleTime;
        return;
    case WriteResult::ConditionFailed:
    case WriteResult::LeaseOver:
    case WriteResult::Refused:
        startOver(m_limits.retryEvery);
        return;
    }
}

void FencedLock::hold(std::int64_t created)
{
    m_stage = Stage::Held;
    m_isShown = false;
    m_created = created;
    m_heldSince = m_clock.now();
    // Also where no predecessor was seen: its key may have gone before this node started.
    m_actFrom = m_heldSince + m_limits.quietTime;
    m_nextKeep = m_clock.now();
    m_keeping = false;
}

void FencedLock::leaseKept(Duration life, TimePoint asked)
{
    m_keeping = false;
    if (m_stage != Stage::Held)
        return;
    m_leaseEnd = std::max(m_leaseEnd, asked + life);
}

void FencedLock::leaseNotKept(bool isOver)
{
    m_keeping = false;
    if (m_stage == Stage::Held && isOver)
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
        m_actions.emplace_back(EndLease{m_lease});
    m_lease = 0;
    m_stage = Stage::Released;
}

void FencedLock::startOver(Duration pause)
{
    if (m_lease != 0)
        m_actions.emplace_back(EndLease{m_lease});
    m_lease = 0;
    m_stage = Stage::Idle;
    m_notBefore = m_clock.now() + pause;
}

std::vector<LockAction> FencedLock::tick()
{
    const TimePoint now = m_clock.now();
    switch (m_stage) {
    case Stage::Idle:
        if (m_freeSince && now >= m_notBefore && now - *m_freeSince >= m_patience) {
            m_stage = Stage::Granting;
            m_waitUntil = now + m_limits.settleTime;
            m_actions.emplace_back(GrantLease{m_limits.life});
        }
        break;
    case Stage::Granting:
    case Stage::Taking:
    case Stage::Settling:
        if (now >= m_waitUntil)
            startOver(m_limits.retryEvery);
        break;
    case Stage::Held:
        // Also after its own count has ended: a lease may wait while the store is away. If the
        // store still has it when it is back, nobody else can have held the lock.
        if (!m_keeping && now >= m_nextKeep) {
            m_keeping = true;
            m_nextKeep = now + m_limits.keepEvery;
            m_actions.emplace_back(KeepLease{m_lease});
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
    return Holding{fenceOf({m_epoch, m_created}), m_heldSince, m_actFrom,
                   m_leaseEnd - m_limits.margin};
}

void FencedLock::predecessorActed(TimePoint last)
{
    // After a restore the copy may show an earlier holder than the last one.
    const TimePoint acted = std::max(last, m_restoredAt.value_or(last));
    m_actFrom = std::min(m_actFrom, std::max(m_heldSince, acted + m_limits.quietTime));
}

} // namespace fordwood
