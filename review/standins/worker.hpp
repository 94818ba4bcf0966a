// SPDX-License-Identifier: MIT
// A stand-in of a plain worker: runs what it is sent, and says so in the record.
#ifndef FORDWOOD_REVIEW_STANDINS_WORKER_HPP_INCLUDED
#define FORDWOOD_REVIEW_STANDINS_WORKER_HPP_INCLUDED

#include <set>

#include "store.hpp"

namespace review {

class Worker
{
public:
    Worker(std::string id, std::string address, milliseconds work, Record &record)
        : m_id(std::move(id)), m_address(std::move(address)), m_work(work), m_record(record),
          m_server(m_address, [this](const Connection &connection, const Message &request) {
              return handle(connection, request);
          })
    { }

    bool isListening() const { return m_server.isListening(); }

    void announce(Store &store, const std::string &service, const std::string &zone) const
    {
        store.put("servers/" + m_id, Json{{"service", service},
                                          {"address", m_address},
                                          {"zone", zone},
                                          {"version", "v1"},
                                          {"slots", 16},
                                          {"state", "ready"},
                                          {"cold-remaining-ms", 0},
                                          {"sequence", 1}}
                                         .dump());
    }

    int runs(const std::string &requestId)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_runs.find(requestId);
        return it == m_runs.end() ? 0 : it->second;
    }

private:
    bool handle(const Connection &connection, const Message &request)
    {
        if (request.target() == "/health")
            return connection.answer(200, "", "Instance-Id: " + m_id + "\r\n");
        const std::string id = request.field("Request-Id");
        const std::string fields = "Request-Id: " + id + "\r\n";
        const std::string expected = request.field("Expect-Instance");
        if (!expected.empty() && expected != m_id)
            return connection.answer(421, "", fields + "Instance-Id: " + m_id + "\r\n");
        {
            const std::lock_guard lock(m_mutex);
            m_runs[id] += 1;
        }
        m_record.line("worker " + m_id + " runs " + id + " (" + request.method() + " "
                      + request.target() + ")");
        std::this_thread::sleep_for(m_work);
        const bool isSent
            = connection.answer(200, "done " + id, fields + "Response-Seal: seal-" + m_id + "\r\n");
        m_record.line("worker " + m_id + (isSent ? " answers " : " can't answer ") + id
                      + " with 200");
        return isSent;
    }

    const std::string m_id;
    const std::string m_address;
    const milliseconds m_work;
    Record &m_record;
    std::mutex m_mutex;
    std::map<std::string, int> m_runs; // by request id
    Server m_server;
};

} // namespace review

#endif // FORDWOOD_REVIEW_STANDINS_WORKER_HPP_INCLUDED
