// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_PLATFORM_LOAD_TABLE_CODEC_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_PLATFORM_LOAD_TABLE_CODEC_HPP_INCLUDED

#include <optional>
#include <string>

#include "fordwood/load_table.hpp"

namespace fordwood::adapters {

// Encodes the table of load slots for storage.
std::string encodeLoadTable(const LoadTable &table);

// Returns nothing if the bytes are not an encoded table.
std::optional<LoadTable> decodeLoadTable(const std::string &bytes);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_PLATFORM_LOAD_TABLE_CODEC_HPP_INCLUDED
