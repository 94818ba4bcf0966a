// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_STOP_SERIES_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_STOP_SERIES_HPP_INCLUDED

#include <algorithm>
#include <chrono>
#include <csignal>
#include <optional>
#include <thread>
#include <utility>
#include <vector>

#include "process/stop_callers.hpp"

namespace fordwood::process {

// How long the series goes on beginning stops.
inline constexpr std::chrono::seconds kPlayTime{60};

// One stop of a node, and what happens within it. All times count from the platform's decision.
struct Stop
{
    // Something that is done to the process at a time after the begin.
    struct Action
    {
        Milliseconds at{0};
        int signal = 0;
        bool isDone = false;
    };

    int node = 0;
    RealClock::time_point begin{};
    Milliseconds signalledAfter{0}; // until the process gets its signal
    std::vector<Action> actions;
    Milliseconds takenAfter{0}; // until the process can take it
    Milliseconds suspendedUntil{-1}; // the end of the last suspension
    std::optional<int> exitCode;
    RealClock::time_point exitedAt{};
    Milliseconds startsAfter{0}; // the time from its end until the node starts anew
    bool isStartedAnew = false;
    bool isReadyAgain = false;
    bool isEarly = false; // it began in the first second of the process
    std::optional<Milliseconds> stopsAgainAfter; // from the new start, whether it is ready or not
    RealClock::time_point startedAt{}; // anew

    // When the process last had processor time.
    RealClock::time_point lastRanAt() const
    {
        RealClock::time_point last = exitedAt;
        for (const Action &it : actions) {
            if (it.signal == SIGSTOP && it.isDone)
                last = begin + it.at;
            if (it.signal == SIGCONT && it.isDone)
                last = exitedAt;
        }
        return last;
    }
};

// Stops nodes and lets them start anew, and disturbs the store and the upstreams meanwhile.
class Stops
{
public:
    Stops(StopFleet &fleet, unsigned seed) : m_fleet(fleet), m_random(seed) { }

    void play()
    {
        const auto begin = RealClock::now();
        const auto end = begin + kPlayTime;
        auto nextStop = begin + 2s; // the nodes learn how long requests take
        m_nextFault = begin + m_random.between(2s, 8s);
        m_nextOutage = begin + m_random.between(5s, 20s);
        while (RealClock::now() < end || (isStopOpen() && RealClock::now() < end + kStartTime)) {
            const auto now = RealClock::now();
            const bool wasOpen = isStopOpen();
            if (wasOpen)
                continueStops();
            if (wasOpen && !isStopOpen())
                nextStop = now + pause();
            if (!isStopOpen() && now >= nextStop && now < end)
                beginStops();
            disturb(now);
            std::this_thread::sleep_for(5ms);
        }
        checkNodes();
        m_fleet.store.setDown(false);
        for (const auto &it : m_fleet.upstreams)
            it->setFault(TimedUpstream::Fault::None);
    }

    const std::vector<Stop> &stops() const { return m_stops; }

    // Nodes that have ended without a stop.
    const std::vector<int> &deadNodes() const { return m_deadNodes; }

private:
    // The longest time that the last stops and starts may take.
    static constexpr std::chrono::seconds kStartTime{60};

    // Mostly short, so that a run has more stops.
    Milliseconds pause()
    {
        return m_random.oneIn(4) ? m_random.between(3s, 10s) : m_random.between(1s, 3s);
    }

    bool isStopOpen() const
    {
        return std::any_of(m_stops.begin(), m_stops.end(),
                           [](const Stop &it) { return !it.isReadyAgain; });
    }

    void beginStops()
    {
        const std::size_t n = m_random.oneIn(3) ? 2 + m_random.pick(2) : 1;
        for (std::size_t it = 0; it < n; ++it) {
            beginStop(m_nextNode);
            m_nextNode = (m_nextNode + 1) % kNodes;
        }
    }

