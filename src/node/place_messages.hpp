// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_PLACE_MESSAGES_HPP_INCLUDED
#define FORDWOOD_NODE_PLACE_MESSAGES_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <variant>
#include <vector>

#include "fordwood/place_lender.hpp"
#include "fordwood/scheduler_ranking.hpp"

// Messages between a node that needs places at brittle upstreams and the node that lends them.
namespace fordwood::node {

// The upstreams whose places one lender lends: a shard of a service.
struct PlaceGroup
{
    std::string service;
    EngineShard shard;

    bool operator==(const PlaceGroup &) const = default;
    bool operator<(const PlaceGroup &other) const
    {
        return std::tie(service, shard.count, shard.index)
               < std::tie(other.service, other.shard.count, other.shard.index);
    }
};

struct PlaceAsk
{
    PlaceGroup group;
    PlaceRequest request;
};

// A place is free again.
struct PlaceReturn
{
    PlaceGroup group;
    PlacementId id;
    bool wasRejected = false;
};

// The lender confirms it by an empty reply, so that a node finds out whether the lender is there.
struct PlaceStatus
{
    PlaceGroup group;
    PlaceReport report;
};

using PlaceMessage = std::variant<PlaceAsk, PlaceReply, PlaceReturn, PlaceStatus>;

// Messages are encoded as CBOR. The decoder returns nothing for malformed input and for messages of
// an unknown version.
std::string encodePlaceMessage(const PlaceMessage &message);
std::optional<PlaceMessage> decodePlaceMessage(std::string_view bytes);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_PLACE_MESSAGES_HPP_INCLUDED
