// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_PLATFORM_LOAD_TABLE_CODEC_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_PLATFORM_LOAD_TABLE_CODEC_HPP_INCLUDED

#include <optional>
#include <string>

#include "fordwood/load_table.hpp"

namespace fordwood::adapters {

// The table of load slots as it is stored.
std::string encodeLoadTable(const LoadTable &table);

// Empty when the bytes are no table.
std::optional<LoadTable> decodeLoadTable(const std::string &bytes);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_PLATFORM_LOAD_TABLE_CODEC_HPP_INCLUDED
