// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_REPLICA_HPP_INCLUDED
#define FORDWOOD_STORE_REPLICA_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "fordwood/restore_policy.hpp"
#include "fordwood/store_version.hpp"

namespace fordwood {

// A key of the platform's store with its value at some revision.
struct StoredItem
{
    std::string key;
    std::int64_t revision = 0; // of the last change or removal
    std::int64_t createRevision = 0; // unchanged while the key exists
    std::optional<std::string> value; // empty: the key was removed

    bool operator==(const StoredItem &) const = default;
};

// Changes that bring a replica from the revision `since` to `revision`.
struct StoreChanges
{
    std::int64_t since = 0; // zero: `items` is a snapshot of all existing keys
    std::int64_t revision = 0;
    std::vector<StoredItem> items;
    std::uint64_t epoch = 0; // the store epoch that the revisions belong to

    StoreVersion version() const { return {epoch, revision}; }
};

// A node's replica of the platform's store. Changes are merged by their store revisions, so they
// may come from the store or from a peer and in any order; an item is never replaced by an older
// one. A new epoch can only start with a snapshot of all keys, and changes of an earlier epoch are
// ignored.
//
// What a merge or a read of changes costs grows with the changes, not with the keys that exist.
//
// When a restored store returns a key in a state that the RestorePolicy considers older than the
// replica's, the replica keeps its own. If both states have a value, it keeps it until the key is
// written again. If the key is removed in one of the two states, it keeps it only until the key is
// written again or acceptDeferred() is called.
class StoreReplica
{
public:
    StoreReplica() = default;
    StoreReplica(const StoreReplica &) = delete;
    StoreReplica &operator=(const StoreReplica &) = delete;
    // `policy` must outlive the replica.
    explicit StoreReplica(const RestorePolicy &policy) : m_policy(&policy) { }

    // Merges changes and returns the items that changed here, including removed keys. Returns
    // nothing, and merges nothing, if the changes start after the replica's version, because those
    // in between would be missing.
    std::optional<std::vector<StoredItem>> merge(const StoreChanges &changes);

    // To be called when all writers have had time to write their keys again after a restore:
    // accepts the states read from the restored store that were deferred so far. Returns the items
    // that changed here.
    std::vector<StoredItem> acceptDeferred();

    // All changes after `version`, or a snapshot if the replica no longer has the removals since
    // then or `version` is of another epoch.
    StoreChanges changesSince(const StoreVersion &version) const;

    // Null if the key does not exist.
    const StoredItem *find(const std::string &key) const;

    // The replica contains every change up to this version.
    const StoreVersion &version() const { return m_version; }
    bool isEmpty() const { return m_version.revision == 0; }

    // The number of keys that exist.
    std::size_t size() const { return m_items.size() - m_removedKeys; }

    // Items looked at by all merges and reads of changes so far.
    std::uint64_t itemsVisited() const { return m_itemsVisited; }

private:
    using Items = std::map<std::string, StoredItem>;

    void set(StoredItem item);
    void replace(StoredItem &held, StoredItem item);
    void removeMissing(const StoreChanges &snapshot, std::vector<StoredItem> &changed);
    const StoredItem &readState(const StoredItem &held) const;
    std::vector<StoredItem> beginEpoch(const StoreChanges &changes);
    bool isOlder(const StoredItem &held, const StoredItem &read) const;
    void keepHeld(const StoredItem &held, const StoredItem &read);
    bool apply(const StoredItem &item);
    void dropOldestRemovals();

    Items m_items; // including removed keys
    // The items by revision. The keys are those in m_items.
    std::set<std::pair<std::int64_t, std::string_view>> m_byRevision;
    std::size_t m_removedKeys = 0; // in m_items
    mutable std::uint64_t m_itemsVisited = 0;
    const RestorePolicy *m_policy = nullptr;
    bool m_wasRestored = false;
    std::map<std::string, StoredItem>
        m_deferredReads; // read from the restored store; m_items keeps the replica's own state
    StoreVersion m_version;
    std::int64_t m_historyStart = 0; // removals up to this revision may have been dropped
};

} // namespace fordwood

#endif // FORDWOOD_STORE_REPLICA_HPP_INCLUDED
