// SPDX-License-Identifier: MIT
// Stand-in for a store VM: keeps blocks and manifests under names, in bounded memory and disk,
// behind a link of bounded rate that all transfers share. PUT, GET, DELETE /objects/NAME; GET
// /usage. PUT /faults {"link_bytes_per_second": n, "full": bool}. Usage: standin-store ADDRESS
// MEMORY_BYTES DISK_BYTES LINK_BYTES_PER_SECOND
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include "standins/blocking_server.hpp"

namespace {

using namespace fordwood::standins;
using Json = nlohmann::json;
using SteadyClock = std::chrono::steady_clock;

class Store
{
public:
    Store(std::size_t memoryBytes, std::size_t diskBytes, double linkRate)
        : m_mostBytes(memoryBytes + diskBytes), m_linkRate(linkRate)
    { }

    Answer answer(const Request &request)
    {
        if (request.path == "/faults")
            return setFaults(request.body);
        if (request.path == "/usage")
            return usage();
        if (request.method == "PUT")
            return put(request);
        if (request.method == "DELETE")
            return remove(request);
        return get(request);
    }

private:
    static Answer status(int code)
    {
        Answer result;
        result.status = code;
        return result;
    }

    // Waits until the link has carried so many bytes after all that were asked for before.
    void carry(std::size_t bytes)
    {
        SteadyClock::time_point done;
        {
            const std::lock_guard lock(m_mutex);
            const auto time
                = std::chrono::duration<double>(static_cast<double>(bytes) / m_linkRate);
            m_linkFree = std::max(m_linkFree, SteadyClock::now())
                         + std::chrono::duration_cast<SteadyClock::duration>(time);
            m_linkBytes += bytes;
            done = m_linkFree;
        }
        std::this_thread::sleep_until(done);
    }

    Answer setFaults(const std::string &body)
    {
        const Json json = Json::parse(body, nullptr, false);
        if (!json.is_object())
            return status(400);
        const std::lock_guard lock(m_mutex);
        m_linkRate = json.value("link_bytes_per_second", m_linkRate);
        m_full = json.value("full", m_full);
        return {};
    }

    Answer usage()
    {
        const std::lock_guard lock(m_mutex);
        Answer result;
        result.body
            = Json{{"objects", m_objects.size()}, {"bytes", m_bytes}, {"link_bytes", m_linkBytes}}
                  .dump();
        return result;
    }

    Answer put(const Request &request)
    {
        carry(request.body.size());
        const std::lock_guard lock(m_mutex);
        const auto known = m_objects.find(request.path);
        const std::size_t before = known == m_objects.end() ? 0 : known->second.size();
        if (m_full || m_bytes - before + request.body.size() > m_mostBytes)
            return status(507);
        m_bytes += request.body.size() - before;
        m_objects[request.path] = request.body;
        return {};
    }

    Answer get(const Request &request)
    {
        Answer result;
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_objects.find(request.path);
            if (it == m_objects.end())
                return status(404);
            result.body = it->second;
        }
        result.contentType = "application/octet-stream";
        carry(result.body.size());
        return result;
    }

    Answer remove(const Request &request)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_objects.find(request.path);
        if (it == m_objects.end())
            return status(404);
        m_bytes -= it->second.size();
        m_objects.erase(it);
        return {};
    }

    std::mutex m_mutex;
    std::map<std::string, std::string> m_objects;
    std::size_t m_mostBytes;
    std::size_t m_bytes = 0;
    std::size_t m_linkBytes = 0;
    double m_linkRate;
    SteadyClock::time_point m_linkFree{};
    bool m_full = false;
};

} // namespace

int main(int argc, char **argv)
{
    if (argc != 5) {
        std::cerr << "usage: standin-store ADDRESS MEMORY_BYTES DISK_BYTES LINK_BYTES_PER_SECOND\n";
        return 2;
    }
    blockSignals();
    Store store(std::strtoull(argv[2], nullptr, 10), std::strtoull(argv[3], nullptr, 10),
                std::strtod(argv[4], nullptr));
    const BlockingServer http(argv[1],
                              [&](const Request &request) { return store.answer(request); });
    if (!http.listening()) {
        std::cerr << "standin-store: cannot listen on " << argv[1] << "\n";
        return 1;
    }
    waitForSignal();
    return 0;
}
