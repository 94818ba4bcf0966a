// SPDX-License-Identifier: MIT
// A stand-in of the platform's metadata store: items, watches, conditional changes and leases on
// the real clock.
#ifndef FORDWOOD_REVIEW_STANDINS_STORE_HPP_INCLUDED
#define FORDWOOD_REVIEW_STANDINS_STORE_HPP_INCLUDED

#include <condition_variable>
#include <vector>

#include <nlohmann/json.hpp>

#include "net.hpp"

namespace review {

using Json = nlohmann::json;

inline std::string encodeBase64(const std::string &bytes)
{
    static const char *const kDigits
        = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string text;
    for (std::size_t n = 0; n < bytes.size(); n += 3) {
        const auto at = [&](std::size_t k) {
            return n + k < bytes.size() ? static_cast<unsigned char>(bytes[n + k]) : 0U;
        };
        const unsigned bits = at(0) << 16 | at(1) << 8 | at(2);
        text += kDigits[bits >> 18 & 63];
        text += kDigits[bits >> 12 & 63];
        text += n + 1 < bytes.size() ? kDigits[bits >> 6 & 63] : '=';
        text += n + 2 < bytes.size() ? kDigits[bits & 63] : '=';
    }
    return text;
}

inline std::string decodeBase64(const std::string &text)
{
    const auto value = [](char it) -> unsigned {
        if (it >= 'A' && it <= 'Z')
            return static_cast<unsigned>(it - 'A');
        if (it >= 'a' && it <= 'z')
            return static_cast<unsigned>(it - 'a') + 26;
        if (it >= '0' && it <= '9')
            return static_cast<unsigned>(it - '0') + 52;
        return it == '+' ? 62 : 63;
    };
    std::string bytes;
    for (std::size_t n = 0; n + 3 < text.size(); n += 4) {
        const bool hasSecond = text[n + 2] != '=';
        const bool hasThird = text[n + 3] != '=';
        const unsigned bits = value(text[n]) << 18 | value(text[n + 1]) << 12
                              | (hasSecond ? value(text[n + 2]) << 6 : 0U)
                              | (hasThird ? value(text[n + 3]) : 0U);
        bytes += static_cast<char>(bits >> 16 & 255);
        if (hasSecond)
            bytes += static_cast<char>(bits >> 8 & 255);
        if (hasThird)
            bytes += static_cast<char>(bits & 255);
    }
    return bytes;
}

class Store
{
public:
    explicit Store(const std::string &address)
        : m_server(address, [this](const Connection &connection, const Message &request) {
              return handle(connection, request);
          })
    {
        std::thread([this] {
            while (true) {
                std::this_thread::sleep_for(milliseconds(10));
                endLeases();
            }
        }).detach();
    }

    bool isListening() const { return m_server.isListening(); }

    void put(const std::string &key, const std::string &value)
    {
        const std::lock_guard lock(m_mutex);
        write(key, value, 0);
    }

