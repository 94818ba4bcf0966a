// SPDX-License-Identifier: MIT
#include "fordwood/store_replica.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

namespace {

// Removed keys that are kept so that a lagging peer can be sent the removals. A few hundred
// upstreams leave in a bad hour; a peer that lags further is sent a snapshot instead.
constexpr std::size_t kMaxRemovedKeys = 1024;

} // namespace

std::optional<std::vector<StoredItem>> StoreReplica::merge(const StoreChanges &changes)
{
    const bool isComplete = changes.since == 0;
    if (changes.epoch < m_version.epoch)
        return std::vector<StoredItem>();
    const bool isRestored = changes.epoch > m_version.epoch;
    if (!isComplete && (isRestored || changes.since > m_version.revision))
        return std::nullopt;
    if (isRestored && !isEmpty())
        return beginEpoch(changes);
    m_version.epoch = changes.epoch;
    std::vector<StoredItem> changed;
    for (const StoredItem &it : changes.items) {
        if (apply(it))
            changed.push_back(it);
    }
    if (isComplete && changes.revision > m_version.revision) {
        // A key missing from a snapshot was removed at some revision up to that of the snapshot.
        std::map<std::string, bool> present;
        for (const StoredItem &it : changes.items)
            present[it.key] = true;
        std::erase_if(m_deferredReads, [&](const auto &it) {
            return it.second.value && !present.contains(it.first);
        });
        for (auto &[key, item] : m_items) {
            if (!item.value || present.contains(key) || m_deferredReads.contains(key)
                || item.revision > changes.revision)
                continue;
            item.value.reset();
            item.revision = changes.revision;
            changed.push_back(item);
        }
    }
    m_version.revision = std::max(m_version.revision, changes.revision);
    if (isComplete && m_historyStart == 0)
        m_historyStart = changes.revision;
    dropOldestRemovals();
    return changed;
}

// It is not known which writes the restore lost, so the replica takes over the state of the
// restored store, except where that is known to be older than its own.
std::vector<StoredItem> StoreReplica::beginEpoch(const StoreChanges &changes)
{
    const std::map<std::string, StoredItem> held = std::exchange(m_items, {});
    m_deferredReads.clear();
    m_wasRestored = true;
    std::vector<StoredItem> changed;
    const auto applyRead = [&](const StoredItem &read, const StoredItem *before) {
        if (before != nullptr && isOlder(*before, read)) {
            keepHeld(*before, read);
            return;
        }
        m_items[read.key] = read;
        if (before == nullptr || before->value != read.value)
            changed.push_back(read);
    };
    for (const StoredItem &it : changes.items) {
        const auto before = held.find(it.key);
        applyRead(it, before == held.end() ? nullptr : &before->second);
    }
    for (const auto &[key, item] : held) {
        if (item.value && !m_items.contains(key))
            applyRead({key, changes.revision, 0, std::nullopt}, &item);
    }
    m_version = changes.version();
    m_historyStart = changes.revision;
    return changed;
}

bool StoreReplica::isOlder(const StoredItem &held, const StoredItem &read) const
{
    return m_policy != nullptr && m_wasRestored && m_policy->isOlder(held, read);
}

// Stored at the revision that was read, so that any later write replaces it.
void StoreReplica::keepHeld(const StoredItem &held, const StoredItem &read)
{
    m_items[held.key] = {held.key, read.revision, read.createRevision, held.value};
    if (held.value.has_value() != read.value.has_value())
        m_deferredReads[held.key] = read;
}

std::vector<StoredItem> StoreReplica::acceptDeferred()
{
    std::vector<StoredItem> changed;
    for (const auto &[key, read] : std::exchange(m_deferredReads, {})) {
        m_items[key] = read;
        changed.push_back(read);
    }
    return changed;
}

StoreChanges StoreReplica::changesSince(const StoreVersion &version) const
{
    const bool isKnown = version.epoch == m_version.epoch && version.revision >= m_historyStart;
    StoreChanges changes;
    changes.since = isKnown ? version.revision : 0;
    changes.revision = m_version.revision;
    changes.epoch = m_version.epoch;
    for (const auto &[key, held] : m_items) {
        // Peers are sent the state read from the store and apply their own restore policy to it.
        const auto deferred = m_deferredReads.find(key);
        const StoredItem &item = deferred == m_deferredReads.end() ? held : deferred->second;
        if (changes.since == 0 ? item.value.has_value() : item.revision > version.revision)
            changes.items.push_back(item);
    }
    return changes;
}

const StoredItem *StoreReplica::find(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() || !it->second.value ? nullptr : &it->second;
}

bool StoreReplica::apply(const StoredItem &item)
{
    const auto [it, isNew] = m_items.try_emplace(item.key, item);
    if (isNew)
        return true;
    if (item.revision <= it->second.revision)
        return false;
    // After a restore operators repeat their writes in the original order, so older values may come
    // first.
    if (item.value && it->second.value && isOlder(it->second, item)) {
        keepHeld(StoredItem(it->second), item);
        return false;
    }
    m_deferredReads.erase(item.key);
    it->second = item;
    return true;
}

void StoreReplica::dropOldestRemovals()
{
    std::vector<std::pair<std::int64_t, const std::string *>> removed;
    for (const auto &[key, item] : m_items) {
        if (!item.value)
            removed.emplace_back(item.revision, &key);
    }
    if (removed.size() <= kMaxRemovedKeys)
        return;
    std::sort(removed.begin(), removed.end());
    removed.resize(removed.size() - kMaxRemovedKeys / 2);
    for (const auto &[revision, key] : removed) {
        m_historyStart = std::max(m_historyStart, revision);
        m_items.erase(*key);
    }
}

} // namespace fordwood
