// SPDX-License-Identifier: MIT
#include "node/stream_messages.hpp"

#include <algorithm>

#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// A message is an array of the version, its kind and its fields in a fixed order. Placement
// messages have kinds from zero.
constexpr std::uint64_t kVersion = 1;
constexpr std::uint64_t kNotice = 16;
constexpr std::uint64_t kQuery = 17;
constexpr std::uint64_t kReply = 18;

// Bounds on what a peer can make this node remember.
constexpr std::uint64_t kMaxLifetime = 600'000; // milliseconds
constexpr std::size_t kMaxNameBytes = 256;
constexpr std::size_t kMaxVersions = 32;

// Builds that do not compare their replica with the store send neither. Their claim to know all
// versions, which stands one place before the reply's, may be of a replica that lacks some.
constexpr std::size_t kQueryFlag = 5;
constexpr std::size_t kReplyFlag = 7;

constexpr int kBadName = 600; // id of the exception

std::string name(const Json &field)
{
    auto text = field.get<std::string>();
    if (text.empty() || text.size() > kMaxNameBytes)
        throw Json::other_error::create(kBadName, "a name is empty or too long", nullptr);
    return text;
}

Json encode(const StreamNotice &it)
{
    Json streams = Json::array();
    for (const StreamNotice::Stream &stream : it.streams) {
        streams.push_back(stream.key);
        streams.push_back(static_cast<std::uint64_t>(stream.lifetime.count()));
    }
    return {kVersion, kNotice, it.origin.service, it.origin.version, std::move(streams)};
}

StreamNotice decodeNotice(const Json &array)
{
    StreamNotice it{{name(array.at(2)), name(array.at(3))}, {}};
    const Json &streams = array.at(4);
    for (std::size_t n = 0; n < streams.size(); n += 2) {
        const std::uint64_t lifetime = std::min(unsignedNumber(streams.at(n + 1)), kMaxLifetime);
        it.streams.push_back({unsignedNumber(streams.at(n)), milliseconds(lifetime)});
    }
    return it;
}

Json encode(const StreamQuery &it)
{
    return {kVersion, kQuery, it.number, it.key, it.service, it.needsComplete};
}

StreamQuery decodeQuery(const Json &array)
{
    StreamQuery it{unsignedNumber(array.at(2)), unsignedNumber(array.at(3)), name(array.at(4))};
    if (array.size() > kQueryFlag)
        array.at(kQueryFlag).get_to(it.needsComplete);
    return it;
}

Json encode(const StreamReply &it)
{
    const auto &origin = it.knowledge.origin;
    return {kVersion,
            kReply,
            it.number,
            origin ? origin->service : "",
            origin ? origin->version : "",
            it.knowledge.versions,
            it.knowledge.isComplete,
            it.knowledge.isComplete};
}

StreamReply decodeReply(const Json &array)
{
    StreamReply it;
    it.number = unsignedNumber(array.at(2));
    if (!array.at(3).get_ref<const std::string &>().empty())
        it.knowledge.origin = StreamOrigin{name(array.at(3)), name(array.at(4))};
    for (const Json &version : array.at(5)) {
        if (it.knowledge.versions.size() < kMaxVersions)
            it.knowledge.versions.insert(name(version));
    }
    if (array.size() > kReplyFlag)
        array.at(kReplyFlag).get_to(it.knowledge.isComplete);
    return it;
}

std::optional<StreamMessage> decode(const Json &array)
{
    if (unsignedNumber(array.at(0)) != kVersion)
        return std::nullopt;
    switch (unsignedNumber(array.at(1))) {
    case kNotice:
        return decodeNotice(array);
    case kQuery:
        return decodeQuery(array);
    case kReply:
        return decodeReply(array);
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encodeStreamMessage(const StreamMessage &message)
{
    return encodeCbor(std::visit([](const auto &it) { return encode(it); }, message));
}

std::optional<StreamMessage> decodeStreamMessage(std::string_view bytes)
{
    return decodeCbor<StreamMessage>(bytes, [](const Json &it) { return decode(it); });
}

} // namespace fordwood::node
