// SPDX-License-Identifier: MIT
#include "fordwood/replica_freshness.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Data that waited in the sockets of a stalled process is read within this time after it resumes.
constexpr Duration kResumeTime = std::chrono::milliseconds(500);

} // namespace

void ReplicaFreshness::storeRestored()
{
    m_completeAsOf.reset();
    m_confirmedByStore.reset();
}

void ReplicaFreshness::storeAnswered(TimePoint sentAt)
{
    m_confirmedByStore = std::max(m_confirmedByStore.value_or(sentAt), sentAt);
    m_completeAsOf = std::max(m_completeAsOf.value_or(sentAt), sentAt);
}

void ReplicaFreshness::storeHadNoChanges(TimePoint until)
{
    if (!hasJustResumed())
        storeAnswered(until);
}

void ReplicaFreshness::peerHadNoChanges(Duration age)
{
    if (hasJustResumed())
        return;
    const TimePoint then = m_clock.now() - age;
    m_completeAsOf = std::max(m_completeAsOf.value_or(then), then);
}

void ReplicaFreshness::checkStall()
{
    if (m_stallDetector.poll() > Duration::zero())
        m_resumedAt = m_clock.now();
}

bool ReplicaFreshness::hasJustResumed()
{
    checkStall();
    return m_resumedAt && m_clock.now() - *m_resumedAt < kResumeTime;
}

std::optional<Duration> ReplicaFreshness::ageFromStore() const
{
    if (!m_confirmedByStore)
        return std::nullopt;
    return m_clock.now() - *m_confirmedByStore;
}

} // namespace fordwood
