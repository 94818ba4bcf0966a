// SPDX-License-Identifier: MIT
// The restart of all nodes at the same moment, before a store with a link of a limited rate.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <cstdlib>
#include <random>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>

#include "process/node_deployment.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

constexpr int kNodes = 40;

// The time within which callers are promised to be served again.
constexpr std::chrono::seconds kServedWithin{18};

// The time in which relays take and leave their roles.
constexpr std::chrono::seconds kSettled{3};

// Ten pages of content. The link carries a page for every node in two seconds, longer than a call
// of the store may take.
constexpr int kUpstreamRecords = 1'000;
constexpr std::size_t kPageItems = 100;
constexpr double kPageBytes = 48'000;
constexpr double kLinkBytesPerSecond = kNodes * kPageBytes / 2.0;

// Nodes of two failure domains that have written their keys, and a store that has filled up since.
class LargeFleet : public Deployment
{
public:
    LargeFleet()
    {
        putConfiguration(1);
        putUpstream("i-1");
        putUpstream("i-2");
        startAll();
        REQUIRE(Fleet::waitFor([&] { return readyNodes() == kNodes && knowEachOther(); }));
        // Records of another service, padded to the size that records of a fleet have.
        for (int n = 0; n < kUpstreamRecords; ++n)
            putUpstreamRecord({"other-" + std::to_string(n) + std::string(100, 'x'), net + "2:8000",
                               "v1", "other"});
        std::this_thread::sleep_for(kSettled);
        store.setLink(kPageItems, kLinkBytesPerSecond);
    }

    void startAll()
    {
        for (int n = 0; n < kNodes; ++n)
            startNode(n, "", domainOf(n));
    }

    // All VMs lose power at the same moment and start again.
    void loseAndRegainPower()
    {
        for (Process &it : nodes)
            it.kill();
        nodes.clear();
        startAll();
    }

    // The VMs lose power at the same moment.
    void losePower(const std::set<int> &which)
    {
        for (const int it : which)
            nodes[static_cast<std::size_t>(it)].kill();
    }

    void startAgain(const std::set<int> &which)
    {
        for (const int it : which)
            Deployment::startAgain(static_cast<std::size_t>(it), "", domainOf(it));
    }

    // The nodes that name themselves in the store as sources of its content.
    std::set<int> sources()
    {
        std::set<int> found;
        for (const std::string &it : store.namesUnder("fordwood/sources/"))
            found.insert(std::stoi(it.substr(1)));
        return found;
    }

    // Waits until all nodes are ready. Returns how many are.
    int waitForReadyNodes() const
    {
        const auto began = std::chrono::steady_clock::now();
        int ready = 0;
        while (ready < kNodes && std::chrono::steady_clock::now() - began < kServedWithin)
            ready = readyNodes();
        return ready;
    }

    int nodesThatServe() const
    {
        int n = 0;
        for (int node = 0; node < kNodes; ++node)
            n += call("GET", "/safe/1", "r" + std::to_string(node), node).status == 200 ? 1 : 0;
        return n;
    }

    int readyNodes() const
    {
        int n = 0;
        for (int node = 0; node < kNodes; ++node)
            n += isReady(node) ? 1 : 0;
        return n;
    }

private:
    static const char *domainOf(int node) { return node % 2 == 0 ? "x" : "y"; }

    bool knowEachOther() const
    {
        int n = 0;
        for (int node = 0; node < kNodes; ++node)
            n += logged(node, "live=\"" + std::to_string(kNodes) + "\"") > 0 ? 1 : 0;
        return n == kNodes;
    }
};

// Callers that send over one open connection each until it breaks, and then over the next one.
class OpenConnections
{
public:
    explicit OpenConnections(const LargeFleet &fleet)
    {
        for (int n = 0; n < kCallers; ++n)
            m_threads.emplace_back([this, &fleet, n] { send(fleet.url(n, "/safe/1")); });
    }
    ~OpenConnections()
    {
        m_isDone = true;
        for (std::thread &it : m_threads)
            it.join();
    }
    OpenConnections(const OpenConnections &) = delete;
    OpenConnections &operator=(const OpenConnections &) = delete;

private:
    static constexpr int kCallers = 10;
    static constexpr std::chrono::milliseconds kPause{20};

