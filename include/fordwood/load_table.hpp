// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LOAD_TABLE_HPP_INCLUDED
#define FORDWOOD_LOAD_TABLE_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

namespace fordwood {

// The right of one process to have one engine load weights. Never changed once stored, only
// removed.
struct LoadSlot
{
    std::int64_t fence
        = 0; // grows with every slot ever taken; engines refuse orders with an old one
    std::string node;
    std::uint64_t boot = 0; // start of the node's process
    std::string upstream;

    bool operator==(const LoadSlot &) const = default;
};

// All slots in use, as one value of the platform, changed by compare-and-swap only. It bounds how
// many engines load at once, and keeps two nodes from ordering the same engine.
struct LoadTable
{
    std::int64_t lastFence = 0;
    std::uint64_t configVersion = 0; // the newest that a slot was taken for
    std::vector<LoadSlot> slots;

    bool operator==(const LoadTable &) const = default;
};

// The key of the table in the platform.
inline const std::string kLoadTableKey = "fordwood/loads";

} // namespace fordwood

#endif // FORDWOOD_LOAD_TABLE_HPP_INCLUDED
