// SPDX-License-Identifier: MIT
#include "fordwood/upstream_directory.hpp"

#include <algorithm>

namespace fordwood {

void UpstreamDirectory::put(UpstreamRecord record)
{
    const auto [it, isNew] = m_entries.try_emplace(record.instanceId);
    Entry &entry = it->second;
    if (!isNew && entry.record.service != record.service)
        m_services[entry.record.service].erase(it->first);
    if (!isNew)
        m_versions.remove(entry.record.service, entry.record.softwareVersion);
    m_versions.add(record.service, record.softwareVersion);
    m_services[record.service][it->first] = &entry;
    std::map<std::string, Weights> weights;
    for (auto &[model, version] : record.weightVersions) {
        const Weights &merged = weights[model] = mergeObserved(entry, model, version);
        if (merged.observed)
            version = merged.observed->version;
    }
    entry.weights = std::move(weights);
    entry.record = std::move(record);
    entry.record.draining
        = entry.record.draining || m_reportedDraining.contains(entry.record.instanceId);
    m_expired.erase(entry.record.instanceId);
    m_changed.insert(entry.record.instanceId);
}

// An answer may show newer weights before the record lists them, but only for a limited time. A
// record that keeps listing older weights is right: an engine goes back to them if it executes a
// late order after a restart. Otherwise the engine would be considered up to date for good, and
// would reject all its requests.
UpstreamDirectory::Weights UpstreamDirectory::mergeObserved(const Entry &entry,
                                                            const std::string &model,
                                                            std::uint64_t recorded) const
{
    Weights weights;
    weights.recorded = recorded;
    weights.recordedAt = m_clock.now();
    const auto existing = entry.weights.find(model);
    if (existing == entry.weights.end())
        return weights;
    weights.lastObserved = existing->second.lastObserved;
    if (!existing->second.observed)
        return weights;
    const ObservedWeights &observed = *existing->second.observed;
    if (observed.version > recorded && !isRecordDue(observed))
        weights.observed = observed;
    return weights;
}

// Whether the record should list the observed weights by now. Nothing is written while the store is
// unreachable.
bool UpstreamDirectory::isRecordDue(const ObservedWeights &observed) const
{
    return m_storeReachable
           && m_clock.now() - std::max(observed.seen, m_reachableSince)
                  >= m_limits.recordUpdateWithin;
}

// Returns whether unconfirmed weights are left.
bool UpstreamDirectory::dropUnconfirmed(Entry &entry)
{
    bool isAnyLeft = false;
    for (auto &[model, weights] : entry.weights) {
        const bool isUnconfirmed = weights.observed && isRecordDue(*weights.observed);
        // Also while the store is unreachable: the engine is tried again with the version that it
        // recorded last.
        const bool isRejectionOver
            = weights.rejectedAt
              && m_clock.now() - *weights.rejectedAt >= m_limits.recordUpdateWithin;
        if (!isUnconfirmed && !isRejectionOver) {
            isAnyLeft = isAnyLeft || weights.observed || weights.rejectedAt;
            continue;
        }
        weights.observed.reset();
        weights.rejectedAt.reset();
        if (weights.recorded)
            entry.record.weightVersions[model] = *weights.recorded;
        else
            entry.record.weightVersions.erase(model);
        m_changed.insert(entry.record.instanceId);
    }
    return isAnyLeft;
}

void UpstreamDirectory::remove(const std::string &instanceId, bool mayBeExpiry)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return;
    if (mayBeExpiry && !it->second.record.draining)
        m_expired.insert(instanceId);
    else
        erase(it);
}

void UpstreamDirectory::erase(Entries::iterator entry)
{
    m_services[entry->second.record.service].erase(entry->first);
    m_versions.remove(entry->second.record.service, entry->second.record.softwareVersion);
    m_unconfirmed.erase(entry->first);
    m_reportedDraining.erase(entry->first);
    m_expired.erase(entry->first);
    m_changed.insert(entry->first);
    m_entries.erase(entry);
}

bool UpstreamDirectory::reportDraining(const std::string &instanceId)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end() || !m_reportedDraining.insert(instanceId).second)
        return false;
    it->second.record.draining = true;
    m_changed.insert(instanceId);
    return true;
}

