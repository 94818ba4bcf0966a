// SPDX-License-Identifier: MIT
// A stand-in of a model worker that does not check fencing tokens: reports and orders of weights.
#ifndef FORDWOOD_REVIEW_STANDINS_ENGINE_HPP_INCLUDED
#define FORDWOOD_REVIEW_STANDINS_ENGINE_HPP_INCLUDED

#include "store.hpp"

namespace review {

struct Order
{
    double at = 0.0; // seconds since the start of the case
    std::string engine;
    std::string holder;
    std::int64_t fence = 0;
    std::uint64_t version = 0;
    int status = 0;
};

class Engine
{
public:
    static constexpr milliseconds kLoadTime{900};
    static constexpr const char *kModel = "lingua-1";

    using OnOrder = std::function<void(const Order &)>;

    Engine(std::string id, std::string address, std::string zone, Store &store, Record &record,
           OnOrder onOrder)
        : m_id(std::move(id)), m_address(std::move(address)), m_zone(std::move(zone)),
          m_store(store), m_record(record), m_onOrder(std::move(onOrder)),
          m_server(m_address, [this](const Connection &connection, const Message &request) {
              return handle(connection, request);
          })
    {
        writeEntry();
    }

    bool isListening() const { return m_server.isListening(); }

    std::uint64_t version()
    {
        const std::lock_guard lock(m_mutex);
        return m_version;
    }

private:
    Json models() const
    {
        return Json::array(
            {{{"name", kModel}, {"version", m_version}, {"adapters", Json::array()}}});
    }

    void writeEntry()
    {
        const std::lock_guard lock(m_mutex);
        m_store.put("servers/" + m_id, Json{{"service", "lingua"},
                                            {"address", m_address},
                                            {"zone", m_zone},
                                            {"version", "v1"},
                                            {"slots", 16},
                                            {"state", "ready"},
                                            {"cold-remaining-ms", 0},
                                            {"stage", "both"},
                                            {"models", models()},
                                            {"sequence", m_orders}}
                                           .dump());
    }

    bool handle(const Connection &connection, const Message &request)
    {
        const std::string expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return connection.answer(421, "", "Instance-Id: " + m_id + "\r\n");
        const std::string json = "Content-Type: application/json\r\n";
        if (request.target() == "/api/report")
            return connection.answer(200, report().dump(), json);
        if (request.target() == "/api/order" && request.method() == "POST")
            return connection.answer(order(Json::parse(request.body)), "{}", json);
        return connection.answer(request.target() == "/health" ? 200 : 404, "",
                                 "Instance-Id: " + m_id + "\r\n");
    }

    Json report()
    {
        const std::lock_guard lock(m_mutex);
        return {{"stage", "both"},      {"models", models()}, {"busy", m_isBusy},
                {"sequence", m_orders}, {"queued", 0},        {"running", 0},
                {"kv-used", 0},         {"kv-total", 70'457}, {"handles", 0}};
    }

    int order(const Json &body)
    {
        Order order;
        order.at = m_record.seconds();
        order.engine = m_id;
        order.holder = body.at("holder").get<std::string>();
        order.fence = body.at("fencing-token").get<std::int64_t>();
        order.version = body.at("version").get<std::uint64_t>();
        {
            const std::lock_guard lock(m_mutex);
            const bool isOther = body.contains("expected-revision")
                                 && body["expected-revision"].get<std::int64_t>() != m_orders;
            if (m_version == order.version)
                order.status = 200;
            else if (m_isBusy || isOther)
                order.status = 409;
            else
                order.status = 202;
            if (order.status == 202) {
                m_isBusy = true;
                m_orders += 1;
                std::thread([this, version = order.version] { load(version); }).detach();
            }
        }
        m_record.line("worker " + m_id + " gets an order of " + order.holder + ", fence "
                      + std::to_string(order.fence) + ": version " + std::to_string(order.version)
                      + "; answers " + std::to_string(order.status));
        m_onOrder(order);
        return order.status;
    }

    void load(std::uint64_t version)
    {
        std::this_thread::sleep_for(kLoadTime);
        {
            const std::lock_guard lock(m_mutex);
            m_version = version;
            m_isBusy = false;
        }
        m_record.line("worker " + m_id + " has version " + std::to_string(version));
        writeEntry();
    }

    const std::string m_id;
    const std::string m_address;
    const std::string m_zone;
    Store &m_store;
    Record &m_record;
    const OnOrder m_onOrder;
    std::mutex m_mutex;
    std::uint64_t m_version = 1;
    std::int64_t m_orders = 0;
    bool m_isBusy = false;
    Server m_server;
};

} // namespace review

#endif // FORDWOOD_REVIEW_STANDINS_ENGINE_HPP_INCLUDED
