// SPDX-License-Identifier: MIT
#include "fordwood/copy_freshness.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Between two turns of the node's work; longer than one takes on the busiest VM.
constexpr Duration kStandstill = std::chrono::seconds(1);

// What lies in the sockets of a process that wakes is read within this.
constexpr Duration kWakeTime = std::chrono::milliseconds(500);

} // namespace

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

void CopyFreshness::tick()
{
    const TimePoint now = m_clock.now();
    if (now - m_lastTick >= kStandstill)
        m_woke = now;
    m_lastTick = now;
}

bool CopyFreshness::isWaking() const
{
    const TimePoint now = m_clock.now();
    return now - m_lastTick >= kStandstill || (m_woke && now - *m_woke < kWakeTime);
}

std::optional<Duration> CopyFreshness::ageByStore() const
{
    if (!m_byStore)
        return std::nullopt;
    return m_clock.now() - *m_byStore;
}

} // namespace fordwood
