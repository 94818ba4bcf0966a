// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RESTORE_POLICY_HPP_INCLUDED
#define FORDWOOD_RESTORE_POLICY_HPP_INCLUDED

namespace fordwood {

struct StoredItem;

// Compares states of a key after the platform's store was restored from a snapshot. After that only
// the content of the items shows which of two states is older.
class RestorePolicy
{
public:
    virtual ~RestorePolicy() = default;

    // Whether `read`, the state in the restored store, is older than `held`, the state known
    // before. Either may be deleted.
    virtual bool isOlder(const StoredItem &held, const StoredItem &read) const = 0;
};

} // namespace fordwood

#endif // FORDWOOD_RESTORE_POLICY_HPP_INCLUDED
