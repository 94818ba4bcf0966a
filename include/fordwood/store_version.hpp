// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_VERSION_HPP_INCLUDED
#define FORDWOOD_STORE_VERSION_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <tuple>

namespace fordwood {

// A version of the platform's store. When the store is restored from a snapshot, its epoch rises by
// one and its revisions go back and are assigned again, so revisions alone do not define an order.
struct StoreVersion
{
    std::uint64_t epoch = 0;
    std::int64_t revision = 0; // zero: nothing was read so far

    bool operator==(const StoreVersion &) const = default;
    std::strong_ordering operator<=>(const StoreVersion &other) const
    {
        return std::tie(epoch, revision) <=> std::tie(other.epoch, other.revision);
    }
};

// Encodes a version as one number with the same order, for engines that expect a plain number as a
// fence. There is room for 2^40 writes in an epoch.
constexpr std::int64_t fenceOf(const StoreVersion &version)
{
    constexpr int kRevisionBits = 40;
    return static_cast<std::int64_t>(version.epoch << kRevisionBits) + version.revision;
}

} // namespace fordwood

#endif // FORDWOOD_STORE_VERSION_HPP_INCLUDED
