// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CBOR_HPP_INCLUDED
#define FORDWOOD_NODE_CBOR_HPP_INCLUDED

#include <optional>
#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

namespace fordwood::node {

// The encoding of messages between nodes.
inline std::string encodeCbor(const nlohmann::json &object)
{
    std::string bytes;
    nlohmann::json::to_cbor(object, bytes);
    return bytes;
}

// Reads bytes with `read`; nothing when they are no message of ours.
template <typename T, typename Read>
std::optional<T> decodeCbor(std::string_view bytes, Read read)
{
    try {
        return read(nlohmann::json::from_cbor(bytes.begin(), bytes.end()));
    } catch (const nlohmann::json::exception &) {
        return std::nullopt;
    }
}

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CBOR_HPP_INCLUDED
