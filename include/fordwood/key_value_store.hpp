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

// A stored value with the revision of the write that made it.
struct StoredValue
{
    std::string value;
    std::int64_t revision = 0;
};

// Why a call to the store gave no answer. For a write the state says whether it may have taken
// effect; a read is always NotRun.
struct StoreError
{
    RunState state = RunState::MayHaveRun;
    std::string text;
};

template <typename T>
using StoreResult = tl::expected<T, StoreError>;

// A write that takes effect only if the key's revision is still the expected one.
struct ConditionalWrite
{
    std::string key;
    std::int64_t expectedRevision = 0; // zero: the key must not exist
    std::string value;
};

// The platform's key-value service. Calls block, for `timeout` at most. The service is slow and
// limited: no caller may use it once per request or once per node.
class KeyValueStore
{
public:
    virtual ~KeyValueStore() = default;

    // The value of a key, or nothing when the key does not exist.
    virtual StoreResult<std::optional<StoredValue>> get(const std::string &key, Duration timeout)
        = 0;

    // The values of several keys, in their order, by one call.
    virtual StoreResult<std::vector<std::optional<StoredValue>>>
    getMany(const std::vector<std::string> &keys, Duration timeout) = 0;

    // Writes all or nothing. True when it took effect, false when a revision was another one.
    virtual StoreResult<bool> write(const std::vector<ConditionalWrite> &writes, Duration timeout)
        = 0;

    // Writes those values whose keys do not exist yet; the others are left as they are.
    virtual StoreResult<bool> writeMissing(const std::vector<ConditionalWrite> &writes,
                                           Duration timeout)
        = 0;
};

} // namespace fordwood

#endif // FORDWOOD_KEY_VALUE_STORE_HPP_INCLUDED
