// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_PEER_CODEC_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_PEER_CODEC_HPP_INCLUDED

#include "fordwood/control.pb.h"
#include "fordwood/replicator.hpp"

namespace fordwood::adapters {

// Converts between the replicator's types and the wire messages.
wire::PeerMessage toWire(const PeerUpdate &update);
PeerUpdate fromWire(const wire::PeerMessage &message);

wire::Member toWire(const Member &member);
Member fromWire(const wire::Member &message);

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_PEER_CODEC_HPP_INCLUDED
