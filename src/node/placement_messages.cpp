// SPDX-License-Identifier: MIT
#include "node/placement_messages.hpp"

#include <algorithm>

#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;
using std::chrono::milliseconds;

// A message is an array of the version, its kind and its fields in a fixed order.
constexpr std::uint64_t kVersion = 1;
constexpr std::uint64_t kRequest = 0;
constexpr std::uint64_t kReply = 1;
constexpr std::uint64_t kProgress = 2;

// Bounds on what a message states, so that sums and times computed from it do not overflow. Larger
// values make no difference to a decision.
constexpr std::uint64_t kMaxCount = 1'000'000'000; // tokens, requests
constexpr std::int64_t kMaxTime = 86'400'000; // milliseconds
constexpr std::size_t kMaxShards = 65'536;

// Reads the fields of a message one after the other.
class Fields
{
public:
    explicit Fields(const Json &array, std::size_t first = 0) : m_array(array), m_next(first) { }

    const Json &next() { return m_array.at(m_next++); }

    template <typename T>
    void read(T &field)
    {
        next().get_to(field);
    }

    void read(std::uint64_t &field) { field = unsignedNumber(next()); }

    void read(std::vector<std::uint64_t> &field)
    {
        for (const Json &it : next())
            field.push_back(unsignedNumber(it));
    }

    void read(milliseconds &field)
    {
        const auto time = next().get_ref<const Json::number_integer_t &>();
        field = milliseconds(std::clamp<std::int64_t>(time, 0, kMaxTime));
    }

    void readCount(std::size_t &field) { field = count(next()); }

    void read(UpstreamLoad &load)
    {
        readCount(load.running);
        readCount(load.tokensToCompute);
        readCount(load.tokensHeld);
    }

    static std::size_t count(const Json &value)
    {
        return std::min(unsignedNumber(value), kMaxCount);
    }

private:
    const Json &m_array;
    std::size_t m_next;
};

Json encodeParts(const std::vector<PromptPart> &parts)
{
    Json list = Json::array();
    for (const PromptPart &it : parts) {
        list.push_back(it.id);
        list.push_back(it.tokens);
    }
    return list;
}

std::vector<PromptPart> decodeParts(const Json &list)
{
    std::vector<PromptPart> parts;
    for (std::size_t n = 0; n < list.size(); n += 2)
        parts.push_back({list.at(n).get<std::string>(), Fields::count(list.at(n + 1))});
    return parts;
}

Json encode(const PlacementRequest &it)
{
    return {kVersion,
            kRequest,
            it.id.process,
            it.id.number,
            it.service,
            it.shard.count,
            it.shard.index,
            it.prompt.model,
            encodeParts(it.prompt.parts),
            it.prompt.tokensIn,
            it.prompt.maxTokensOut,
            it.isolatedTeam,
            it.team,
            it.fingerprint,
            it.avoid,
            it.targetLatency.count(),
            it.remaining.count()};
}

std::optional<PlacementRequest> decodeRequest(Fields fields)
{
    PlacementRequest it;
    fields.read(it.id.process);
    fields.read(it.id.number);
    fields.read(it.service);
    fields.read(it.shard.count);
    fields.read(it.shard.index);
    fields.read(it.prompt.model);
    it.prompt.parts = decodeParts(fields.next());
    fields.readCount(it.prompt.tokensIn);
    fields.readCount(it.prompt.maxTokensOut);
    fields.read(it.isolatedTeam);
    fields.read(it.team);
    fields.read(it.fingerprint);
    fields.read(it.avoid);
    fields.read(it.targetLatency);
    fields.read(it.remaining);
    if (it.shard.index >= it.shard.count || it.shard.count > kMaxShards)
        return std::nullopt;
    return it;
}

Json encode(const PlacementReply &it)
{
    return {kVersion,
            kReply,
            it.number,
            static_cast<int>(it.outcome),
            it.instanceId,
            it.weightVersion,
            it.loadBefore.running,
            it.loadBefore.tokensToCompute,
            it.loadBefore.tokensHeld,
            it.tokensToCompute,
            it.firstTokenDelay.count(),
            it.expectedDelay.count(),
            it.saveTo,
            it.retryAfter.count(),
            it.sourceEngine};
}

std::optional<PlacementReply> decodeReply(Fields fields)
{
    PlacementReply it;
    fields.read(it.number);
    const std::uint64_t outcome = unsignedNumber(fields.next());
    if (outcome > static_cast<std::uint64_t>(PlacementOutcome::Unavailable))
        return std::nullopt;
    it.outcome = static_cast<PlacementOutcome>(outcome);
    fields.read(it.instanceId);
    fields.read(it.weightVersion);
    fields.read(it.loadBefore);
    fields.readCount(it.tokensToCompute);
    fields.read(it.firstTokenDelay);
    fields.read(it.expectedDelay);
    fields.read(it.saveTo);
    fields.read(it.retryAfter);
    fields.read(it.sourceEngine);
    return it;
}

Json encode(const PlacementProgress &it)
{
    Json placed = Json::array();
    for (const PlacementProgress::Local &local : it.placed)
        placed.push_back({local.number, local.instanceId, local.load.tokensToCompute,
                          local.load.tokensHeld, local.remaining.count()});
    return {kVersion, kProgress, it.process, std::move(placed), it.computed, it.ended, it.paused};
}

PlacementProgress decodeProgress(Fields fields)
{
    PlacementProgress it;
    fields.read(it.process);
    for (const Json &row : fields.next()) {
        Fields values(row);
        PlacementProgress::Local local;
        values.read(local.number);
        values.read(local.instanceId);
        values.readCount(local.load.tokensToCompute);
        values.readCount(local.load.tokensHeld);
        values.read(local.remaining);
        it.placed.push_back(std::move(local));
    }
    fields.read(it.computed);
    fields.read(it.ended);
    fields.read(it.paused);
    return it;
}

std::optional<PlacementMessage> decode(const Json &array)
{
    Fields fields(array);
    if (unsignedNumber(fields.next()) != kVersion)
        return std::nullopt;
    switch (unsignedNumber(fields.next())) {
    case kRequest:
        return decodeRequest(fields);
    case kReply:
        return decodeReply(fields);
    case kProgress:
        return decodeProgress(fields);
    default:
        return std::nullopt;
    }
}

} // namespace

std::string encodePlacement(const PlacementMessage &message)
{
    return encodeCbor(std::visit([](const auto &it) { return encode(it); }, message));
}

std::optional<PlacementMessage> decodePlacement(std::string_view bytes)
{
    return decodeCbor<PlacementMessage>(bytes, [](const Json &it) { return decode(it); });
}

} // namespace fordwood::node
