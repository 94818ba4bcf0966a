// SPDX-License-Identifier: MIT
#include "node/context_messages.hpp"

#include <algorithm>
#include <charconv>
#include <map>

#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kTarget = "/contexts?since=";
constexpr char kNumberEnd = '.';
constexpr char kPositionEnd = ',';

// Removes a number and the delimiter `end` from the front of the text; nothing if they are not
// there.
std::optional<std::uint64_t> takeNumber(std::string_view &text, char end)
{
    std::uint64_t number = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || rest == text.data() + text.size() || *rest != end)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()) + 1);
    return number;
}

// Groups consecutive changes by salt. There are few salts, so each is encoded only once per group.
Json changesBySalt(const std::vector<StorePartChange> &changes)
{
    Json runs = Json::array();
    for (const StorePartChange &it : changes) {
        if (runs.empty() || runs.back().at(0) != it.salt)
            runs.push_back({it.salt, Json::array()});
        // Zero tokens mean that the store no longer holds the part.
        runs.back().at(1).push_back({it.partId, it.held ? it.tokens : 0});
    }
    return runs;
}

std::vector<StorePartChange> readChanges(const Json &runs)
{
    std::vector<StorePartChange> changes;
    for (const Json &run : runs) {
        const auto salt = run.at(0).get<std::string>();
        for (const Json &it : run.at(1)) {
            const std::size_t tokens = unsignedNumber(it.at(1));
            changes.push_back({salt, it.at(0).get<std::string>(), tokens > 0, tokens});
        }
    }
    return changes;
}

// The limit prevents overflow when a time is added to a clock.
std::chrono::milliseconds decodeTime(const Json &number)
{
    constexpr std::chrono::milliseconds kMax = std::chrono::years(200);
    return std::chrono::milliseconds(
        std::clamp<std::int64_t>(signedNumber(number), 0, kMax.count()));
}

} // namespace

std::string contextUpdatesTarget(const std::vector<ContextStorePosition> &positions)
{
    std::string target(kTarget);
    for (const ContextStorePosition &it : positions) {
        target += std::to_string(it.store) + kNumberEnd + std::to_string(it.epoch) + kNumberEnd
                  + std::to_string(it.next) + kPositionEnd;
    }
    return target;
}

std::optional<std::vector<ContextStorePosition>> parseContextUpdatesTarget(std::string_view target)
{
    if (!target.starts_with(kTarget))
        return std::nullopt;
    target.remove_prefix(kTarget.size());
    std::vector<ContextStorePosition> positions;
    while (!target.empty()) {
        const auto store = takeNumber(target, kNumberEnd);
        const auto epoch = store ? takeNumber(target, kNumberEnd) : std::nullopt;
        const auto next = epoch ? takeNumber(target, kPositionEnd) : std::nullopt;
        if (!next)
            return std::nullopt;
        positions.push_back({*store, *epoch, *next});
    }
    return positions;
}

std::string encodeContextUpdates(const std::vector<ContextStoreUpdate> &updates)
{
    Json stores = Json::array();
    for (const ContextStoreUpdate &it : updates) {
        // An array, since most stores have no changes and field names would dominate the message.
        stores.push_back({it.store, it.epoch, it.next, it.clock.count(), it.age.count(),
                          it.isSnapshot, changesBySalt(it.changes)});
    }
    return encodeCbor(stores);
}

std::optional<std::vector<ContextStoreUpdate>> decodeContextUpdates(std::string_view bytes)
{
    return decodeCbor<std::vector<ContextStoreUpdate>>(bytes, [](const Json &stores) {
        std::vector<ContextStoreUpdate> updates;
        for (const Json &it : stores) {
            ContextStoreUpdate update;
            std::size_t field = 0;
            it.at(field++).get_to(update.store);
            update.epoch = unsignedNumber(it.at(field++));
            update.next = unsignedNumber(it.at(field++));
            update.clock = decodeTime(it.at(field++));
            update.age = decodeTime(it.at(field++));
            it.at(field++).get_to(update.isSnapshot);
            update.changes = readChanges(it.at(field++));
            updates.push_back(std::move(update));
        }
        return updates;
    });
}

} // namespace fordwood::node
