// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PACKING_HPP_INCLUDED
#define FORDWOOD_NODE_PACKING_HPP_INCLUDED

#include <optional>
#include <string>
#include <string_view>

namespace fordwood::node {

// Compresses a large message between nodes. Fast rather than small: many nodes share one result.
std::string pack(std::string_view bytes);

// Returns nothing if the bytes were not made by pack() or are damaged.
std::optional<std::string> unpack(std::string_view packed);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PACKING_HPP_INCLUDED
