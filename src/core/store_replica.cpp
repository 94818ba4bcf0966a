// SPDX-License-Identifier: MIT
#include "fordwood/store_replica.hpp"

#include <algorithm>

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
    if (isComplete && changes.revision > m_version.revision)
        removeMissing(changes, changed);
    m_version.revision = std::max(m_version.revision, changes.revision);
    if (isComplete && m_historyStart == 0)
        m_historyStart = changes.revision;
    dropOldestRemovals();
    return changed;
}

// A key missing from a snapshot was removed at some revision up to that of the snapshot.
void StoreReplica::removeMissing(const StoreChanges &snapshot, std::vector<StoredItem> &changed)
{
    std::set<std::string_view> present;
    for (const StoredItem &it : snapshot.items)
        present.insert(it.key);
    std::erase_if(m_deferredReads,
                  [&](const auto &it) { return it.second.value && !present.contains(it.first); });
    for (auto &[key, item] : m_items) {
        m_itemsVisited += 1;
        if (!item.value || present.contains(key) || m_deferredReads.contains(key)
            || item.revision > snapshot.revision)
            continue;
        replace(item, {key, snapshot.revision, item.createRevision, std::nullopt});
        changed.push_back(item);
    }
}

// It is not known which writes the restore lost, so the replica takes over the state of the
// restored store, except where that is known to be older than its own.
std::vector<StoredItem> StoreReplica::beginEpoch(const StoreChanges &changes)
{
    m_byRevision.clear();
    m_removedKeys = 0;
    const Items held = std::exchange(m_items, {});
    m_deferredReads.clear();
    m_wasRestored = true;
    std::vector<StoredItem> changed;
    const auto applyRead = [&](const StoredItem &read, const StoredItem *before) {
        if (before != nullptr && isOlder(*before, read)) {
            keepHeld(*before, read);
            return;
        }
        set(read);
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
    set({held.key, read.revision, read.createRevision, held.value});
    if (held.value.has_value() != read.value.has_value())
        m_deferredReads[held.key] = read;
}

std::vector<StoredItem> StoreReplica::acceptDeferred()
{
    std::vector<StoredItem> changed;
    for (const auto &[key, read] : std::exchange(m_deferredReads, {})) {
        set(read);
        changed.push_back(read);
    }
    return changed;
}

void StoreReplica::set(StoredItem item)
{
    const auto it = m_items.find(item.key);
    if (it != m_items.end()) {
        replace(it->second, std::move(item));
        return;
    }
    const auto added = m_items.emplace(item.key, std::move(item)).first;
    m_byRevision.emplace(added->second.revision, added->first);
    m_removedKeys += added->second.value ? 0 : 1;
}

// The key stays the same.
void StoreReplica::replace(StoredItem &held, StoredItem item)
{
    const auto indexed = m_byRevision.find({held.revision, held.key});
    const std::string_view key = indexed->second;
    m_byRevision.erase(indexed);
    m_byRevision.emplace(item.revision, key);
    m_removedKeys -= held.value ? 0 : 1;
    m_removedKeys += item.value ? 0 : 1;
    held = std::move(item);
}

StoreChanges StoreReplica::changesSince(const StoreVersion &version) const
{
    const bool isKnown = version.epoch == m_version.epoch && version.revision >= m_historyStart;
    StoreChanges changes;
    changes.since = isKnown ? version.revision : 0;
    changes.revision = m_version.revision;
    changes.epoch = m_version.epoch;
    if (changes.since == 0) {
        for (const auto &[key, held] : m_items) {
            m_itemsVisited += 1;
            const StoredItem &item = readState(held);
            if (item.value)
                changes.items.push_back(item);
        }
        return changes;
    }
    for (auto it = m_byRevision.lower_bound({version.revision + 1, {}}); it != m_byRevision.end();
         ++it) {
        m_itemsVisited += 1;
        changes.items.push_back(readState(m_items.find(std::string(it->second))->second));
    }
    return changes;
}

// The state that was read from the store. Peers are sent this one and apply their own restore
// policy to it.
const StoredItem &StoreReplica::readState(const StoredItem &held) const
{
    const auto deferred = m_deferredReads.find(held.key);
    return deferred == m_deferredReads.end() ? held : deferred->second;
}

const StoredItem *StoreReplica::find(const std::string &key) const
{
    const auto it = m_items.find(key);
    return it == m_items.end() || !it->second.value ? nullptr : &it->second;
}

bool StoreReplica::apply(const StoredItem &item)
{
    m_itemsVisited += 1;
    const auto it = m_items.find(item.key);
    if (it == m_items.end()) {
        set(item);
        return true;
    }
    if (item.revision <= it->second.revision)
        return false;
    // After a restore operators repeat their writes in the original order, so older values may come
    // first.
    if (item.value && it->second.value && isOlder(it->second, item)) {
        keepHeld(StoredItem(it->second), item);
        return false;
    }
    m_deferredReads.erase(item.key);
    replace(it->second, item);
    return true;
}

void StoreReplica::dropOldestRemovals()
{
    if (m_removedKeys <= kMaxRemovedKeys)
        return;
    std::vector<std::pair<std::int64_t, std::string>> oldest;
    std::size_t excess = m_removedKeys - kMaxRemovedKeys / 2;
    for (const auto &[revision, key] : m_byRevision) {
        m_itemsVisited += 1;
        if (m_items.find(std::string(key))->second.value)
            continue;
        oldest.emplace_back(revision, key);
        if (--excess == 0)
            break;
    }
    for (const auto &[revision, key] : oldest) {
        m_historyStart = std::max(m_historyStart, revision);
        m_byRevision.erase({revision, key});
        m_items.erase(key);
        m_removedKeys -= 1;
    }
}

} // namespace fordwood
