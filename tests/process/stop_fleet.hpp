// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_STOP_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_STOP_FLEET_HPP_INCLUDED

#include <algorithm>
#include <chrono>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "process/kept_connection.hpp"
#include "process/node_deployment.hpp"
#include "process/timed_upstream.hpp"

namespace fordwood::process {

// Nodes before upstreams whose requests say how long they take. Routes: /safe/ may be repeated,
// /once/ may not, /talk/ is a stream of one attempt that may not be resumed, /stream/ one that may.
class StopFleet : public Deployment
{
public:
    using RealClock = std::chrono::steady_clock;

    // The limit that callers name.
    static constexpr std::chrono::milliseconds kCallerLimit{6'000};

    StopFleet(int nodeCount, int upstreamCount, std::chrono::milliseconds stopTime)
    {
        stopWithin = stopTime;
        submit(1);
        for (int n = 0; n < upstreamCount; ++n) {
            const std::string id = "u-" + std::to_string(n);
            const std::string address = upstreamHost(n) + ":8000";
            upstreams.push_back(std::make_unique<TimedUpstream>(address, id));
            UpstreamEntry entry{id, address, "v1"};
            entry.slots = 64;
            putUpstreamRecord(entry);
        }
        for (int it = 0; it < nodeCount; ++it)
            startNode(it);
        for (int it = 0; it < nodeCount; ++it)
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
    }

    // Writes a configuration that differs from the others by its version alone.
    void submit(int version)
    {
        nlohmann::json config = configuration(version, "/safe/", 1'000, 6'000);
        nlohmann::json talk = config["routes"].back();
        talk["name"] = talk["path-prefix"] = "/talk/";
        talk["resumable"] = false;
        talk["max-attempts"] = 1;
        config["routes"].push_back(talk);
        store.put("op/config", config.dump());
    }

    // The IP address of an upstream.
    std::string upstreamHost(int n) const { return net + std::to_string(50 + n); }

    // The path of a request, for example "/talk/1500/ID".
    static std::string path(const std::string &route, std::chrono::milliseconds length,
                            const std::string &id)
    {
        return "/" + route + "/" + std::to_string(length.count()) + "/" + id;
    }

    // The head of a request, without the empty line that ends it.
    static std::string head(const std::string &method, const std::string &path,
                            const std::string &id, std::chrono::milliseconds limit)
    {
        return method + " " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: " + id
               + "\r\nCredential: key-t\r\nRequest-Deadline: " + std::to_string(limit.count())
               + "\r\n";
    }

    // The text of a request without a body.
    static std::string request(const std::string &route, std::chrono::milliseconds length,
                               const std::string &id)
    {
        return head("GET", path(route, length, id), id, kCallerLimit) + "\r\n";
    }

    // Sends a request on a connection of its own and waits for the answer.
    HttpAnswer callOnce(int node, const std::string &route, std::chrono::milliseconds length,
                        const std::string &id) const
    {
        KeptConnection connection;
        if (!connection.connect(host(node)) || !connection.send(request(route, length, id)))
            return {};
        return connection.read();
    }

    // The runs of a request at all upstreams.
    std::vector<TimedUpstream::Run> runs(const std::string &id) const
    {
        std::vector<TimedUpstream::Run> all;
        for (const auto &it : upstreams) {
            const auto some = it->runs(id);
            all.insert(all.end(), some.begin(), some.end());
        }
        return all;
    }

    std::vector<std::unique_ptr<TimedUpstream>> upstreams;
};

// Stops a node as the platform does: SIGTERM, and SIGKILL when the time of the stop has passed.
class PlannedStop
{
public:
    using RealClock = StopFleet::RealClock;

    // `noProcessor`: the process gets no processor time for so long from the signal on.
    PlannedStop(StopFleet &fleet, std::size_t node,
                std::chrono::milliseconds noProcessor = std::chrono::milliseconds(0))
        : m_process(fleet.nodes[node])
    {
        if (noProcessor.count() > 0)
            m_process.signal(SIGSTOP);
        m_process.signal(SIGTERM);
        m_begin = RealClock::now();
        m_until = m_begin + fleet.stopWithin;
        if (noProcessor.count() > 0) {
            std::this_thread::sleep_for(noProcessor);
            m_process.signal(SIGCONT);
        }
    }

    // Stops a node whose signal reaches it only `delay` after the stop has begun, as through a
    // supervisor that passes it on.
    static PlannedStop delivered(StopFleet &fleet, std::size_t node,
                                 std::chrono::milliseconds delay)
    {
        const auto begin = RealClock::now();
        std::this_thread::sleep_for(delay);
        PlannedStop stop(fleet, node);
        stop.m_begin = begin;
        stop.m_until = begin + fleet.stopWithin;
        return stop;
    }

    // The time of the signal, as the platform counts it.
    RealClock::time_point begin() const { return m_begin; }

    // Waits for the end, and kills the process once the time of the stop has passed. Returns the
    // exit code, or the negative number of the signal that ended the process.
    int finish()
    {
        int code = -SIGKILL;
        if (!m_process.waitFor(m_until - RealClock::now(), code))
            m_process.kill();
        return code;
    }

private:
    Process &m_process;
    RealClock::time_point m_begin{};
    RealClock::time_point m_until{};
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_STOP_FLEET_HPP_INCLUDED
