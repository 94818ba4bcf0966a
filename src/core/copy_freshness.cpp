// SPDX-License-Identifier: MIT
#include "fordwood/copy_freshness.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// What lies in the sockets of a process that wakes is read within this.
constexpr Duration kWakeTime = std::chrono::milliseconds(500);

} // namespace

void CopyFreshness::storeRestored()
{
    m_wholeAt.reset();
    m_byStore.reset();
}

void CopyFreshness::storeAnswered(TimePoint asked)
{
    m_byStore = std::max(m_byStore.value_or(asked), asked);
    m_wholeAt = std::max(m_wholeAt.value_or(asked), asked);
}

void CopyFreshness::storeWasQuiet(TimePoint until)
{
    if (!isWaking())
        storeAnswered(until);
}

void CopyFreshness::peerHasNoMore(Duration age)
{
    if (isWaking())
        return;
    const TimePoint then = m_clock.now() - age;
    m_wholeAt = std::max(m_wholeAt.value_or(then), then);
}

void CopyFreshness::noteStandstill()
{
    if (m_standstill.turn() > Duration::zero())
        m_woke = m_clock.now();
}

bool CopyFreshness::isWaking()
{
    noteStandstill();
    return m_woke && m_clock.now() - *m_woke < kWakeTime;
}

std::optional<Duration> CopyFreshness::ageByStore() const
{
    if (!m_byStore)
        return std::nullopt;
    return m_clock.now() - *m_byStore;
}

} // namespace fordwood