    std::optional<std::string> get(const std::string &key)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_items.find(key);
        return it == m_items.end() ? std::nullopt : std::optional(it->second.value);
    }

private:
    struct Item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t made = 0;
        std::int64_t lease = 0;
    };
    struct Lease
    {
        milliseconds ttl{0};
        SteadyClock::time_point endsAt;
    };

    void write(const std::string &key, const std::string &value, std::int64_t lease)
    {
        Item &item = m_items[key];
        item.revision = ++m_revision;
        item.made = item.made == 0 ? m_revision : item.made;
        item.value = value;
        item.lease = lease;
        m_changes[m_revision] = key;
        m_changed.notify_all();
    }

    void erase(const std::string &key)
    {
        if (m_items.erase(key) == 0)
            return;
        m_changes[++m_revision] = key;
        m_changed.notify_all();
    }

    void endLease(std::int64_t id)
    {
        m_leases.erase(id);
        std::vector<std::string> keys;
        for (const auto &[key, item] : m_items) {
            if (item.lease == id)
                keys.push_back(key);
        }
        for (const std::string &it : keys)
            erase(it);
    }

    void endLeases()
    {
        const std::lock_guard lock(m_mutex);
        std::vector<std::int64_t> ended;
        for (const auto &[id, lease] : m_leases) {
            if (lease.endsAt <= SteadyClock::now())
                ended.push_back(id);
        }
        for (const std::int64_t it : ended)
            endLease(it);
    }

    static std::string queryValue(const std::string &target, const std::string &name)
    {
        const std::string query
            = "&" + target.substr(std::min(target.find('?') + 1, target.size()));
        const std::size_t at = query.find("&" + name + "=");
        if (at == std::string::npos)
            return "";
        const std::size_t from = at + name.size() + 2;
        return query.substr(from, query.find('&', from) - from);
    }

    static Json describe(const std::string &key, const Item &item)
    {
        return {{"private-key", key},
                {"value", encodeBase64(item.value)},
                {"revision", item.revision},
                {"made", item.made},
                {"lease", item.lease}};
    }

    bool handle(const Connection &connection, const Message &request)
    {
        const std::string target = request.target();
        const std::string path = target.substr(0, target.find('?'));
        Json body = Json::object();
        int status = 200;
        {
            std::unique_lock lock(m_mutex);
            if (path == "/api/kv-range")
                body = range(target);
            else if (path == "/api/kv-watch")
                body = watch(target, lock);
            else if (path == "/api/kv-txn")
                status = transact(Json::parse(request.body), body);
            else if (path == "/api/kv-lease")
                body = grant(Json::parse(request.body).at("ttl_ms").get<std::int64_t>());
            else if (path.starts_with("/api/kv-keep/"))
                status = renew(std::stoll(path.substr(path.rfind('/') + 1)), body);
            else if (path.starts_with("/api/kv-lease-end/"))
                endLease(std::stoll(path.substr(path.rfind('/') + 1)));
            else
                status = 404;
        }
        return connection.answer(status, body.dump(), "Content-Type: application/json\r\n");
    }

    Json range(const std::string &target)
    {
        Json items = Json::array();
        for (auto it = m_items.upper_bound(queryValue(target, "after")); it != m_items.end(); ++it)
            items.push_back(describe(it->first, it->second));
        return {{"items", items}, {"more", false}, {"at", m_revision}};
    }

    Json watch(const std::string &target, std::unique_lock<std::mutex> &lock)
    {
        const std::int64_t after = std::stoll(queryValue(target, "after"));
        const milliseconds wait{std::stoll(queryValue(target, "wait-ms"))};
        m_changed.wait_for(lock, wait, [&] { return m_revision > after; });
        Json events = Json::array();
        for (auto it = m_changes.upper_bound(after); it != m_changes.end(); ++it) {
            const auto item = m_items.find(it->second);
            if (item != m_items.end() && item->second.revision == it->first)
                events.push_back(describe(it->second, item->second));
            else if (item == m_items.end())
                events.push_back(
                    {{"private-key", it->second}, {"revision", it->first}, {"gone", true}});
        }
        return {{"events", events}, {"at", m_revision}};
    }

    int transact(const Json &request, Json &body)
    {
        for (const Json &it : request.at("expected-revision")) {
            const auto item = m_items.find(it.at("private-key").get<std::string>());
            const std::int64_t found = item == m_items.end() ? 0 : item->second.revision;
            if (found != it.at("revision").get<std::int64_t>()) {
                body = {{"items", Json::array()}};
                return 412;
            }
        }
        for (const Json &it : request.at("put")) {
            const auto lease = it.at("lease").get<std::int64_t>();
            if (lease != 0 && m_leases.count(lease) == 0)
                return 404;
        }
        for (const Json &it : request.at("put"))
            write(it.at("private-key"), decodeBase64(it.at("value")), it.at("lease"));
        for (const Json &it : request.at("remove"))
            erase(it.get<std::string>());
        body = {{"revision", m_revision}};
        return 200;
    }

    Json grant(std::int64_t ttl)
    {
        m_leases[++m_lastLease] = {milliseconds(ttl), SteadyClock::now() + milliseconds(ttl)};
        return {{"lease", m_lastLease}, {"ttl_ms", ttl}};
    }

    int renew(std::int64_t id, Json &body)
    {
        const auto it = m_leases.find(id);
        if (it == m_leases.end())
            return 404;
        it->second.endsAt = SteadyClock::now() + it->second.ttl;
        body = {{"ttl_ms", it->second.ttl.count()}};
        return 200;
    }

    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::map<std::string, Item> m_items;
    std::map<std::int64_t, std::string> m_changes; // key by revision
    std::map<std::int64_t, Lease> m_leases;
    std::int64_t m_revision = 1;
    std::int64_t m_lastLease = 0;
    Server m_server;
};

} // namespace review

#endif // FORDWOOD_REVIEW_STANDINS_STORE_HPP_INCLUDED
