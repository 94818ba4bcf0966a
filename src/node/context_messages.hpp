// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_MESSAGES_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_MESSAGES_HPP_INCLUDED

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fordwood/context_store_log.hpp"

namespace fordwood::node {

// Encodes a node's request to a relay as the target of a GET request: the node's position in the
// events of each context store.
std::string contextUpdatesTarget(const std::vector<ContextStorePosition> &positions);

// Nothing if the target is a different one or malformed.
std::optional<std::vector<ContextStorePosition>> parseContextUpdatesTarget(std::string_view target);

// The relay's answer, encoded as CBOR.
std::string encodeContextUpdates(const std::vector<ContextStoreUpdate> &updates);
std::optional<std::vector<ContextStoreUpdate>> decodeContextUpdates(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_MESSAGES_HPP_INCLUDED