    void beginStop(int node, bool isEarly = false)
    {
        Stop stop;
        stop.node = node;
        stop.isEarly = isEarly;
        stop.begin = RealClock::now();
        const Milliseconds all = m_fleet.stopWithin;
        // At once, while the process has no processor time, after a time without it, or late: a
        // supervisor or a remote shell passes the signal on.
        const std::size_t kind = m_random.pick(4);
        if (kind == 0)
            suspend(stop, 0ms);
        else if (kind == 1)
            stop.signalledAfter = m_random.between(100ms, 700ms);
        else if (kind == 2)
            suspendBefore(stop);
        stop.takenAfter = std::max(stop.signalledAfter, stop.suspendedUntil);
        stop.actions.push_back({stop.signalledAfter, SIGTERM});
        if (kind == 2)
            stop.actions.push_back({0ms, SIGCONT});
        if (m_random.oneIn(3))
            suspend(stop, m_random.between(500ms, all));
        if (m_random.oneIn(3))
            stop.actions.push_back({stop.signalledAfter + m_random.between(10ms, all), SIGTERM});
        if (m_random.oneIn(3))
            stop.actions.push_back({m_random.between(10ms, all), SIGHUP});
        constexpr int kReloads = 12;
        for (int n = m_random.oneIn(4) ? kReloads : 0; n > 0; --n)
            stop.actions.push_back({m_random.between(10ms, all), SIGHUP});
        stop.startsAfter = m_random.oneIn(3) ? 0ms : m_random.between(0ms, 1'000ms);
        if (m_random.oneIn(5))
            stop.stopsAgainAfter = m_random.between(50ms, 1'000ms);
        m_submitsUntil = m_random.oneIn(4) ? stop.begin + all : m_submitsUntil;
        const Process &process = m_fleet.nodes[static_cast<std::size_t>(node)];
        for (Stop::Action &it : stop.actions) {
            if (stop.begin + it.at > RealClock::now())
                continue;
            process.signal(it.signal);
            it.isDone = true;
        }
        m_stops.push_back(std::move(stop));
    }

    // The process has no processor time right before the stop begins.
    void suspendBefore(Stop &stop)
    {
        const Milliseconds time = m_random.between(500ms, 2'500ms);
        stop.begin += time;
        stop.actions.push_back({-time, SIGSTOP});
        stop.suspendedUntil = 0ms;
    }

    void suspend(Stop &stop, Milliseconds at)
    {
        const Milliseconds until = at + m_random.between(100ms, 1'000ms);
        stop.actions.push_back({at, SIGSTOP});
        stop.actions.push_back({until, SIGCONT});
        stop.suspendedUntil = until;
    }

    void continueStops()
    {
        std::vector<int> again;
        for (Stop &it : m_stops) {
            if (!it.exitCode)
                continueStop(it);
            else if (!it.isStartedAnew && RealClock::now() >= it.exitedAt + it.startsAfter)
                startAnew(it);
            else if (it.isStartedAnew && !it.isReadyAgain && isDueAgain(it))
                again.push_back(it.node);
            else if (it.isStartedAnew && !it.isReadyAgain && !it.stopsAgainAfter)
                it.isReadyAgain = m_fleet.isReady(it.node);
        }
        for (const int node : again)
            stopAgain(node);
    }

    static bool isDueAgain(const Stop &stop)
    {
        return stop.stopsAgainAfter && RealClock::now() >= stop.startedAt + *stop.stopsAgainAfter;
    }

    // Stops a node that has just started. Its last stop counts as over.
    void stopAgain(int node)
    {
        for (Stop &it : m_stops)
            it.isReadyAgain = it.isReadyAgain || it.node == node;
        beginStop(node, true);
    }

    void continueStop(Stop &stop)
    {
        Process &process = m_fleet.nodes[static_cast<std::size_t>(stop.node)];
        int code = 0;
        const bool hasEnded = process.waitFor(0s, code);
        const auto now = RealClock::now();
        if (hasEnded || now >= stop.begin + m_fleet.stopWithin) {
            if (!hasEnded)
                process.kill();
            stop.exitCode = hasEnded ? code : -SIGKILL;
            stop.exitedAt = now;
            return;
        }
        for (Stop::Action &it : stop.actions) {
            if (it.isDone || now < stop.begin + it.at)
                continue;
            process.signal(it.signal);
            it.isDone = true;
        }
    }

    void startAnew(Stop &stop)
    {
        m_fleet.startAgain(static_cast<std::size_t>(stop.node));
        stop.isStartedAnew = true;
        stop.startedAt = RealClock::now();
    }

    void disturb(RealClock::time_point now)
    {
        constexpr Milliseconds kSubmitInterval{700};
        if (now < m_submitsUntil && now >= m_nextSubmission) {
            m_nextSubmission = now + kSubmitInterval;
            m_fleet.submit(++m_version);
        }
        if (now >= m_nextOutage) {
            m_isStoreDown = !m_isStoreDown;
            m_fleet.store.setDown(m_isStoreDown);
            m_nextOutage
                = now + (m_isStoreDown ? m_random.between(1s, 5s) : m_random.between(8s, 25s));
        }
        if (now < m_nextFault)
            return;
        using Fault = TimedUpstream::Fault;
        if (m_faulty != nullptr) {
            std::exchange(m_faulty, nullptr)->setFault(Fault::None);
            m_nextFault = now + m_random.between(3s, 10s);
            return;
        }
        m_faulty = m_fleet.upstreams[m_random.pick(m_fleet.upstreams.size())].get();
        m_faulty->setFault(m_random.oneIn(2) ? Fault::BreakOff : Fault::Silence);
        m_nextFault = now + m_random.between(300ms, 1'500ms);
    }

    void checkNodes()
    {
        for (int node = 0; node < kNodes; ++node) {
            const bool isStopping
                = std::any_of(m_stops.begin(), m_stops.end(), [node](const Stop &it) {
                      return it.node == node && !it.isReadyAgain;
                  });
            int code = 0;
            if (!isStopping && m_fleet.nodes[static_cast<std::size_t>(node)].waitFor(0s, code))
                m_deadNodes.push_back(node);
        }
    }

    StopFleet &m_fleet;
    Random m_random;
    std::vector<Stop> m_stops;
    std::vector<int> m_deadNodes;
    int m_nextNode = 0;
    int m_version = 1; // of the configuration
    RealClock::time_point m_submitsUntil{};
    RealClock::time_point m_nextSubmission{};
    RealClock::time_point m_nextFault{};
    RealClock::time_point m_nextOutage{};
    TimedUpstream *m_faulty = nullptr;
    bool m_isStoreDown = false;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_STOP_SERIES_HPP_INCLUDED