    void send(const std::string &url) const
    {
        CURL *handle = curl_easy_init();
        curl_slist *fields = curl_slist_append(nullptr, "Host: a.example");
        for (const char *it : {"Request-Id: o", "Credential: key-t", "Request-Deadline: 1000"})
            fields = curl_slist_append(fields, it);
        curl_easy_setopt(handle, CURLOPT_URL, url.c_str());
        curl_easy_setopt(handle, CURLOPT_HTTPHEADER, fields);
        curl_easy_setopt(handle, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(handle, CURLOPT_TIMEOUT_MS, 1'000L);
        curl_easy_setopt(handle, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(handle, CURLOPT_WRITEFUNCTION, &ignore);
        while (!m_isDone) {
            curl_easy_perform(handle); // may fail while the node is without power
            std::this_thread::sleep_for(kPause);
        }
        curl_slist_free_all(fields);
        curl_easy_cleanup(handle);
    }

    static std::size_t ignore(char * /*bytes*/, std::size_t size, std::size_t n, void * /*user*/)
    {
        return size * n;
    }

    std::atomic<bool> m_isDone{false};
    std::vector<std::thread> m_threads;
};

// Losses of power in random order, alone, in series, and while the store is in trouble.
class Disturbances
{
public:
    Disturbances(LargeFleet &fleet, unsigned seed) : m_fleet(fleet), m_random(seed) { }

    // Returns what happened. All VMs have power again, and the store answers.
    const char *next()
    {
        const std::set<int> all = someNodes(kNodes);
        switch (m_random() % 6) {
        case 0:
            m_fleet.losePower(all);
            m_fleet.startAgain(all);
            return "all nodes";
        case 1:
            loseSourcesForLong();
            return "all nodes, sources for longer";
        case 2: {
            const std::set<int> some = someNodes(kNodes / 2);
            m_fleet.losePower(some);
            m_fleet.startAgain(some);
            return "half of the nodes";
        }
        case 3:
            m_fleet.store.setDown(true);
            m_fleet.losePower(all);
            m_fleet.startAgain(all);
            pause(2'000);
            m_fleet.store.setDown(false);
            return "all nodes while the store rejects calls";
        case 4:
            m_fleet.store.setStalled(true);
            m_fleet.losePower(all);
            m_fleet.startAgain(all);
            pause(1'800);
            m_fleet.store.setStalled(false);
            return "all nodes while the store is silent";
        default:
            for (int n = 0; n < 3; ++n) {
                const std::set<int> some = someNodes(kNodes / 2);
                m_fleet.losePower(some);
                m_fleet.startAgain(some);
                pause(100 + m_random() % 900);
            }
            return "half of the nodes, three times";
        }
    }

private:
    void loseSourcesForLong()
    {
        const std::set<int> sources = m_fleet.sources();
        std::set<int> others;
        for (int n = 0; n < kNodes; ++n) {
            if (!sources.contains(n))
                others.insert(n);
        }
        m_fleet.losePower(sources);
        m_fleet.losePower(others);
        m_fleet.startAgain(others);
        pause(5'000);
        m_fleet.startAgain(sources);
    }

    std::set<int> someNodes(std::size_t n)
    {
        std::set<int> some;
        while (some.size() < n)
            some.insert(static_cast<int>(m_random() % kNodes));
        return some;
    }

    static void pause(std::size_t milliseconds)
    {
        std::this_thread::sleep_for(std::chrono::milliseconds(milliseconds));
    }

    LargeFleet &m_fleet;
    std::mt19937 m_random;
};

} // namespace

// Guards against a fleet that does not come back: all nodes read the store at once, no page arrived
// in time, and each began its read anew.
TEST_CASE("fleet restart: nodes that all lose power serve again while the store's link carries few "
          "reads at a time [node][start]")
{
    LargeFleet fleet;
    fleet.loseAndRegainPower();
    CHECK(fleet.waitForReadyNodes() == kNodes);
    CHECK(fleet.nodesThatServe() == kNodes);
}

// FORDWOOD_SEED plays another series.
TEST_CASE("fleet restart soak: after each of several losses of power all nodes serve again "
          "[node][start][soak]")
{
    constexpr int kRounds = 4;
    const char *text = std::getenv("FORDWOOD_SEED");
    const int seed = text == nullptr ? 1 : std::atoi(text);
    CAPTURE(seed);
    LargeFleet fleet;
    const OpenConnections callers(fleet);
    Disturbances disturbances(fleet, static_cast<unsigned>(seed));
    for (int round = 0; round < kRounds; ++round) {
        CAPTURE(round);
        const char *disturbance = disturbances.next();
        CAPTURE(disturbance);
        CHECK(fleet.waitForReadyNodes() == kNodes);
        CHECK(fleet.nodesThatServe() == kNodes);
    }
}
