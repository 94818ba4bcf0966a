// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_FRAGILE_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_FRAGILE_FLEET_HPP_INCLUDED

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/fragile_upstream.hpp"
#include "process/node_deployment.hpp"

namespace fordwood::process {

// Nodes before upstreams of one service that can be made to fall over.
class FragileFleet : public Deployment
{
public:
    using RealClock = std::chrono::steady_clock;

    FragileFleet(int nodeCount, int upstreamCount, FragileUpstream::Traits ofUpstreams = {},
                 bool withPlacementAddresses = true)
        : nodeTotal(nodeCount), traits(ofUpstreams)
    {
        hasPlacementAddresses = withPlacementAddresses;
        putConfiguration(1);
        for (int n = 0; n < upstreamCount; ++n)
            addUpstream(n);
        for (int it = 0; it < nodeCount; ++it) {
            startNode(it);
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
        }
    }
    ~FragileFleet() { upstreams.clear(); }
    FragileFleet(const FragileFleet &) = delete;
    FragileFleet &operator=(const FragileFleet &) = delete;

    void setBrittle(const std::optional<std::string> &rejectionsPerSecond)
    {
        for (const auto &it : upstreams)
            it->setBrittle(rejectionsPerSecond);
    }

    void setWaitingRoom(std::size_t requests)
    {
        for (const auto &it : upstreams)
            it->setWaitingRoom(requests);
    }

    void setFatalParts(const std::set<std::string> &parts)
    {
        for (const auto &it : upstreams)
            it->setFatalParts(parts);
    }

    int falls() const { return sum(&FragileUpstream::falls); }
    int answered() const { return sum(&FragileUpstream::answered); }

    bool hasRun(const std::string &requestId) const
    {
        return std::any_of(upstreams.begin(), upstreams.end(),
                           [&](const auto &it) { return it->hasRun(requestId); });
    }

    // What the platform allows in one time in which the upstreams are brittle.
    int allowedFalls() const { return 2 + static_cast<int>(upstreams.size()) / 10; }

    // Requests per second that the upstreams can serve.
    double capacity() const
    {
        return static_cast<double>(upstreams.size() * traits.slots)
               / std::chrono::duration<double>(traits.work).count();
    }

    // When prompts with a fatal part began to run, in order.
    std::vector<RealClock::time_point> fatalRuns() const
    {
        std::vector<RealClock::time_point> all;
        for (const auto &it : upstreams) {
            const auto runs = it->fatalRuns();
            all.insert(all.end(), runs.begin(), runs.end());
        }
        std::sort(all.begin(), all.end());
        return all;
    }

    const int nodeTotal;
    const FragileUpstream::Traits traits;
    std::vector<std::unique_ptr<FragileUpstream>> upstreams;

private:
    int sum(int (FragileUpstream::*count)()) const
    {
        int n = 0;
        for (const auto &it : upstreams)
            n += (it.get()->*count)();
        return n;
    }

    void addUpstream(int n)
    {
        const std::string id = "b-" + std::to_string(n);
        const std::string address = net + std::to_string(20 + n) + ":8000";
        const auto publish = [this, id, address](const std::string &instance) {
            store.remove("servers/" + std::exchange(m_instances[id], instance));
            putRecord(instance, address);
        };
        m_instances[id] = id;
        upstreams.push_back(std::make_unique<FragileUpstream>(address, id, traits, publish));
        putRecord(id, address);
    }

    void putRecord(const std::string &id, const std::string &address)
    {
        UpstreamEntry entry{id, address, "v1"};
        entry.slots = traits.slots;
        putUpstreamRecord(entry);
    }

    std::map<std::string, std::string> m_instances; // current ones
};

// Callers that send one kind of requests at a constant rate to all nodes in turn, whatever becomes
// of them, on connections that stay open.
class SteadyCallers
{
public:
    // The shared parts of a prompt, each followed by a comma; empty: requests without a prompt.
    using MakeParts = std::function<std::string(std::mt19937 &)>;

