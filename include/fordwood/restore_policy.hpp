// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RESTORE_POLICY_HPP_INCLUDED
#define FORDWOOD_RESTORE_POLICY_HPP_INCLUDED

namespace fordwood {

struct StoredItem;

// What the keys of the platform's store mean when it was restored from a snapshot: only their
// content tells then which of two states of a key is the older one.
class RestorePolicy
{
public:
    virtual ~RestorePolicy() = default;

    // Whether `read`, which the restored store shows, is an older state of the key than `held`,
    // which was known before. Either may be gone.
    virtual bool isOlder(const StoredItem &held, const StoredItem &read) const = 0;
};

} // namespace fordwood

#endif // FORDWOOD_RESTORE_POLICY_HPP_INCLUDED
