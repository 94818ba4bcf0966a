// SPDX-License-Identifier: MIT
#include "process/platform_standins.hpp"

#include <algorithm>
#include <chrono>
#include <thread>

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include "standins/answers.hpp"

namespace fordwood::process {

namespace {

using Json = nlohmann::json;
using standins::Answer;
using standins::json;
using standins::plain;
using standins::queryValue;
using standins::Request;

// Watches end earlier than requested, so that a test need not wait for them at its end.
constexpr std::chrono::milliseconds kMaxWatchTime{200};
// Calls with a wait of at most this are polls rather than watches.
constexpr std::chrono::milliseconds kMaxPollTime{10};

std::string encode(const std::string &bytes)
{
    std::string text((bytes.size() + 2) / 3 * 4, '\0');
    EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                    reinterpret_cast<const unsigned char *>(bytes.data()),
                    static_cast<int>(bytes.size()));
    return text;
}

std::string decode(const std::string &text)
{
    std::string bytes(text.size() / 4 * 3, '\0');
    EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                    reinterpret_cast<const unsigned char *>(text.data()),
                    static_cast<int>(text.size()));
    while (!bytes.empty() && bytes.size() + 3 > text.size() / 4 * 3 && bytes.back() == '\0'
           && text[text.size() - (text.size() / 4 * 3 - bytes.size()) - 1] == '=')
        bytes.pop_back();
    return bytes;
}

} // namespace

KeyValueStandin::KeyValueStandin(const std::string &address)
    : m_server(std::make_unique<standins::BlockingServer>(
        address, [this](const Request &request) { return answer(request); }))
{ }

void KeyValueStandin::write(const std::string &key, const std::string &value, std::int64_t lease)
{
    m_now.revision += 1;
    Item &item = m_now.items[key];
    if (item.createRevision == 0)
        item.createRevision = m_now.revision;
    item.value = value;
    item.revision = m_now.revision;
    item.lease = lease;
    m_history.push_back({key, m_now.revision, false});
    m_changed.notify_all();
}

void KeyValueStandin::erase(const std::string &key)
{
    if (m_now.items.erase(key) == 0)
        return;
    m_now.revision += 1;
    m_history.push_back({key, m_now.revision, true});
    m_changed.notify_all();
}

void KeyValueStandin::put(const std::string &key, const std::string &value)
{
    const std::lock_guard lock(m_mutex);
    write(key, value, 0);
}

void KeyValueStandin::remove(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    erase(key);
}

void KeyValueStandin::setDown(bool down)
{
    const std::lock_guard lock(m_mutex);
    m_down = down;
    m_watchesSilent = false;
    m_changed.notify_all();
}

void KeyValueStandin::setSilentWatches(bool silent)
{
    const std::lock_guard lock(m_mutex);
    m_watchesSilent = silent;
}

void KeyValueStandin::forgetHistory()
{
    const std::lock_guard lock(m_mutex);
    m_history.clear();
    m_historyFrom = m_now.revision;
    m_changed.notify_all();
}

void KeyValueStandin::takeSnapshot()
{
    const std::lock_guard lock(m_mutex);
    m_snapshot = m_now;
}

void KeyValueStandin::restoreSnapshot()
{
    const std::lock_guard lock(m_mutex);
    m_now = m_snapshot;
    m_epoch += 1;
    m_history.clear();
    m_historyFrom = m_now.revision;
    m_changed.notify_all();
}

std::int64_t KeyValueStandin::revision()
{
    const std::lock_guard lock(m_mutex);
    return m_now.revision;
}

std::string KeyValueStandin::value(const std::string &key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_now.items.find(key);
    return it == m_now.items.end() ? "" : it->second.value;
}

std::vector<std::string> KeyValueStandin::namesUnder(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> names;
    for (auto it = m_now.items.lower_bound(prefix);
         it != m_now.items.end() && it->first.starts_with(prefix); ++it)
        names.push_back(it->first.substr(prefix.size()));
    return names;
}

bool KeyValueStandin::has(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_now.items.lower_bound(prefix);
    return it != m_now.items.end() && it->first.starts_with(prefix);
}

