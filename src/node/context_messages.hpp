// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTEXT_MESSAGES_HPP_INCLUDED
#define FORDWOOD_NODE_CONTEXT_MESSAGES_HPP_INCLUDED

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fordwood/context_store_log.hpp"

namespace fordwood::node {

// The question of a node to a relay, as the target of a GET request: where it stands in the events
// of each store of kept context.
std::string contextNewsTarget(const std::vector<ContextStorePosition> &positions);

// Nothing when the target is another one, or no question of ours.
std::optional<std::vector<ContextStorePosition>> readContextNewsTarget(std::string_view target);

// The relay's answer, in CBOR.
std::string encodeContextNews(const std::vector<StoreNews> &news);
std::optional<std::vector<StoreNews>> decodeContextNews(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTEXT_MESSAGES_HPP_INCLUDED
