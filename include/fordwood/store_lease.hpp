// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STORE_LEASE_HPP_INCLUDED
#define FORDWOOD_STORE_LEASE_HPP_INCLUDED

#include <cstdint>

namespace fordwood {

// A lease of the platform's store. After a restore the store may assign the same id again, so a
// lease is valid only in the epoch in which it was granted.
struct StoreLease
{
    std::int64_t id = 0; // zero: none
    std::uint64_t epoch = 0;

    bool isValidIn(std::uint64_t current) const { return id != 0 && epoch == current; }
};

} // namespace fordwood

#endif // FORDWOOD_STORE_LEASE_HPP_INCLUDED
