// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_VERSION_HPP_INCLUDED
#define FORDWOOD_STORE_VERSION_HPP_INCLUDED

#include <compare>
#include <cstdint>
#include <tuple>

namespace fordwood {

// A moment of the platform's store. The store may be restored from a snapshot: then its epoch rises
// by one, its revisions go back and are given out again, so that revisions alone order nothing.
struct StoreVersion
{
    std::uint64_t epoch = 0;
    std::int64_t revision = 0; // zero: nothing was read yet

    bool operator==(const StoreVersion &) const = default;
    std::strong_ordering operator<=>(const StoreVersion &other) const
    {
        return std::tie(epoch, revision) <=> std::tie(other.epoch, other.revision);
    }
};

// One number that orders versions as they order themselves, for engines that know fences as such.
// Room for 2^40 writes in an epoch.
constexpr std::int64_t fenceOf(const StoreVersion &version)
{
    constexpr int kRevisionBits = 40;
    return static_cast<std::int64_t>(version.epoch << kRevisionBits) + version.revision;
}

} // namespace fordwood

#endif // FORDWOOD_STORE_VERSION_HPP_INCLUDED