template <typename Predicate>
bool UpstreamDirectory::anyOfService(const std::string &service, Predicate predicate) const
{
    const auto entries = m_services.find(service);
    return entries != m_services.end()
           && std::any_of(entries->second.begin(), entries->second.end(),
                          [&](const auto &it) { return predicate(it.second->record); });
}

bool UpstreamDirectory::hasDraining(const std::string &service) const
{
    return anyOfService(service, [](const UpstreamRecord &it) { return it.draining; });
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
    return anyOfService(service, [this](const UpstreamRecord &it) {
        return !it.draining && m_evacuated.contains(it.failureDomain);
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
    std::erase_if(m_unconfirmed, [this](const std::string &it) {
        m_entriesVisited += 1;
        return !dropUnconfirmed(m_entries.at(it));
    });
    if (!m_storeReachable || m_clock.now() - m_reachableSince < m_limits.republishWithin)
        return {};
    std::vector<std::string> gone(m_expired.begin(), m_expired.end());
    for (const std::string &it : gone) {
        m_entriesVisited += 1;
        erase(m_entries.find(it));
    }
    return gone;
}

std::vector<const UpstreamRecord *> UpstreamDirectory::usable(const std::string &service) const
{
    std::vector<const UpstreamRecord *> found;
    anyOfService(service, [&](const UpstreamRecord &it) {
        if (isUsable(it))
            found.push_back(&it);
        return false;
    });
    return found;
}

const UpstreamRecord *UpstreamDirectory::find(const std::string &instanceId) const
{
    const auto it = m_entries.find(instanceId);
    return it == m_entries.end() ? nullptr : &it->second.record;
}

bool UpstreamDirectory::setWeightVersion(const std::string &instanceId, const std::string &model,
                                         const ObservedWeights &weights)
{
    const auto it = m_entries.find(instanceId);
    const bool isNone = weights.version == 0; // versions begin at 1
    if (it == m_entries.end() || isNone || isRecordDue(weights))
        return false;
    Entry &entry = it->second;
    const auto existing = entry.weights.find(model);
    Weights next = existing == entry.weights.end() ? Weights{} : existing->second;
    if (!isNewer(next, weights))
        return false;
    const auto before = entry.record.weightVersions.find(model);
    const bool isChange
        = before == entry.record.weightVersions.end() || before->second != weights.version;
    next.lastObserved = weights.seen;
    next.rejectedAt.reset();
    if (next.recorded == weights.version)
        next.observed.reset();
    else
        next.observed = weights;
    entry.weights[model] = next;
    entry.record.weightVersions[model] = weights.version;
    m_unconfirmed.insert(instanceId);
    if (isChange)
        m_changed.insert(instanceId);
    return isChange;
}

// Whether the observation is newer than what is known.
bool UpstreamDirectory::isNewer(const Weights &weights, const ObservedWeights &seen)
{
    if (seen.seen <= weights.lastObserved)
        return false;
    // Older weights that were observed before the record was read have been replaced since.
    return !weights.recorded || seen.version >= *weights.recorded || seen.seen > weights.recordedAt;
}

bool UpstreamDirectory::rejectWeights(const std::string &instanceId, const std::string &model,
                                      const ObservedWeights &rejected)
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return false;
    std::map<std::string, std::uint64_t> &versions = it->second.record.weightVersions;
    const auto version = versions.find(model);
    Weights &weights = it->second.weights[model];
    const bool isLater = rejected.seen > std::max(weights.lastObserved, weights.recordedAt);
    if (!isLater || version == versions.end() || version->second != rejected.version)
        return false;
    weights.observed.reset();
    weights.rejectedAt = rejected.seen;
    weights.lastObserved = rejected.seen;
    versions.erase(version);
    m_unconfirmed.insert(instanceId);
    m_changed.insert(instanceId);
    return true;
}

bool UpstreamDirectory::isAheadOfRecord(const std::string &instanceId, const std::string &model,
                                        std::uint64_t version) const
{
    const auto it = m_entries.find(instanceId);
    if (it == m_entries.end())
        return false;
    const auto weights = it->second.weights.find(model);
    return weights != it->second.weights.end() && weights->second.observed
           && weights->second.observed->version == version;
}

} // namespace fordwood
