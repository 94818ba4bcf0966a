// SPDX-License-Identifier: MIT
#include "fordwood/upstream_directory.hpp"

#include <algorithm>

namespace fordwood {

void UpstreamDirectory::put(UpstreamRecord record)
{
    Entry &entry = m_entries[record.instanceId];
    // Weights only move forward, and an order may have shown a version before the record does.
    for (const auto &[model, version] : entry.record.weightVersions) {
        const auto it = record.weightVersions.find(model);
        if (it != record.weightVersions.end())
            it->second = std::max(it->second, version);
    }
    entry.record = std::move(record);
    entry.expired = false;
}

void UpstreamDirectory::remove(const std::string &instanceId, bool mayBeExpiry)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return;
    if (mayBeExpiry && !it->second.record.draining)
        it->second.expired = true;
    else
        m_entries.erase(it);
}

void UpstreamDirectory::setEvacuated(const std::string &failureDomain, bool isEvacuated)
{
    if (isEvacuated)
        m_evacuated.insert(failureDomain);
    else
        m_evacuated.erase(failureDomain);
}

bool UpstreamDirectory::isUsable(const UpstreamRecord &record) const
{
    return !record.draining && !m_evacuated.contains(record.failureDomain);
}

bool UpstreamDirectory::hasEvacuated(const std::string &service) const
{
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        const UpstreamRecord &record = it.second.record;
        return record.service == service && !record.draining
               && m_evacuated.contains(record.failureDomain);
    });
}

bool UpstreamDirectory::takesNewWork(const std::string &instanceId) const
{
    const UpstreamRecord *record = find(instanceId);
    return record != nullptr && isUsable(*record);
}

void UpstreamDirectory::setStoreReachable(bool reachable)
{
    if (reachable && !m_storeReachable)
        m_reachableSince = m_clock.now();
    m_storeReachable = reachable;
}

std::vector<std::string> UpstreamDirectory::tick()
{
    std::vector<std::string> gone;
    if (!m_storeReachable || m_clock.now() - m_reachableSince < m_limits.returnWithin)
        return gone;
    for (auto it = m_entries.begin(); it != m_entries.end();) {
        if (!it->second.expired) {
            ++it;
            continue;
        }
        gone.push_back(it->first);
        it = m_entries.erase(it);
    }
    return gone;
}

std::vector<const UpstreamRecord *> UpstreamDirectory::usable(const std::string &service) const
{
    std::vector<const UpstreamRecord *> found;
    for (const auto &[id, entry] : m_entries) {
        if (entry.record.service == service && isUsable(entry.record))
            found.push_back(&entry.record);
    }
    return found;
}

std::vector<const UpstreamRecord *> UpstreamDirectory::stayingEngines() const
{
    std::vector<const UpstreamRecord *> found;
    for (const auto &[id, entry] : m_entries) {
        if (!entry.record.weightVersions.empty() && !entry.record.draining)
            found.push_back(&entry.record);
    }
    return found;
}

const UpstreamRecord *UpstreamDirectory::find(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

void UpstreamDirectory::setWeightVersion(const std::string &instanceId, const std::string &model,
                                         std::uint64_t version)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return;
    std::uint64_t &known = it->second.record.weightVersions[model];
    known = std::max(known, version);
}

} // namespace fordwood