void KeyValueStandin::removeAll(const std::string &prefix)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::string> keys;
    for (auto it = m_now.items.lower_bound(prefix); it != m_now.items.end(); ++it) {
        if (it->first.starts_with(prefix))
            keys.push_back(it->first);
    }
    for (const std::string &it : keys)
        erase(it);
}

void KeyValueStandin::setStalled(bool stalled)
{
    const std::lock_guard lock(m_mutex);
    m_stalled = stalled;
    m_changed.notify_all();
}

Answer KeyValueStandin::answer(const Request &request)
{
    Answer result = execute(request);
    std::unique_lock lock(m_mutex);
    m_changed.wait(lock, [this] { return !m_stalled; });
    result.headers["Store-Era"] = std::to_string(m_epoch);
    lock.unlock();
    passLink(result.body.size());
    return result;
}

void KeyValueStandin::setLink(std::size_t pageItems, double bytesPerSecond)
{
    const std::lock_guard lock(m_mutex);
    m_pageItems = pageItems;
    m_linkBytesPerSecond = bytesPerSecond;
}

// Waits until the link has carried an answer of this size.
void KeyValueStandin::passLink(std::size_t bytes)
{
    std::unique_lock lock(m_mutex);
    if (m_linkBytesPerSecond <= 0.0)
        return;
    const std::chrono::duration<double> time(static_cast<double>(bytes) / m_linkBytesPerSecond);
    m_linkFreeAt = std::max(m_linkFreeAt, std::chrono::steady_clock::now())
                   + std::chrono::duration_cast<std::chrono::steady_clock::duration>(time);
    const auto arrivesAt = m_linkFreeAt;
    lock.unlock();
    std::this_thread::sleep_until(arrivesAt);
}

Answer KeyValueStandin::execute(const Request &request)
{
    {
        const std::lock_guard lock(m_mutex);
        if (m_down)
            return plain(503);
    }
    const std::string &path = request.path;
    if (path == "/api/kv-range")
        return range(request);
    if (path == "/api/kv-watch")
        return watch(request);
    if (path == "/api/kv-txn")
        return transact(request);
    const std::int64_t lease = std::strtoll(path.substr(path.rfind('/') + 1).c_str(), nullptr, 10);
    const std::lock_guard lock(m_mutex);
    if (path == "/api/kv-lease")
        return grant(request);
    if (path.starts_with("/api/kv-keep/"))
        return renewLease(lease);
    if (!path.starts_with("/api/kv-lease-end/"))
        return plain(404);
    revokeLease(lease);
    return json(Json::object());
}

Answer KeyValueStandin::grant(const Request &request)
{
    const std::chrono::milliseconds ttl{Json::parse(request.body)["ttl_ms"].get<std::int64_t>()};
    m_now.leases[++m_now.nextLease] = {ttl, ttl};
    return json({{"lease", m_now.nextLease}, {"ttl_ms", ttl.count()}});
}

Answer KeyValueStandin::renewLease(std::int64_t lease)
{
    const auto it = m_now.leases.find(lease);
    if (it == m_now.leases.end())
        return plain(404);
    it->second.remaining = it->second.ttl;
    return json({{"ttl_ms", it->second.ttl.count()}});
}

void KeyValueStandin::advanceTime(std::chrono::nanoseconds time)
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::int64_t> expired;
    for (auto &[id, lease] : m_now.leases) {
        lease.remaining -= time;
        if (lease.remaining <= lease.remaining.zero())
            expired.push_back(id);
    }
    for (const std::int64_t it : expired)
        revokeLease(it);
}

void KeyValueStandin::revokeLease(std::int64_t lease)
{
    m_now.leases.erase(lease);
    std::vector<std::string> keys;
    for (const auto &[key, item] : m_now.items) {
        if (item.lease == lease)
            keys.push_back(key);
    }
    for (const std::string &it : keys)
        erase(it);
}

Answer KeyValueStandin::range(const Request &request)
{
    const std::string prefix = queryValue(request.query, "path-prefix");
    const std::string after = std::max(prefix, queryValue(request.query, "after"));
    const std::lock_guard lock(m_mutex);
    Json items = Json::array();
    bool more = false;
    for (auto it = m_now.items.upper_bound(after);
         it != m_now.items.end() && it->first.starts_with(prefix) && !more; ++it) {
        if (items.size() == m_pageItems) {
            more = true;
            continue;
        }
        items.push_back({{"private-key", it->first},
                         {"value", encode(it->second.value)},
                         {"revision", it->second.revision},
                         {"made", it->second.createRevision},
                         {"lease", it->second.lease}});
    }
    return json({{"items", items}, {"more", more}, {"at", m_now.revision}});
}

