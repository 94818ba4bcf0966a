// SPDX-License-Identifier: MIT
// Guards against upstreams that fall over under the requests that they have to reject. Upstreams
// with a few slots announced that they bear few rejections a second, and then let no request wait.
// Nodes sent as much as before; each upstream that fell over left its load to the others, and
// hardly anything was served, even where the upstreams could have served all.
#include <doctest/doctest.h>

#include <atomic>
#include <chrono>
#include <memory>
#include <thread>
#include <vector>

#include "process/fragile_upstream.hpp"
#include "process/node_deployment.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = std::chrono::steady_clock;

// Nodes before brittle upstreams of one service.
class BrittleFleet : public Deployment
{
public:
    BrittleFleet(int nodeCount, int upstreamCount, FragileUpstream::Traits ofUpstreams = {})
        : traits(ofUpstreams)
    {
        putConfiguration(1);
        for (int n = 0; n < upstreamCount; ++n)
            addUpstream(n);
        for (int it = 0; it < nodeCount; ++it) {
            startNode(it);
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
        }
    }
    ~BrittleFleet() { upstreams.clear(); }
    BrittleFleet(const BrittleFleet &) = delete;
    BrittleFleet &operator=(const BrittleFleet &) = delete;

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

    int falls() const { return sum(&FragileUpstream::falls); }
    int answered() const { return sum(&FragileUpstream::answered); }

    // What the rule allows in one time in which the upstreams are brittle.
    int allowedFalls() const { return 2 + static_cast<int>(upstreams.size()) / 10; }

    // Requests per second that the upstreams can serve.
    double capacity() const
    {
        return static_cast<double>(upstreams.size() * traits.slots)
               / std::chrono::duration<double>(traits.work).count();
    }

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
            for (int life = 1; life < 50; ++life)
                store.remove("servers/" + id + (life == 1 ? "" : "." + std::to_string(life)));
            putRecord(instance, address);
        };
        upstreams.push_back(std::make_unique<FragileUpstream>(address, id, traits, publish));
        putRecord(id, address);
    }

    void putRecord(const std::string &id, const std::string &address)
    {
        UpstreamEntry entry{id, address, "v1"};
        entry.slots = traits.slots;
        putUpstreamRecord(entry);
    }
};

// Callers that offer a constant rate to all nodes in turn, whatever becomes of their requests.
class OfferedLoad
{
public:
    OfferedLoad(const BrittleFleet &fleet, int nodes, double perSecond)
    {
        const auto pause = std::chrono::duration<double>(kThreads / perSecond);
        for (int thread = 0; thread < kThreads; ++thread) {
            const auto offset = pause * thread / kThreads;
            m_threads.emplace_back([this, &fleet, nodes, pause, offset, thread] {
                auto due
                    = RealClock::now() + std::chrono::duration_cast<RealClock::duration>(offset);
                for (int n = 0; !m_isOver; ++n) {
                    std::this_thread::sleep_until(due);
                    due += std::chrono::duration_cast<RealClock::duration>(pause);
                    const std::string id = std::to_string(thread) + "-" + std::to_string(n);
                    const HttpAnswer answer
                        = fleet.call("GET", "/safe/" + id, id, (thread + n) % nodes);
                    m_sent += 1;
                    m_rejected += answer.status == 503 ? 1 : 0;
                    m_failed += answer.status != 503 && answer.status != 200 ? 1 : 0;
                }
            });
        }
    }
    ~OfferedLoad()
    {
        m_isOver = true;
        for (std::thread &it : m_threads)
            it.join();
    }
    OfferedLoad(const OfferedLoad &) = delete;
    OfferedLoad &operator=(const OfferedLoad &) = delete;

    int failed() const { return m_failed; }
    int rejected() const { return m_rejected; }
    int sent() const { return m_sent; }

private:
    static constexpr int kThreads = 48;

    std::atomic<bool> m_isOver{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_rejected{0};
    std::atomic<int> m_failed{0};
    std::vector<std::thread> m_threads;
};

// What became of one time in which all upstreams are brittle.
struct Outcome
{
    int falls = 0;
    double servedShare = 0.0; // of what the upstreams could serve, once they let no request wait
};

constexpr auto kBrittleFor = 9s;

// The time from which brittle upstreams let fewer requests wait.
constexpr auto kNoRoomAfter = 3s;

Outcome playBrittleTime(
    BrittleFleet &fleet, int nodes, double load, const char *rejections, std::size_t room = 0,
    const std::function<void()> &midway = [] {})
{
    const double offered = load * fleet.capacity();
    const OfferedLoad callers(fleet, nodes, offered);
    std::this_thread::sleep_for(1s);
    fleet.setBrittle(rejections);
    std::this_thread::sleep_for(kNoRoomAfter);
    fleet.setWaitingRoom(room);
    const int before = fleet.answered();
    const auto from = RealClock::now();
    midway();
    std::this_thread::sleep_until(from + kBrittleFor - kNoRoomAfter);
    const double time = std::chrono::duration<double>(RealClock::now() - from).count();
    Outcome outcome;
    outcome.falls = fleet.falls();
    outcome.servedShare
        = (fleet.answered() - before) / (time * std::min(offered, fleet.capacity()));
    MESSAGE("fell over ", outcome.falls, " times, served ", outcome.servedShare, "; ",
            callers.sent(), " sent, ", callers.rejected(), " rejected, ", callers.failed(),
            " failed");
    return outcome;
}

} // namespace

TEST_CASE("brittle upstreams: rejections under twice the load that they can serve make none fall "
          "over in turn [node][brittle]")
{
    BrittleFleet fleet(3, 6);
    const Outcome outcome = playBrittleTime(fleet, 3, 2.0, "3");
    CHECK(outcome.falls <= fleet.allowedFalls());
    CHECK(outcome.servedShare >= 0.8);
}

TEST_CASE("brittle upstreams: a load that they can serve is served [node][brittle]")
{
    BrittleFleet fleet(3, 6);
    const Outcome outcome = playBrittleTime(fleet, 3, 0.75, "3");
    CHECK(outcome.falls <= fleet.allowedFalls());
    CHECK(outcome.servedShare >= 0.8);
}
