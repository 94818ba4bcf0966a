// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_KEY_CODEC_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_KEY_CODEC_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>

#include "fordwood/control.pb.h"
#include "fordwood/key_registry.hpp"

namespace fordwood::adapters {

// Converts between the types of the key registry and the wire messages.
wire::KeptReply toWire(const StoredAnswer &answer);
StoredAnswer fromWire(const wire::KeptReply &message);
ClaimAnswer fromWire(const wire::ClaimReply &message);
IdempotencyKey keyOf(const wire::Claim &message);
IdempotencyKey keyOf(const wire::ClaimEnd &message);
wire::TenureChains toWire(const std::map<std::uint32_t, TenureChain> &chains);
std::map<std::uint32_t, TenureChain> fromWire(const wire::TenureChains &message);

wire::ClaimEnd toWire(const HandedKey &key);
HandedKeys fromWire(const wire::HandedKeys &message);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_KEY_CODEC_HPP_INCLUDED
