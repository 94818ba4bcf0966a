// SPDX-License-Identifier: MIT
#include "fordwood/upstream_health.hpp"

#include <algorithm>

namespace fordwood {

void UpstreamHealth::weigh(Entry &entry, bool failure) const
{
    entry.failureRate += m_limits.failureWeight * ((failure ? 1.0 : 0.0) - entry.failureRate);
}

void UpstreamHealth::sent(const std::string &instanceId)
{
    Entry &entry = m_entries[instanceId];
    if (entry.open == 0)
        entry.owesSince = m_clock.now();
    entry.open += 1;
}

void UpstreamHealth::ended(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it != m_entries.end() && it->second.open > 0)
        it->second.open -= 1;
}

void UpstreamHealth::heard(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it != m_entries.end())
        it->second.owesSince = m_clock.now();
}

bool UpstreamHealth::isSilent(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it != m_entries.end() && it->second.open > 0
           && m_clock.now() - it->second.owesSince >= m_limits.silence;
}

void UpstreamHealth::succeeded(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return;
    it->second.failuresInARow = 0;
    it->second.pausedUntil = {};
    weigh(it->second, false);
}

void UpstreamHealth::failed(const std::string &instanceId)
{
    constexpr unsigned kMostDoublings = 10; // beyond it the pause is at its longest anyway
    Entry &entry = m_entries[instanceId];
    const unsigned doublings = std::min(entry.failuresInARow, kMostDoublings);
    const Duration pause = std::min(m_limits.firstPause * (1U << doublings), m_limits.longestPause);
    entry.failuresInARow += 1;
    entry.pausedUntil = std::max(entry.pausedUntil, m_clock.now() + pause);
    weigh(entry, true);
}

void UpstreamHealth::answeredFailure(const std::string &instanceId)
{
    Entry &entry = m_entries[instanceId];
    entry.failuresInARow = 0;
    weigh(entry, true);
}

void UpstreamHealth::refused(const std::string &instanceId, Duration pause)
{
    Entry &entry = m_entries[instanceId];
    entry.pausedUntil = std::max(entry.pausedUntil, m_clock.now() + pause);
}

bool UpstreamHealth::isPaused(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it != m_entries.end() && m_clock.now() < it->second.pausedUntil;
}

double UpstreamHealth::failureRate(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it == m_entries.end() ? 0.0 : it->second.failureRate;
}

} // namespace fordwood
