// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LOAD_TABLE_HPP_INCLUDED
#define FORDWOOD_LOAD_TABLE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

namespace fordwood {

// The right of one process to order one engine to load weights. A slot is never changed once
// stored, only removed.
struct LoadSlot
{
    std::int64_t fence
        = 0; // grows with every slot ever taken; engines reject orders with an old one
    std::string node;
    std::uint64_t boot = 0; // identifies the start of the node's process
    std::string upstream;

    bool operator==(const LoadSlot &) const = default;
};

// All slots in use, stored as one value in the platform's store that is only changed by
// compare-and-swap. It limits how many engines load at once and keeps two nodes from ordering the
// same engine.
struct LoadTable
{
    std::int64_t lastFence = 0;
    std::uint64_t configVersion = 0; // the newest for which a slot was taken
    std::vector<LoadSlot> slots;

    bool operator==(const LoadTable &) const = default;
};

// The key of the table in the platform's store.
inline const std::string kLoadTableKey = "fordwood/loads";

} // namespace fordwood

#endif // FORDWOOD_LOAD_TABLE_HPP_INCLUDED
