// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_REPLICA_HPP_INCLUDED
#define FORDWOOD_STORE_REPLICA_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/restore_policy.hpp"
#include "fordwood/store_version.hpp"

namespace fordwood {

// One key of the platform's store as it stood at a revision.
struct StoredItem
{
    std::string key;
    std::int64_t revision = 0; // of its last change, or of its removal
    std::int64_t createRevision = 0; // revision of its creation; unchanged while the key exists
    std::optional<std::string> value; // nothing: the key is gone

    bool operator==(const StoredItem &) const = default;
};

// Items that bring a replica from `since` to `revision`.
struct StoreChanges
{
    std::int64_t since = 0; // zero: the items are all keys there are
    std::int64_t revision = 0;
    std::vector<StoredItem> items;
    std::uint64_t epoch = 0; // of all revisions here

    StoreVersion version() const { return {epoch, revision}; }
};

// A node's copy of the platform's store. Copies are merged by the revisions of the store, so that
// it does not matter whether a change came from the store or from a peer, nor in which order: a
// copy never goes back. A later epoch begins with all keys there are; what is of an earlier one is
// not taken.
//
// Of keys that a restored store shows in an older state the copy keeps what it held: between two
// values for good, where the key is gone in one of the two until it is written again or settle() is
// called.
class StoreReplica
{
public:
    StoreReplica() = default;
    // `policy` must outlive the copy.
    explicit StoreReplica(const RestorePolicy &policy) : m_policy(&policy) { }

    // Takes in changes of the store. Returns what has changed here, gone keys included. Changes
    // that begin after this copy's version leave a gap and are not taken: nothing is returned.
    std::optional<std::vector<StoredItem>> merge(const StoreChanges &changes);

    // Whoever was to write again after a restore has done so: takes what the store has shown since.
    // Returns what has changed here.
    std::vector<StoredItem> acceptDeferred();

    // All changes after a version; everything when the copy no longer remembers so far back, or the
    // version is of another epoch.
    StoreChanges changesSince(const StoreVersion &version) const;

    // The value of a key; null when it is absent.
    const StoredItem *find(const std::string &key) const;

    // Every change up to this version is in the copy.
    const StoreVersion &version() const { return m_version; }
    bool isEmpty() const { return m_version.revision == 0; }

private:
    std::vector<StoredItem> beginEpoch(const StoreChanges &changes);
    bool isOlder(const StoredItem &held, const StoredItem &read) const;
    void keepHeld(const StoredItem &held, const StoredItem &read);
    bool apply(const StoredItem &item);
    void dropOldestRemovals();

    std::map<std::string, StoredItem> m_items; // with the keys that are gone
    const RestorePolicy *m_policy = nullptr;
    bool m_wasRestored = false;
    std::map<std::string, StoredItem> m_deferredReads; // as read; m_items has what was held
    StoreVersion m_version;
    std::int64_t m_historyStart = 0; // removals up to here may be forgotten
};

} // namespace fordwood

#endif // FORDWOOD_STORE_REPLICA_HPP_INCLUDED
