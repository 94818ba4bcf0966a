// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_REPLICA_HPP_INCLUDED
#define FORDWOOD_STORE_REPLICA_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/store_version.hpp"

namespace fordwood {

// One key of the platform's store as it stood at a revision.
struct StoredItem
{
    std::string key;
    std::int64_t revision = 0; // of its last change, or of its removal
    std::int64_t created = 0; // revision of its creation; unchanged while the key exists
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
class StoreReplica
{
public:
    // Takes in changes of the store. Returns what has changed here, gone keys included. Changes
    // that begin after this copy's version leave a gap and are not taken: nothing is returned.
    std::optional<std::vector<StoredItem>> merge(const StoreChanges &changes);

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
    bool take(const StoredItem &item);
    void forgetOldest();

    std::map<std::string, StoredItem> m_items; // with the keys that are gone
    StoreVersion m_version;
    std::int64_t m_rememberedSince = 0; // removals up to here may be forgotten
};

} // namespace fordwood

#endif // FORDWOOD_STORE_REPLICA_HPP_INCLUDED
