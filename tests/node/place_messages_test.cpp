// SPDX-License-Identifier: MIT
#include "node/place_messages.hpp"

#include <doctest/doctest.h>

#include "node/cbor.hpp"
#include "node/placement_messages.hpp"
#include "node/stream_messages.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

const PlaceGroup kGroup{"board", {3, 2}};

template <typename T>
T roundTrip(const T &message)
{
    const auto decoded = decodePlaceMessage(encodePlaceMessage(message));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<T>(*decoded));
    return std::get<T>(*decoded);
}

// Whether the decoder accepts the message with one of its fields replaced.
bool isReadWith(const PlaceMessage &message, std::size_t field, const Json &value)
{
    Json fields = Json::from_cbor(encodePlaceMessage(message));
    REQUIRE(field < fields.size());
    fields[field] = value;
    return decodePlaceMessage(encodeCbor(fields)).has_value();
}

} // namespace

TEST_CASE("place messages: all fields survive the wire [brittle]")
{
    const PlaceAsk ask = roundTrip(PlaceAsk{kGroup, {{1, UINT64_MAX}, {7, 8}, 100ms, 4s}});
    CHECK(ask.group.service == "board");
    CHECK(ask.group.shard.index == 2);
    CHECK(ask.request.id.number == UINT64_MAX);
    CHECK(ask.request.upstreams == std::vector<std::uint64_t>{7, 8});
    CHECK(ask.request.patience == 100ms);
    CHECK(ask.request.lease == 4s);
    const PlaceReply reply = roundTrip(PlaceReply{5, 7, 250ms});
    CHECK(reply.number == 5);
    CHECK(reply.isLent());
    CHECK(reply.retryAfter == 250ms);
    const PlaceReturn returned = roundTrip(PlaceReturn{kGroup, {1, 2}, true});
    CHECK(returned.id == PlacementId{1, 2});
    CHECK(returned.wasRejected);
    const PlaceStatus status = roundTrip(PlaceStatus{kGroup, {1, {2, 3}, {{7, 4}}}});
    CHECK(status.report.numbers == std::vector<std::uint64_t>{2, 3});
    REQUIRE(status.report.others.size() == 1);
    CHECK(status.report.others.front().requests == 4);
}

TEST_CASE("place messages: malformed fields are rejected, and other messages are not taken for "
          "them [brittle][bad-input]")
{
    const PlaceAsk ask{kGroup, {{1, 2}, {7, 8}, 100ms, 4s}};
    CHECK_FALSE(isReadWith(ask, 0, 2U)); // version
    CHECK_FALSE(isReadWith(ask, 1, 99U)); // kind
    CHECK_FALSE(isReadWith(ask, 2, Json{"board", 2U, 2U})); // no such shard
    CHECK_FALSE(isReadWith(ask, 2, Json{std::string(1'000, 'x'), 1U, 0U}));
    CHECK_FALSE(isReadWith(ask, 4, -1));
    CHECK_FALSE(isReadWith(ask, 5, Json(std::vector<std::uint64_t>(10'000))));
    CHECK_FALSE(isReadWith(ask, 6, 0.5));
    CHECK_FALSE(isReadWith(PlaceReturn{kGroup, {1, 2}, true}, 5, "yes"));
    CHECK_FALSE(decodePlaceMessage(""));
    CHECK_FALSE(decodePlacement(encodePlaceMessage(ask)));
    CHECK_FALSE(decodeStreamMessage(encodePlaceMessage(ask)));
    CHECK_FALSE(decodePlaceMessage(encodeStreamMessage(StreamQuery{1, 2, "board"})));
}
