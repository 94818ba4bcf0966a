// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_VERSION_HPP_INCLUDED
#define FORDWOOD_STORE_VERSION_HPP_INCLUDED

#include <compare>
#include <cstdint>

namespace fordwood {

// A moment of the platform's store. The store may be restored from a snapshot: then its epoch rises
// by one, its revisions go back and are given out again, so that revisions alone order nothing.
struct StoreVersion
{
    std::uint64_t epoch = 0;
    std::int64_t revision = 0; // zero: nothing was read yet

    auto operator<=>(const StoreVersion &) const = default;
};

} // namespace fordwood

#endif // FORDWOOD_STORE_VERSION_HPP_INCLUDED
