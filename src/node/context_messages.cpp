// SPDX-License-Identifier: MIT
#include "node/context_messages.hpp"

#include <charconv>
#include <map>

#include "node/cbor.hpp"

namespace fordwood::node {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kTarget = "/contexts?since=";
constexpr char kNumberEnd = '.';
constexpr char kPositionEnd = ',';

// Takes a number and the sign after it from the front of the text; nothing when there is none.
std::optional<std::uint64_t> takeNumber(std::string_view &text, char end)
{
    std::uint64_t number = 0;
    const auto [rest, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc() || rest == text.data() + text.size() || *rest != end)
        return std::nullopt;
    text.remove_prefix(static_cast<std::size_t>(rest - text.data()) + 1);
    return number;
}

// Changes by salt, of which there are few: each stands once.
Json changesBySalt(const std::vector<StorePartChange> &changes)
{
    Json runs = Json::array();
    for (const StorePartChange &it : changes) {
        if (runs.empty() || runs.back().at(0) != it.salt)
            runs.push_back({it.salt, Json::array()});
        // No tokens: the store has dropped the part.
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
            const auto tokens = it.at(1).get<std::size_t>();
            changes.push_back({salt, it.at(0).get<std::string>(), tokens > 0, tokens});
        }
    }
    return changes;
}

} // namespace

std::string contextNewsTarget(const std::vector<ContextStorePosition> &positions)
{
    std::string target(kTarget);
    for (const ContextStorePosition &it : positions) {
        target += std::to_string(it.store) + kNumberEnd + std::to_string(it.epoch) + kNumberEnd
                  + std::to_string(it.next) + kPositionEnd;
    }
    return target;
}

std::optional<std::vector<ContextStorePosition>> readContextNewsTarget(std::string_view target)
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

std::string encodeContextNews(const std::vector<StoreNews> &news)
{
    Json stores = Json::array();
    for (const StoreNews &it : news) {
        // An array: most stores have nothing new, and names of fields would be most of the message.
        stores.push_back({it.store, it.epoch, it.next, it.clock.count(), it.age.count(),
                          it.restated, changesBySalt(it.changes)});
    }
    return encodeCbor(stores);
}

std::optional<std::vector<StoreNews>> decodeContextNews(std::string_view bytes)
{
    return decodeCbor<std::vector<StoreNews>>(bytes, [](const Json &stores) {
        std::vector<StoreNews> news;
        for (const Json &it : stores) {
            StoreNews told;
            std::size_t field = 0;
            it.at(field++).get_to(told.store);
            it.at(field++).get_to(told.epoch);
            it.at(field++).get_to(told.next);
            told.clock = std::chrono::milliseconds(it.at(field++).get<std::int64_t>());
            told.age = std::chrono::milliseconds(it.at(field++).get<std::int64_t>());
            it.at(field++).get_to(told.restated);
            told.changes = readChanges(it.at(field++));
            news.push_back(std::move(told));
        }
        return news;
    });
}

} // namespace fordwood::node
