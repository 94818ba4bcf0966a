// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_KEY_VALUE_STORE_HPP_INCLUDED
#define FORDWOOD_KEY_VALUE_STORE_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

#include "fordwood/clock.hpp"
#include "fordwood/reason.hpp"

namespace fordwood {

// A stored value and the revision of the write that stored it.
struct StoredValue
{
    std::string value;
    std::int64_t revision = 0;
};

// Why a call to the store failed. For a write, the state shows whether it may have taken effect;
// for a read, it is always NotRun.
struct StoreError
{
    RunState state = RunState::MayHaveRun;
    std::string text;
};

template <typename T>
using StoreResult = tl::expected<T, StoreError>;

// A write that takes effect only if the key still has the expected revision.
struct ConditionalWrite
{
    std::string key;
    std::int64_t expectedRevision = 0; // zero: the key must not exist
    std::string value;
};

// The platform's key-value service. Calls block for at most `timeout`. The service is slow and has
// a low capacity: it must not be called for every request or by every node.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    // The value of a key, or nothing when the key does not exist.
    virtual StoreResult<std::optional<StoredValue>> get(const std::string &key, Duration timeout)
        = 0;

    // The values of several keys, in the order of `keys`, in one call.
    virtual StoreResult<std::vector<std::optional<StoredValue>>>
    getMany(const std::vector<std::string> &keys, Duration timeout) = 0;

    // Writes all values or none. False when a revision did not match.
    virtual StoreResult<bool> write(const std::vector<ConditionalWrite> &writes, Duration timeout)
        = 0;

    // Writes the values whose keys do not exist. Existing keys are not changed.
    virtual StoreResult<bool> writeMissing(const std::vector<ConditionalWrite> &writes,
                                           Duration timeout)
        = 0;
};

} // namespace fordwood

#endif // FORDWOOD_KEY_VALUE_STORE_HPP_INCLUDED