Answer KeyValueStandin::watch(const Request &request)
{
    const std::int64_t after = std::stoll(queryValue(request.query, "after"));
    std::chrono::milliseconds maxWait{std::stol(queryValue(request.query, "wait-ms"))};
    std::unique_lock lock(m_mutex);
    if (m_watchesSilent && maxWait > kMaxPollTime) {
        m_changed.wait_for(lock, maxWait, [&] { return m_down || !m_watchesSilent; });
        return plain(503);
    }
    maxWait = std::min(maxWait, kMaxWatchTime);
    m_changed.wait_for(lock, maxWait,
                       [&] { return m_now.revision != after || m_down || after < m_historyFrom; });
    if (m_down)
        return plain(503);
    if (after < m_historyFrom || after > m_now.revision)
        return plain(410);
    Json events = Json::array();
    for (const Change &it : m_history) {
        if (it.revision <= after)
            continue;
        const auto item = m_now.items.find(it.key);
        if (it.isDeleted || item == m_now.items.end() || item->second.revision != it.revision)
            events.push_back({{"private-key", it.key}, {"revision", it.revision}, {"gone", true}});
        else
            events.push_back({{"private-key", it.key},
                              {"value", encode(item->second.value)},
                              {"revision", it.revision},
                              {"made", item->second.createRevision},
                              {"lease", item->second.lease}});
    }
    return json({{"events", events}, {"at", m_now.revision}});
}

Answer KeyValueStandin::transact(const Request &request)
{
    const Json body = Json::parse(request.body);
    const std::lock_guard lock(m_mutex);
    for (const Json &it : body["expected-revision"]) {
        const auto item = m_now.items.find(it["private-key"].get<std::string>());
        const std::int64_t found = item == m_now.items.end() ? 0 : item->second.revision;
        if (found != it["revision"].get<std::int64_t>())
            return json({{"items", Json::array()}}, 412);
    }
    for (const Json &it : body["put"]) {
        const std::int64_t lease = it["lease"];
        if (lease != 0 && !m_now.leases.contains(lease))
            return plain(404);
    }
    for (const Json &it : body["put"])
        write(it["private-key"], decode(it["value"]), it["lease"]);
    return json({{"revision", m_now.revision}});
}

UpstreamStandin::UpstreamStandin(const std::string &address, std::string instanceId)
    : m_instanceId(std::move(instanceId)),
      m_server(std::make_unique<standins::BlockingServer>(
          address, [this](const Request &request) { return answer(request); }))
{ }

void UpstreamStandin::setFault(Fault fault, int requests)
{
    const std::lock_guard lock(m_mutex);
    m_fault = fault;
    m_faultyRequests = requests;
}

void UpstreamStandin::endOnRequest(
    const std::string &path, NextLife next,
    std::function<void(const std::string &, const std::string &)> ended)
{
    const std::lock_guard lock(m_mutex);
    m_fatalPath = path;
    m_nextLife = next;
    m_onEnd = std::move(ended);
}

Answer UpstreamStandin::end()
{
    const std::string before = m_instanceId;
    m_lives += 1;
    if (m_nextLife == NextLife::OtherId)
        m_instanceId = before.substr(0, before.find('.')) + "." + std::to_string(m_lives);
    m_onEnd(before, m_instanceId);
    Answer result;
    result.cutConnection = true;
    return result;
}

void UpstreamStandin::breakStreamsAfter(int events)
{
    const std::lock_guard lock(m_mutex);
    m_breakAfter = events;
}

void UpstreamStandin::setStreams(int events, std::size_t bytesPerEvent)
{
    const std::lock_guard lock(m_mutex);
    m_streamEvents = events;
    m_bytesPerEvent = bytesPerEvent;
}

void UpstreamStandin::setLimit(std::optional<std::string> limit)
{
    const std::lock_guard lock(m_mutex);
    m_limit = std::move(limit);
}

