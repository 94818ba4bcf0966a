// SPDX-License-Identifier: MIT
#include "fordwood/upstream_health.hpp"

#include <algorithm>
#include <cmath>

namespace fordwood {

void UpstreamHealth::updateFailureRate(Entry &entry, bool failure) const
{
    const double rate = failureRate(entry);
    entry.failureRate = rate + m_limits.failureWeight * ((failure ? 1.0 : 0.0) - rate);
    entry.updatedAt = m_clock.now();
    entry.sendsAtUpdate = m_sends;
}

// The failure rate of an upstream decays while it gets no requests. Without this decay, a recovered
// upstream got none of 1,200 requests in 30 s while the other three had free slots.
double UpstreamHealth::failureRate(const Entry &entry) const
{
    const std::chrono::duration<double> age = m_clock.now() - entry.updatedAt;
    const std::chrono::duration<double> half = m_limits.halfLife;
    const double turns = static_cast<double>(m_sends - entry.sendsAtUpdate)
                         / static_cast<double>(std::max<std::size_t>(m_entries.size(), 1));
    const double halvings = std::min(age / half, turns / m_limits.turnsPerHalfLife);
    const double rate = entry.failureRate * std::exp2(-halvings);
    return rate < m_limits.minFailureRate ? 0.0 : rate;
}

void UpstreamHealth::sent(const std::string &instanceId)
{
    m_sends += 1;
    Entry &entry = m_entries[instanceId];
    if (entry.open == 0)
        entry.silentSince = m_clock.now();
    entry.open += 1;
}

void UpstreamHealth::ended(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it != m_entries.end() && it->second.open > 0)
        it->second.open -= 1;
}

void UpstreamHealth::dataReceived(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it != m_entries.end())
        it->second.silentSince = m_clock.now();
}

bool UpstreamHealth::isSilent(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it != m_entries.end() && it->second.open > 0
           && m_clock.now() - it->second.silentSince >= m_limits.silenceLimit;
}

void UpstreamHealth::succeeded(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return;
    it->second.consecutiveFailures = 0;
    it->second.pausedUntil = {};
    updateFailureRate(it->second, false);
}

void UpstreamHealth::failed(const std::string &instanceId)
{
    constexpr unsigned kMaxDoublings = 10; // the pause has reached its maximum before that
    Entry &entry = m_entries[instanceId];
    const unsigned doublings = std::min(entry.consecutiveFailures, kMaxDoublings);
    const Duration pause = std::min(m_limits.initialPause * (1U << doublings), m_limits.maxPause);
    entry.consecutiveFailures += 1;
    entry.pausedUntil = std::max(entry.pausedUntil, m_clock.now() + pause);
    updateFailureRate(entry, true);
}

void UpstreamHealth::answeredWithError(const std::string &instanceId)
{
    Entry &entry = m_entries[instanceId];
    entry.consecutiveFailures = 0;
    updateFailureRate(entry, true);
}

void UpstreamHealth::refused(const std::string &instanceId, Duration pause)
{
    Entry &entry = m_entries[instanceId];
    entry.pausedUntil = std::max(entry.pausedUntil, m_clock.now() + pause);
}

void UpstreamHealth::excuse(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return;
    it->second.consecutiveFailures = 0;
    it->second.pausedUntil = {};
    it->second.failureRate = 0.0;
    it->second.silentSince = m_clock.now();
}

bool UpstreamHealth::isPaused(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it != m_entries.end() && m_clock.now() < it->second.pausedUntil;
}

double UpstreamHealth::failureRate(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it == m_entries.end() ? 0.0 : failureRate(it->second);
}

} // namespace fordwood
