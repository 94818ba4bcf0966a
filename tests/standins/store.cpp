// SPDX-License-Identifier: MIT
// Stand-in for a store VM: keeps blocks and manifests under names, in limited memory and, when that
// is full, on a limited disk. All transfers share a link of limited rate.
//
// PUT, GET, DELETE /objects/NAME; GET /usage
// PUT /faults {"link_bytes_per_second": n, "full": bool}
// Usage: standin-store ADDRESS MEMORY_BYTES DISK_BYTES LINK_BYTES_PER_SECOND
#include <cstdlib>
#include <deque>
#include <iostream>
#include <map>
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
        : m_memory{memoryBytes, 0}, m_disk{diskBytes, 0}, m_linkRate(linkRate)
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
    struct Object
    {
        std::string bytes;
        bool onDisk = false;
    };
    struct Space
    {
        std::size_t most = 0;
        std::size_t used = 0;
        std::size_t free() const { return most - used; }
    };

    static Answer status(int code)
    {
        Answer result;
        result.status = code;
        return result;
    }

    // Waits until the link has transferred the bytes, after all transfers requested earlier.
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
        result.body = Json{
            {"objects", m_objects.size()},
            {"bytes", m_memory.used + m_disk.used},
            {"memory_bytes", m_memory.used},
            {"disk_bytes", m_disk.used},
            {"link_bytes",
             m_linkBytes}}.dump();
        return result;
    }

    Answer put(const Request &request)
    {
        carry(request.body.size());
        const std::lock_guard lock(m_mutex);
        drop(request.path);
        if (m_full || !makeRoom(request.body.size()))
            return status(507);
        const bool onDisk = m_memory.free() < request.body.size();
        (onDisk ? m_disk : m_memory).used += request.body.size();
        m_objects[request.path] = {request.body, onDisk};
        if (!onDisk)
            m_inMemory.push_back(request.path);
        return {};
    }

    // Moves the oldest objects from memory to disk until the new one fits somewhere.
    bool makeRoom(std::size_t bytes)
    {
        while (m_memory.free() < bytes && !m_inMemory.empty()) {
            Object &oldest = m_objects.at(m_inMemory.front());
            if (m_disk.free() < oldest.bytes.size())
                break;
            m_memory.used -= oldest.bytes.size();
            m_disk.used += oldest.bytes.size();
            oldest.onDisk = true;
            m_inMemory.pop_front();
        }
        return m_memory.free() >= bytes || m_disk.free() >= bytes;
    }

    void drop(const std::string &path)
    {
        const auto it = m_objects.find(path);
        if (it == m_objects.end())
            return;
        (it->second.onDisk ? m_disk : m_memory).used -= it->second.bytes.size();
        std::erase(m_inMemory, path);
        m_objects.erase(it);
    }

    Answer get(const Request &request)
    {
        Answer result;
        {
            const std::lock_guard lock(m_mutex);
            const auto it = m_objects.find(request.path);
            if (it == m_objects.end())
                return status(404);
            result.body = it->second.bytes;
        }
        result.contentType = "application/octet-stream";
        carry(result.body.size());
        return result;
    }

    Answer remove(const Request &request)
    {
        const std::lock_guard lock(m_mutex);
        if (m_objects.count(request.path) == 0)
            return status(404);
        drop(request.path);
        return {};
    }

    std::mutex m_mutex;
    std::map<std::string, Object> m_objects;
    std::deque<std::string> m_inMemory; // the oldest first
    Space m_memory;
    Space m_disk;
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