void UpstreamStandin::setDraining(bool draining)
{
    const std::lock_guard lock(m_mutex);
    m_isDraining = draining;
}

void UpstreamStandin::rejectWithBackoff(std::optional<std::string> retryAfter)
{
    const std::lock_guard lock(m_mutex);
    m_retryAfter = std::move(retryAfter);
}

void UpstreamStandin::addState(Answer &answer) const
{
    if (m_limit)
        answer.headers["Server-Limit"] = *m_limit;
    if (m_isDraining)
        answer.headers["Server-Leaving"] = "1";
}

void UpstreamStandin::setHeld(bool held)
{
    const std::lock_guard lock(m_mutex);
    m_isHeld = held;
    m_released.notify_all();
}

std::vector<std::chrono::steady_clock::time_point> UpstreamStandin::arrivals()
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

int UpstreamStandin::runs(const std::string &requestId)
{
    const std::lock_guard lock(m_mutex);
    return m_runs[requestId];
}

int UpstreamStandin::totalRuns()
{
    const std::lock_guard lock(m_mutex);
    int sum = 0;
    for (const auto &[id, n] : m_runs)
        sum += n;
    return sum;
}

std::string UpstreamStandin::lastField(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return m_requests.empty() ? "" : m_requests.back().header(name);
}

std::vector<Request> UpstreamStandin::requests()
{
    const std::lock_guard lock(m_mutex);
    return m_requests;
}

Answer UpstreamStandin::answer(const Request &request)
{
    const std::string id = request.header("Request-Id");
    Answer result;
    result.headers["Request-Id"] = id;
    std::unique_lock lock(m_mutex);
    if (request.header("Expect-Instance") != m_instanceId) {
        result.status = 421;
        return result;
    }
    m_arrivals.push_back(std::chrono::steady_clock::now());
    addState(result);
    if (m_retryAfter) {
        result.status = 503;
        result.headers["Not-Executed"] = "1";
        result.headers["Retry-After"] = *m_retryAfter;
        return result;
    }
    Fault fault = Fault::None;
    if (m_faultyRequests > 0) {
        m_faultyRequests -= 1;
        fault = m_fault;
    }
    if (fault == Fault::Reject) {
        result.status = 503;
        result.headers["Not-Executed"] = "1";
        return result;
    }
    m_runs[id] += 1;
    m_requests.push_back(request);
    m_released.wait(lock, [this] { return !m_isHeld; });
    if (request.path == m_fatalPath)
        return end();
    result.headers["Response-Seal"] = "sealed-by-" + m_instanceId;
    result.body = "answer to " + id;
    if (fault == Fault::CutAfterRun)
        result.cutConnection = true;
    if (fault == Fault::OtherRequestId)
        result.headers["Request-Id"] = "another";
    if (fault == Fault::NoSeal)
        result.headers.erase("Response-Seal");
    if (fault == Fault::FailAfterRun)
        result.status = 500;
    return request.path.starts_with("/stream/") ? stream(request) : result;
}

Answer UpstreamStandin::stream(const Request &request)
{
    Answer result;
    result.contentType = "text/event-stream";
    result.headers["Request-Id"] = request.header("Request-Id");
    result.headers["Response-Seal"] = "sealed-by-" + m_instanceId;
    addState(result);
    const std::string last = request.header("Last-Event-Id");
    auto next = std::make_shared<int>(last.empty() ? 0 : std::stoi(last));
    const int breakAfter = m_breakAfter;
    const int events = m_streamEvents;
    const std::size_t bytes = m_bytesPerEvent;
    result.cutAfterParts = breakAfter > 0;
    result.nextPart = [next, breakAfter, events, bytes](bool) -> std::string {
        *next += 1;
        const std::string data = bytes > 0 ? std::string(bytes, 'x') : std::to_string(*next);
        const std::string event = "id: " + std::to_string(*next) + "\ndata: " + data + "\n\n";
        if (breakAfter > 0 && *next == breakAfter + 1)
            return event.substr(0, event.size() / 2);
        const bool isOver = *next > events || (breakAfter > 0 && *next > breakAfter);
        return isOver ? "" : event;
    };
    return result;
}

} // namespace fordwood::process
