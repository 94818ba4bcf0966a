// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CBOR_HPP_INCLUDED
#define FORDWOOD_NODE_CBOR_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace fordwood::node {

// Encodes a message between nodes as CBOR.
std::string encodeCbor(const nlohmann::json &object);

// Parses what encodeCbor() returns. Throws an exception of the JSON library for other bytes, also
// for deeply nested ones, which would overflow the stack.
nlohmann::json parseCbor(std::string_view bytes);

// Decodes bytes and converts them with `read`; nothing if they are not a valid message.
template <typename T, typename Read>
std::optional<T> decodeCbor(std::string_view bytes, Read read)
{
    try {
        return read(parseCbor(bytes));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

// Reads an unsigned number. A number of another type is an error: its conversion is not defined for
// all values.
inline std::uint64_t unsignedNumber(const nlohmann::json &value)
{
    return value.get_ref<const nlohmann::json::number_unsigned_t &>();
}

// Reads a whole number that may be negative. An unsigned one beyond the type's range becomes the
// largest.
std::int64_t signedNumber(const nlohmann::json &value);

// Reads a number from zero to `max`, which may have a fraction.
double boundedNumber(const nlohmann::json &value, double max);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CBOR_HPP_INCLUDED