    SteadyCallers(const FragileFleet &fleet, std::string name, double perSecond,
                  MakeParts parts = {})
        : m_fleet(fleet), m_name(std::move(name)), m_parts(std::move(parts))
    {
        const int threads = std::clamp(static_cast<int>(perSecond / 3.0), 4, 48);
        const std::chrono::duration<double> pause(threads / perSecond);
        for (int it = 0; it < threads; ++it)
            m_threads.emplace_back([this, pause, it, threads] {
                sendAll(std::chrono::duration_cast<Clock::duration>(pause), it, threads);
            });
    }
    ~SteadyCallers() { stop(); }
    SteadyCallers(const SteadyCallers &) = delete;
    SteadyCallers &operator=(const SteadyCallers &) = delete;

    void stop()
    {
        m_isOver = true;
        for (std::thread &it : m_threads)
            it.join();
        m_threads.clear();
    }

    int sent() const { return m_sent; }
    int rejected() const { return m_rejected; }
    int failed() const { return m_failed; }

    // The share of requests that were answered, of those sent since the last call.
    double takeAnsweredShare()
    {
        const int sent = m_sentSince.exchange(0);
        return static_cast<double>(m_answeredSince.exchange(0)) / std::max(sent, 1);
    }

    // Requests that were rejected as not run although an upstream ran them.
    int falselyNotRun()
    {
        const std::lock_guard lock(m_mutex);
        return static_cast<int>(
            std::count_if(m_rejectedIds.begin(), m_rejectedIds.end(),
                          [this](const std::string &it) { return m_fleet.hasRun(it); }));
    }

private:
    using Clock = std::chrono::steady_clock;

    void sendAll(Clock::duration pause, int thread, int threads)
    {
        // NOLINTNEXTLINE(cert-msc32-c,cert-msc51-cpp): the same each time
        std::mt19937 random(static_cast<unsigned>(thread) + 1);
        HttpCaller caller;
        auto due = Clock::now() + pause * thread / threads;
        for (int n = 0; !m_isOver; ++n) {
            std::this_thread::sleep_until(due);
            due += pause;
            const std::string id = m_name + std::to_string(thread) + "x" + std::to_string(n);
            std::vector<std::string> headers{"Host: a.example", "Request-Id: " + id,
                                             "Credential: key-t", "Request-Deadline: 4000"};
            if (m_parts) {
                headers.emplace_back("Model: m");
                headers.emplace_back("Token-Usage: 400,20");
                headers.push_back("Prompt-Prefix: " + m_parts(random) + id + ":20");
            }
            const int node = (thread + n) % m_fleet.nodeTotal;
            count(id, caller.call("GET", m_fleet.url(node, "/safe/" + id), "", headers));
        }
    }

    void count(const std::string &id, const HttpAnswer &answer)
    {
        m_sent += 1;
        m_sentSince += 1;
        if (answer.status == 200) {
            m_answeredSince += 1;
        } else if (answer.status == 503) {
            m_rejected += 1;
            const std::lock_guard lock(m_mutex);
            m_rejectedIds.push_back(id);
        } else {
            m_failed += 1;
        }
    }

    const FragileFleet &m_fleet;
    const std::string m_name;
    const MakeParts m_parts;
    std::atomic<bool> m_isOver{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_rejected{0};
    std::atomic<int> m_failed{0};
    std::atomic<int> m_sentSince{0};
    std::atomic<int> m_answeredSince{0};
    std::mutex m_mutex;
    std::vector<std::string> m_rejectedIds;
    std::vector<std::thread> m_threads;
};

// The shared parts of a sound prompt: its first is common to all, the others to some.
inline std::string soundParts(std::mt19937 &random)
{
    const std::string topic = std::to_string(random() % 8);
    const std::string document = std::to_string(random() % 30);
    return "c0:100,a" + topic + ":100,d" + document + ":100,";
}

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_FRAGILE_FLEET_HPP_INCLUDED
