// SPDX-License-Identifier: MIT
#include "node/placement_messages.hpp"

#include <doctest/doctest.h>

#include "node/cbor.hpp"
#include "support/placement_examples.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

using Json = nlohmann::json;

template <typename T>
T roundTrip(const T &message)
{
    const auto decoded = decodePlacement(encodePlacement(message));
    REQUIRE(decoded);
    REQUIRE(std::holds_alternative<T>(*decoded));
    return std::get<T>(*decoded);
}

Json fieldsOf(const PlacementMessage &message)
{
    const std::string bytes = encodePlacement(message);
    return Json::from_cbor(bytes);
}

// Whether the decoder accepts the message with one of its fields replaced.
bool isReadWith(const PlacementMessage &message, std::size_t field, const Json &value)
{
    Json fields = fieldsOf(message);
    REQUIRE(field < fields.size());
    fields[field] = value;
    return decodePlacement(encodeCbor(fields)).has_value();
}

} // namespace

TEST_CASE("placement messages: a request arrives as sent [placement][messages]")
{
    const PlacementRequest sent = exampleRequest();
    const PlacementRequest it = roundTrip(sent);
    CHECK(it.id == sent.id);
    CHECK(it.service == sent.service);
    CHECK(it.shard.count == 3);
    CHECK(it.shard.index == 2);
    CHECK(it.prompt.model == "m");
    REQUIRE(it.prompt.parts.size() == 2);
    CHECK(it.prompt.parts[1].id == "own");
    CHECK(it.prompt.parts[1].tokens == 1'670);
    CHECK(it.prompt.contextHash() == sent.prompt.contextHash());
    CHECK(it.prompt.tokensIn == 9'190);
    CHECK(it.prompt.maxTokensOut == 9);
    CHECK(it.isolatedTeam == "t");
    CHECK(it.team == sent.team);
    CHECK(it.fingerprint == sent.fingerprint);
    CHECK(it.avoid == sent.avoid);
    CHECK(it.targetLatency == 600ms);
    CHECK(it.remaining == 8s);
}

TEST_CASE("placement messages: a reply arrives as sent [placement][messages]")
{
    const PlacementReply sent = exampleReply();
    const PlacementReply it = roundTrip(sent);
    CHECK(it.number == sent.number);
    CHECK(it.outcome == PlacementOutcome::Placed);
    CHECK(it.instanceId == "e1");
    CHECK(it.weightVersion == 4);
    CHECK(it.loadBefore == sent.loadBefore);
    CHECK(it.tokensToCompute == 1'670);
    CHECK(it.firstTokenDelay == 241ms);
    CHECK(it.saveTo == sent.saveTo);
    PlacementReply busy;
    busy.outcome = PlacementOutcome::Busy;
    busy.retryAfter = 1'200ms;
    CHECK(roundTrip(busy).outcome == PlacementOutcome::Busy);
    CHECK(roundTrip(busy).retryAfter == 1'200ms);
    CHECK(roundTrip(PlacementReply{}).outcome == PlacementOutcome::Unavailable);
}

TEST_CASE("placement messages: progress arrives as sent [placement][messages]")
{
    const PlacementProgress sent = exampleProgress();
    const PlacementProgress it = roundTrip(sent);
    CHECK(it.process == sent.process);
    REQUIRE(it.placed.size() == 2);
    CHECK(it.placed[0].number == 5);
    CHECK(it.placed[0].instanceId == "e1");
    CHECK(it.placed[0].load.tokensToCompute == 1'670);
    CHECK(it.placed[0].load.tokensHeld == 9'199);
    CHECK(it.placed[0].remaining == 7s);
    CHECK(it.computed == sent.computed);
    CHECK(it.ended == sent.ended);
    CHECK(it.paused == sent.paused);
    CHECK(roundTrip(PlacementProgress{}).isEmpty());
}

// Guards against a message of a later version that is read with the fields of this one.
TEST_CASE("placement messages: unknown versions and kinds are rejected [placement][messages]")
{
    for (const PlacementMessage &it : placementExamples()) {
        CHECK(isReadWith(it, 0, 1U));
        CHECK_FALSE(isReadWith(it, 0, 0U));
        CHECK_FALSE(isReadWith(it, 0, 2U));
        CHECK_FALSE(isReadWith(it, 0, "1"));
        CHECK_FALSE(isReadWith(it, 1, 3U));
        CHECK_FALSE(isReadWith(it, 1, -1));
    }
}

TEST_CASE("placement messages: shards out of range are rejected [placement][messages]")
{
    constexpr std::size_t kCount = 5;
    constexpr std::size_t kIndex = 6;
    const PlacementMessage request = exampleRequest(); // shard 2 of 3
    CHECK(isReadWith(request, kIndex, 0U));
    CHECK_FALSE(isReadWith(request, kIndex, 3U));
    CHECK_FALSE(isReadWith(request, kIndex, -1));
    CHECK_FALSE(isReadWith(request, kCount, 2U));
    CHECK_FALSE(isReadWith(request, kCount, 0U));
    CHECK_FALSE(isReadWith(request, kCount, UINT64_MAX));
}

TEST_CASE("placement messages: outcomes out of range are rejected [placement][messages]")
{
    constexpr std::size_t kOutcome = 3;
    CHECK(isReadWith(exampleReply(), kOutcome, 1U));
    CHECK_FALSE(isReadWith(exampleReply(), kOutcome, 3U));
    CHECK_FALSE(isReadWith(exampleReply(), kOutcome, -1));
}

TEST_CASE("placement messages: a part of a message is rejected [placement][messages]")
{
    for (const PlacementMessage &it : placementExamples()) {
        const std::string bytes = encodePlacement(it);
        for (std::size_t n = 0; n < bytes.size(); ++n)
            CHECK_FALSE(decodePlacement(std::string_view(bytes).substr(0, n)));
        CHECK_FALSE(decodePlacement(bytes + '\0'));
        Json fields = fieldsOf(it);
        fields.erase(fields.size() - 1);
        CHECK_FALSE(decodePlacement(encodeCbor(fields)));
    }
    for (const Json &it : {Json(), Json(1U), Json("text"), Json::array(), Json::object()})
        CHECK_FALSE(decodePlacement(encodeCbor(it)));
}

// Guards against conversions that are not defined, and against sums and times that overflow: a
// scheduler adds up what nodes report.
TEST_CASE("placement messages: numbers outside their range are rejected or bounded "
          "[placement][messages]")
{
    constexpr std::size_t kTokensIn = 9;
    constexpr std::size_t kRemaining = 16;
    const PlacementMessage request = exampleRequest();
    CHECK_FALSE(isReadWith(request, kTokensIn, -1));
    CHECK_FALSE(isReadWith(request, kTokensIn, 1e300));
    CHECK_FALSE(isReadWith(request, kRemaining, 1e300));
    CHECK_FALSE(isReadWith(request, kRemaining, "8000"));
    PlacementRequest extreme = exampleRequest();
    extreme.prompt.tokensIn = SIZE_MAX;
    extreme.prompt.parts[0].tokens = SIZE_MAX;
    extreme.remaining = std::chrono::milliseconds::max();
    const PlacementRequest it = roundTrip(extreme);
    CHECK(it.prompt.tokensIn == 1'000'000'000);
    CHECK(it.prompt.parts[0].tokens == 1'000'000'000);
    CHECK(it.remaining == 24h);
    extreme.remaining = -5ms; // a deadline that has just passed
    CHECK(roundTrip(extreme).remaining == 0ms);
    PlacementProgress progress = exampleProgress();
    progress.placed[0].load = {SIZE_MAX, SIZE_MAX};
    CHECK(roundTrip(progress).placed[0].load.tokensHeld == 1'000'000'000);
}

// Guards against a datagram that overflows the stack of the node.
TEST_CASE("placement messages: deeply nested input is rejected [placement][messages]")
{
    constexpr std::size_t kDatagram = 65'507;
    CHECK_FALSE(decodePlacement(std::string(kDatagram, '\x81'))); // arrays with one element
    CHECK_FALSE(decodePlacement(std::string(kDatagram, '\x9f'))); // arrays of any length
}
