// SPDX-License-Identifier: MIT
// Guards against one part of a prompt that crashes one upstream after the other. Requests with the
// part differ otherwise, so that each was a new one to the quarantine: thirty engines ended, with
// all that ran there.
#include <doctest/doctest.h>

#include <algorithm>
#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <mutex>
#include <random>
#include <thread>
#include <vector>

#include "process/fragile_upstream.hpp"
#include "process/node_deployment.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = std::chrono::steady_clock;

const std::string kFatal = "fa7a1";

// The nodes must hold what has ended five upstreams this long after the fifth end.
constexpr auto kContactTime = 3s;

// Nodes before upstreams that fall over when they begin to answer a prompt with a fatal part.
class PartFleet : public Deployment
{
public:
    PartFleet(int nodeCount, int upstreamCount) : nodeTotal(nodeCount)
    {
        putConfiguration(1);
        for (int n = 0; n < upstreamCount; ++n)
            addUpstream(n);
        for (int it = 0; it < nodeCount; ++it) {
            startNode(it);
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
        }
    }
    ~PartFleet() { upstreams.clear(); }
    PartFleet(const PartFleet &) = delete;
    PartFleet &operator=(const PartFleet &) = delete;

    void setFatalParts(const std::set<std::string> &parts)
    {
        for (const auto &it : upstreams)
            it->setFatalParts(parts);
    }

    int falls() const
    {
        int n = 0;
        for (const auto &it : upstreams)
            n += it->falls();
        return n;
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

    // Runs that began later than allowed.
    int lateRuns() const
    {
        constexpr std::size_t kAllowedEnds = 5;
        const auto runs = fatalRuns();
        if (runs.size() < kAllowedEnds)
            return 0;
        const auto from = runs[kAllowedEnds - 1] + kContactTime;
        return static_cast<int>(
            std::count_if(runs.begin(), runs.end(), [&](const auto &it) { return it > from; }));
    }

    HttpAnswer send(const std::string &id, const std::string &parts, int node) const
    {
        return httpCall("GET", url(node, "/safe/" + id), "",
                        {"Host: a.example", "Request-Id: " + id, "Credential: key-t",
                         "Request-Deadline: 4000", "Model: m", "Token-Usage: 400,20",
                         "Prompt-Prefix: " + parts + id + ":20"});
    }

    const int nodeTotal;
    std::vector<std::unique_ptr<FragileUpstream>> upstreams;

private:
    void addUpstream(int n)
    {
        const std::string id = "p-" + std::to_string(n);
        const std::string address = net + std::to_string(20 + n) + ":8000";
        const auto publish = [this, id, address](const std::string &instance) {
            store.remove("servers/" + m_instances[id]);
            m_instances[id] = instance;
            putUpstreamRecord({instance, address, "v1"});
        };
        m_instances[id] = id;
        FragileUpstream::Traits traits;
        traits.slots = 16;
        traits.work = 80ms;
        upstreams.push_back(std::make_unique<FragileUpstream>(address, id, traits, publish));
        putUpstreamRecord({id, address, "v1"});
    }

    std::map<std::string, std::string> m_instances; // current ones
};

// The shared parts of a prompt: its first is common to all, the others to some.
std::string soundParts(std::mt19937 &random)
{
    const std::string topic = std::to_string(random() % 8);
    const std::string document = std::to_string(random() % 30);
    return "c0:100,a" + topic + ":100,d" + document + ":100,";
}

// The same with the fatal part at the given place.
std::string fatalParts(std::mt19937 &random, std::size_t place)
{
    const std::string topic = std::to_string(random() % 8);
    const std::string document = std::to_string(random() % 30);
    std::vector<std::string> parts{"c0", "a" + topic, "d" + document};
    parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(place), kFatal);
    std::string text;
    for (const std::string &it : parts)
        text += it + ":100,";
    return text;
}

