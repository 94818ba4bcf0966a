// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_PLACE_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_PLACE_FLEET_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "fordwood/manual_clock.hpp"
#include "fordwood/place_lender.hpp"
#include "fordwood/scheduler_ranking.hpp"

namespace fordwood::support {

// Simulates nodes with callers before brittle upstreams that let no request wait, and the messages
// by which the nodes borrow places. Messages are delayed and sometimes lost.
class PlaceFleet
{
public:
    struct Traits
    {
        std::size_t nodes = 3;
        std::size_t upstreams = 6;
        std::size_t slots = 2;
        std::size_t rejectionsBorne = 3; // by an upstream, in one second
        double load = 2.0; // offered, in relation to what the upstreams can serve
        double shareOfFirstNode = 0.0; // of the requests, beyond its equal share
        double lossRate = 0.01; // of messages
        Duration work = std::chrono::milliseconds(60);
        Duration patience = std::chrono::milliseconds(100);
    };

    explicit PlaceFleet(Traits traits, unsigned seed = 1);

    void run(Duration time);

    // The node that lends first dies with the requests that it has open.
    void killLender();

    // The given number of slots of each upstream is used by others.
    void setSlotsTaken(std::size_t n) { m_slotsTaken = n; }

    std::size_t falls() const { return m_falls; }
    std::size_t rejections() const { return m_rejections; }

    // Requests served since the last call, in relation to those that could have been.
    double takeServedShare();

private:
    struct Node
    {
        std::string name;
        bool isAlive = true;
        std::unique_ptr<SchedulerRanking> lenders;
        std::unique_ptr<PlaceLender> lender; // used if other nodes take it for theirs
        struct Pending
        {
            std::string lender;
            TimePoint timeout{};
        };
        std::map<std::uint64_t, Pending> pending; // by number
        struct Held
        {
            std::string lender;
            std::uint64_t upstream = 0;
        };
        std::map<std::uint64_t, Held> held; // by number
    };
    struct Upstream
    {
        std::uint64_t id = 0;
        std::size_t running = 0;
        std::deque<TimePoint> rejections;
        TimePoint downUntil{};
    };

    Node &node(std::size_t n) { return m_nodes[n]; }
    Node *find(const std::string &name);
    void after(Duration delay, std::function<void()> action);
    void send(std::function<void()> deliver);
    void arrive();
    void ask(std::size_t n);
    void onReply(std::size_t n, const PlaceReply &reply);
    void work(std::size_t n, std::uint64_t number, std::uint64_t upstream);
    void giveBack(std::size_t n, std::uint64_t number, bool wasRejected);
    void dispatch(Node &lender);
    void reportAll();
    std::vector<PlaceLender::Upstream> upstreamsUp() const;
    std::vector<std::uint64_t> preferences();
    double random();

    const Traits m_traits;
    ManualClock m_clock;
    std::mt19937 m_random;
    std::vector<Node> m_nodes;
    std::vector<Upstream> m_upstreams;
    std::multimap<TimePoint, std::function<void()>> m_actions;
    std::uint64_t m_lastNumber = 0;
    std::uint64_t m_nextUpstream = 1;
    double m_arrivalsDue = 0.0;
    TimePoint m_nextReport{};
    TimePoint m_countedSince;
    std::size_t m_slotsTaken = 0;
    std::size_t m_falls = 0;
    std::size_t m_rejections = 0;
    std::size_t m_served = 0;
};

} // namespace fordwood::support

#endif // FORDWOOD_TESTS_SUPPORT_PLACE_FLEET_HPP_INCLUDED
