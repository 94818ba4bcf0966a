// SPDX-License-Identifier: MIT
#include "node/place_messages.hpp"

#include <algorithm>
#include <chrono>

#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// A message is an array of the version, its kind and its fields in a fixed order. Placement and
// stream messages have other kinds.
constexpr std::uint64_t kVersion = 1;
constexpr std::uint64_t kAsk = 32;
constexpr std::uint64_t kReply = 33;
constexpr std::uint64_t kReturn = 34;
constexpr std::uint64_t kStatus = 35;

// Bounds on what a peer can make this node remember.
constexpr std::uint64_t kMaxMilliseconds = 600'000;
constexpr std::uint64_t kMaxRequests = 1'000'000;
constexpr std::uint64_t kMaxShards = 100'000;
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxRows = 4'096;

constexpr int kBadField = 601; // id of the exception

milliseconds decodeTime(const Json &field)
{
    return milliseconds(std::min(unsignedNumber(field), kMaxMilliseconds));
}

std::uint64_t encodeTime(milliseconds time)
{
    return static_cast<std::uint64_t>(std::max(time, milliseconds(0)).count());
}

std::vector<std::uint64_t> decodeList(const Json &list)
{
    if (list.size() > kMaxRows)
        throw Json::other_error::create(kBadField, "a list is too long", nullptr);
    std::vector<std::uint64_t> numbers;
    numbers.reserve(list.size());
    for (const Json &it : list)
        numbers.push_back(unsignedNumber(it));
    return numbers;
}

Json encodeGroup(const PlaceGroup &group)
{
    return {group.service, group.shard.count, group.shard.index};
}

PlaceGroup decodeGroup(const Json &array)
{
    PlaceGroup group;
    array.at(0).get_to(group.service);
    group.shard.count = unsignedNumber(array.at(1));
    group.shard.index = unsignedNumber(array.at(2));
    if (group.service.size() > kMaxNameBytes || group.shard.count > kMaxShards
        || group.shard.index >= group.shard.count)
        throw Json::other_error::create(kBadField, "the group is not valid", nullptr);
    return group;
}

Json encode(const PlaceAsk &it)
{
    return {kVersion,
            kAsk,
            encodeGroup(it.group),
            it.request.id.process,
            it.request.id.number,
            it.request.upstreams,
            encodeTime(it.request.patience),
            encodeTime(it.request.lease)};
}

PlaceAsk decodeAsk(const Json &array)
{
    return {decodeGroup(array.at(2)),
            {{unsignedNumber(array.at(3)), unsignedNumber(array.at(4))},
             decodeList(array.at(5)),
             decodeTime(array.at(6)),
             decodeTime(array.at(7))}};
}

Json encode(const PlaceReply &it)
{
    return {kVersion, kReply, it.number, it.upstream, encodeTime(it.retryAfter)};
}

PlaceReply decodeReply(const Json &array)
{
    return {unsignedNumber(array.at(2)), unsignedNumber(array.at(3)), decodeTime(array.at(4))};
}

Json encode(const PlaceReturn &it)
{
    return {kVersion, kReturn, encodeGroup(it.group), it.id.process, it.id.number, it.wasRejected};
}

PlaceReturn decodeReturn(const Json &array)
{
    return {decodeGroup(array.at(2)),
            {unsignedNumber(array.at(3)), unsignedNumber(array.at(4))},
            array.at(5).get<bool>()};
}

Json encode(const PlaceStatus &it)
{
    Json others = Json::array();
    for (const PlaceReport::Count &row : it.report.others) {
        others.push_back(row.upstream);
        others.push_back(row.requests);
    }
    return {kVersion,          kStatus,           encodeGroup(it.group),
            it.report.process, it.report.numbers, std::move(others)};
}

PlaceStatus decodeStatus(const Json &array)
{
    PlaceStatus it;
    it.group = decodeGroup(array.at(2));
    it.report.process = unsignedNumber(array.at(3));
    it.report.numbers = decodeList(array.at(4));
    const std::vector<std::uint64_t> others = decodeList(array.at(5));
    for (std::size_t n = 0; n + 1 < others.size(); n += 2)
        it.report.others.push_back({others[n], std::min(others[n + 1], kMaxRequests)});
    return it;
}

std::optional<PlaceMessage> decode(const Json &array)
{
    if (unsignedNumber(array.at(0)) != kVersion)
        return std::nullopt;
    switch (unsignedNumber(array.at(1))) {
    case kAsk:
        return decodeAsk(array);
    case kReply:
        return decodeReply(array);
    case kReturn:
        return decodeReturn(array);
    case kStatus:
        return decodeStatus(array);
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encodePlaceMessage(const PlaceMessage &message)
{
    return encodeCbor(std::visit([](const auto &it) { return encode(it); }, message));
}

std::optional<PlaceMessage> decodePlaceMessage(std::string_view bytes)
{
    return decodeCbor<PlaceMessage>(bytes, [](const Json &it) { return decode(it); });
}

} // namespace fordwood::node