// Callers that send one kind of requests at a constant rate to all nodes in turn.
class Callers
{
public:
    using MakeParts = std::function<std::string(std::mt19937 &)>;

    Callers(const PartFleet &fleet, std::string name, double perSecond, MakeParts parts)
        : m_name(std::move(name)), m_parts(std::move(parts))
    {
        const int threads = std::max(4, static_cast<int>(perSecond / 2));
        const std::chrono::duration<double> pause(threads / perSecond);
        for (int it = 0; it < threads; ++it)
            m_threads.emplace_back([this, &fleet, pause, it, threads] {
                sendAll(fleet, std::chrono::duration_cast<RealClock::duration>(pause), it, threads);
            });
    }
    ~Callers()
    {
        m_isOver = true;
        for (std::thread &it : m_threads)
            it.join();
    }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    // The share of requests that were answered, of those sent since the last call.
    double takeAnsweredShare()
    {
        const int sent = m_sent.exchange(0);
        return static_cast<double>(m_answered.exchange(0)) / std::max(sent, 1);
    }

private:
    void sendAll(const PartFleet &fleet, RealClock::duration pause, int thread, int threads)
    {
        std::mt19937 random(static_cast<unsigned>(thread)
                            + 1); // NOLINT(cert-msc32-c,cert-msc51-cpp)
        auto due = RealClock::now() + pause * thread / threads;
        for (int n = 0; !m_isOver; ++n) {
            std::this_thread::sleep_until(due);
            due += pause;
            const std::string id = m_name + std::to_string(thread) + "x" + std::to_string(n);
            const HttpAnswer answer
                = fleet.send(id, m_parts(random), (thread + n) % fleet.nodeTotal);
            m_sent += 1;
            m_answered += answer.status == 200 ? 1 : 0;
        }
    }

    const std::string m_name;
    const MakeParts m_parts;
    std::atomic<bool> m_isOver{false};
    std::atomic<int> m_sent{0};
    std::atomic<int> m_answered{0};
    std::vector<std::thread> m_threads;
};

struct Outcome
{
    int falls = 0;
    int lateRuns = 0;
    double answeredBefore = 0.0; // of the sound requests, while there was no fatal part
    double answeredLate = 0.0; // from twice the contact time after the beginning
};

Outcome playFatalPart(PartFleet &fleet, double perSecond, const Callers::MakeParts &parts,
                      const Callers::MakeParts &sound = soundParts)
{
    Callers soundCallers(fleet, "s", 50.0, sound);
    std::this_thread::sleep_for(3s);
    Outcome outcome;
    outcome.answeredBefore = soundCallers.takeAnsweredShare();
    fleet.setFatalParts({kFatal});
    const Callers fatalCallers(fleet, "f", perSecond, parts);
    std::this_thread::sleep_for(2 * kContactTime + 1s);
    soundCallers.takeAnsweredShare();
    std::this_thread::sleep_for(5s);
    outcome.answeredLate = soundCallers.takeAnsweredShare();
    outcome.falls = fleet.falls();
    outcome.lateRuns = fleet.lateRuns();
    MESSAGE("fell over ", outcome.falls, " times, ", outcome.lateRuns,
            " late runs; sound requests answered ", outcome.answeredBefore, ", then ",
            outcome.answeredLate);
    return outcome;
}

void checkIsHeld(const Outcome &outcome)
{
    constexpr int kAllowedLateRuns = 3;
    CHECK(outcome.lateRuns <= kAllowedLateRuns);
    CHECK(outcome.answeredLate >= outcome.answeredBefore - 0.1);
}

} // namespace

TEST_CASE("prompt parts: requests that share a part under which upstreams end are not sent to all "
          "of them [node][quarantine][parts]")
{
    PartFleet fleet(3, 10);
    checkIsHeld(playFatalPart(fleet, 6.0, [](std::mt19937 &it) { return fatalParts(it, 1); }));
}
