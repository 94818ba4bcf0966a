// SPDX-License-Identifier: MIT
#include "process/context_store_standin.hpp"

#include <nlohmann/json.hpp>

#include "standins/answers.hpp"

namespace fordwood::process {

namespace {

using Json = nlohmann::json;
using standins::Answer;
using standins::json;
using standins::plain;
using standins::Request;
using std::chrono::milliseconds;

constexpr std::uint64_t kEpoch = 7;

} // namespace

ContextStoreStandin::ContextStoreStandin(const std::string &address)
    : m_server(std::make_unique<standins::BlockingServer>(
        address, [this](const Request &it) { return answer(it); }))
{ }

milliseconds ContextStoreStandin::clock()
{
    constexpr milliseconds kOffset{1'000'000}; // zero would mean that it is not known
    return kOffset
           + std::chrono::duration_cast<milliseconds>(
               std::chrono::steady_clock::now().time_since_epoch());
}

void ContextStoreStandin::hold(const std::string &salt, const std::string &partId,
                               std::size_t tokens)
{
    const std::lock_guard lock(m_mutex);
    m_parts[{salt, partId}] = tokens;
    m_events.push_back({true, {salt, partId}, tokens});
    m_changed.notify_all();
}

std::optional<milliseconds> ContextStoreStandin::freedAt(const std::string &salt,
                                                         const std::string &partId)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_freed.find({salt, partId});
    return it == m_freed.end() ? std::nullopt : std::optional(it->second);
}

std::size_t ContextStoreStandin::freedParts()
{
    const std::lock_guard lock(m_mutex);
    return m_freed.size();
}

Answer ContextStoreStandin::answer(const Request &request)
{
    if (request.path == "/api/kv-events")
        return events(request);
    if (request.path == "/api/kv-list")
        return list();
    if (request.path == "/api/kv-free")
        return free(request);
    return plain(404);
}

Answer ContextStoreStandin::events(const Request &request)
{
    const auto next
        = static_cast<std::size_t>(std::stoull(standins::queryValue(request.query, "since")));
    const std::string wait = request.header("Wait-Ms");
    std::unique_lock lock(m_mutex);
    const std::size_t first = std::max<std::size_t>(next, 1);
    m_changed.wait_for(lock, milliseconds(wait.empty() ? 0 : std::stoi(wait)),
                       [&] { return m_events.size() >= first; });
    Json found = Json::array();
    for (std::size_t n = first; n <= m_events.size(); ++n) {
        const Event &it = m_events[n - 1];
        found.push_back({n, it.held ? "+" : "-", it.part.first, it.part.second, it.tokens, "m"});
    }
    return json({{"epoch", kEpoch},
                 {"next-token", m_events.size() + 1},
                 {"lost", false},
                 {"events", found},
                 {"clock_ms", clock().count()}});
}

Answer ContextStoreStandin::list()
{
    const std::lock_guard lock(m_mutex);
    Json held = Json::array();
    for (const auto &[part, tokens] : m_parts)
        held.push_back({part.first, part.second, tokens, "m"});
    return json({{"epoch", kEpoch},
                 {"next-token", m_events.size() + 1},
                 {"held", held},
                 {"clock_ms", clock().count()}});
}

Answer ContextStoreStandin::free(const Request &request)
{
    constexpr int kConflict = 409;
    const Json call = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    if (call.value("epoch", kEpoch) != kEpoch
        || clock().count() > call.value("until_ms", clock().count()))
        return plain(kConflict);
    for (const Json &it : call.at("parts")) {
        const Part part{it.at(0).get<std::string>(), it.at(1).get<std::string>()};
        if (m_parts.erase(part) == 0)
            continue;
        m_freed[part] = clock();
        m_events.push_back({false, part, 0});
    }
    m_changed.notify_all();
    return json(Json::object());
}

} // namespace fordwood::process
