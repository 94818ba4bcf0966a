// SPDX-License-Identifier: MIT
#include "node/cbor.hpp"

#include <algorithm>
#include <array>
#include <limits>

namespace fordwood::node {

namespace {

using Json = nlohmann::json;

// Messages between nodes are nested less than ten levels deep.
constexpr std::size_t kMaxDepth = 32;

// Ids of exceptions.
constexpr int kNotAMessage = 602;
constexpr int kOutOfRange = 603;

// The upper three bits of an item's first byte (RFC 8949, section 3).
enum class MajorType : std::uint8_t { Unsigned, Negative, Bytes, Text, Array, Map, Tag, Simple };

// Removes the first byte of an item and the number after it from the front of the bytes. Nothing if
// they end before, or if the length of the item is indefinite.
struct ItemHead
{
    MajorType type;
    std::uint64_t argument;
};
std::optional<ItemHead> takeHead(std::string_view &bytes)
{
    constexpr unsigned kTypeShift = 5;
    constexpr unsigned kArgumentMask = 0x1F;
    constexpr unsigned kOneByteFollows = 24; // up to this value, the argument itself
    constexpr unsigned kEightBytesFollow = 27;
    if (bytes.empty())
        return std::nullopt;
    const auto first = static_cast<unsigned char>(bytes.front());
    bytes.remove_prefix(1);
    ItemHead head{static_cast<MajorType>(first >> kTypeShift), first & kArgumentMask};
    if (head.argument < kOneByteFollows)
        return head;
    if (head.argument > kEightBytesFollow)
        return std::nullopt;
    const std::size_t n = std::size_t{1} << (head.argument - kOneByteFollows);
    if (bytes.size() < n)
        return std::nullopt;
    head.argument = 0;
    for (const char it : bytes.substr(0, n))
        head.argument = head.argument << 8 | static_cast<unsigned char>(it);
    bytes.remove_prefix(n);
    return head;
}

// Whether the bytes begin with an item as encodeCbor() writes them: of definite lengths, without
// tags and not deeply nested. The library reads each level of nesting, also that of the parts of a
// text of indefinite length, in a call of its own, which overflows the stack at some ten thousand.
bool isShallow(std::string_view bytes)
{
    std::array<std::uint64_t, kMaxDepth> missing{}; // items of each open array or map
    std::size_t depth = 0;
    do {
        const auto head = takeHead(bytes);
        if (!head || head->type == MajorType::Tag)
            return false;
        if (depth > 0)
            missing[depth - 1] -= 1;
        const bool hasLength = head->type >= MajorType::Bytes && head->type <= MajorType::Map;
        if (hasLength && head->argument > bytes.size()) // each item takes a byte or more
            return false;
        if (head->type == MajorType::Bytes || head->type == MajorType::Text) {
            bytes.remove_prefix(head->argument);
        } else if (head->type == MajorType::Array || head->type == MajorType::Map) {
            if (depth == kMaxDepth)
                return false;
            missing[depth++] = head->argument * (head->type == MajorType::Map ? 2 : 1);
        }
        while (depth > 0 && missing[depth - 1] == 0)
            depth -= 1;
    } while (depth > 0);
    return true;
}

} // namespace

std::string encodeCbor(const Json &object)
{
    std::string bytes;
    Json::to_cbor(object, bytes);
    return bytes;
}

Json parseCbor(std::string_view bytes)
{
    if (!isShallow(bytes))
        throw Json::other_error::create(kNotAMessage, "the bytes are no message of a node",
                                        nullptr);
    return Json::from_cbor(bytes.begin(), bytes.end());
}

std::int64_t signedNumber(const Json &value)
{
    constexpr std::uint64_t kMax = std::numeric_limits<std::int64_t>::max();
    if (value.is_number_unsigned())
        return static_cast<std::int64_t>(std::min(value.get<std::uint64_t>(), kMax));
    return value.get_ref<const Json::number_integer_t &>();
}

double boundedNumber(const Json &value, double max)
{
    const double number = value.is_number() ? value.get<double>() : -1.0;
    if (!(number >= 0.0 && number <= max))
        throw Json::other_error::create(kOutOfRange, "a number is out of range", nullptr);
    return number;
}

} // namespace fordwood::node
