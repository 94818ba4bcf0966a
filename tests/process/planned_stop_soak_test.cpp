// SPDX-License-Identifier: MIT
// Callers on kept connections while nodes are stopped and start anew, in turn and some at once.
// Processes are suspended as the signal comes or later, signals are repeated, the store goes away,
// and upstreams break off or fall silent. FORDWOOD_SEED plays another series; with
// FORDWOOD_KEEP_LOGS the nodes' logs are kept.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <memory>
#include <mutex>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "process/stop_fleet.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;

namespace {

using RealClock = StopFleet::RealClock;
using Milliseconds = std::chrono::milliseconds;

constexpr int kNodes = 5;
constexpr int kUpstreams = 6;
constexpr int kCallers = 75;
constexpr std::chrono::seconds kPlayTime{60};

// A connection that ends at most this long after the last byte of a request may have crossed it.
constexpr Milliseconds kLossSlack{200};
// Requests that are sent later than this after the signal must not be cut.
constexpr Milliseconds kNoticeTime{3'000};
// How long after the stop's time an end may still be caused by it.
constexpr Milliseconds kAfterStop{1'000};
// A process that is suspended this close to the end of its stop may end late.
constexpr Milliseconds kNearEnd{1'000};

class Random
{
public:
    explicit Random(unsigned seed) : m_engine(seed) { }

    std::size_t pick(std::size_t n) { return m_engine() % n; }
    bool oneIn(std::size_t n) { return pick(n) == 0; }
    Milliseconds between(Milliseconds from, Milliseconds to)
    {
        return from + Milliseconds(pick(static_cast<std::size_t>((to - from).count()) + 1));
    }

private:
    std::mt19937 m_engine;
};

// Model of the platform's balancer: it asks each node once a second whether it is ready, and takes
// a node out after two questions in a row without a 200 in time.
class Balancer
{
public:
    explicit Balancer(const StopFleet &fleet)
    {
        for (auto &it : m_isIn)
            it = true;
        for (int n = 0; n < kNodes; ++n)
            m_threads.emplace_back([this, &fleet, n] { watch(fleet, n); });
    }
    ~Balancer()
    {
        m_isOver = true;
        for (std::thread &it : m_threads)
            it.join();
    }
    Balancer(const Balancer &) = delete;
    Balancer &operator=(const Balancer &) = delete;

    // A node in rotation other than `except`, if there is one.
    std::optional<int> choose(Random &random, std::optional<int> except = std::nullopt) const
    {
        std::vector<int> nodes;
        for (int n = 0; n < kNodes; ++n) {
            if (m_isIn[static_cast<std::size_t>(n)] && n != except)
                nodes.push_back(n);
        }
        if (nodes.empty())
            return except;
        return nodes[random.pick(nodes.size())];
    }

private:
    static constexpr std::chrono::seconds kInterval{1};
    static constexpr int kMisses = 2;

    void watch(const StopFleet &fleet, int node)
    {
        int misses = 0;
        for (auto next = RealClock::now(); !m_isOver; std::this_thread::sleep_until(next)) {
            next += kInterval;
            const bool isReady = fleet.isReady(node) && RealClock::now() <= next;
            misses = isReady ? 0 : misses + 1;
            m_isIn[static_cast<std::size_t>(node)] = misses < kMisses;
        }
    }

    std::array<std::atomic<bool>, kNodes> m_isIn{};
    std::atomic<bool> m_isOver{false};
    std::vector<std::thread> m_threads;
};

// One attempt of a caller: a request to a node.
struct Attempt
{
    std::string id;
    std::string route;
    Milliseconds length{0};
    int node = 0;
    RealClock::time_point sentAt{};
    RealClock::time_point endedAt{};
    HttpAnswer answer;

    bool isStream() const { return route == "talk" || route == "stream"; }
    bool mayRunTwice() const { return route == "safe" || route == "stream"; }
    bool isAnswered() const { return answer.isComplete && answer.status == 200; }
    bool hasOwnBody() const
    {
        if (!isStream())
            return answer.body == "answer to " + id;
        std::string events;
        for (int n = 1; n <= TimedUpstream::eventsOf(length); ++n)
            events += StreamUpstream::event(n);
        return answer.body == events;
    }
};

// Callers on threads of their own, each with one connection that it keeps.
class Callers
{
public:
    Callers(const StopFleet &fleet, const Balancer &balancer, unsigned seed)
        : m_fleet(fleet), m_balancer(balancer)
    {
        for (unsigned n = 0; n < kCallers; ++n)
            m_threads.emplace_back([this, n, seed] { run(n, seed); });
    }
    ~Callers() { stop(); }
    Callers(const Callers &) = delete;
    Callers &operator=(const Callers &) = delete;

    void stop()
    {
        m_isOver = true;
        for (std::thread &it : m_threads)
            it.join();
        m_threads.clear();
    }

    // Complete after stop().
    const std::vector<Attempt> &attempts() const { return m_attempts; }

    std::atomic<int> requests{0};
    std::atomic<int> first{0}; // answered at the first try
    std::atomic<int> second{0}; // answered with the retry
    std::atomic<int> failed{0}; // with a complete answer that reports a failure
    std::atomic<int> unanswered{0}; // without any complete answer
    std::atomic<int> refused{0}; // connections

private:
    struct Caller
    {
        Random random;
        std::string name;
        int node = 0;
        std::unique_ptr<KeptConnection> connection;
    };

    void run(unsigned n, unsigned seed)
    {
        Caller caller{Random(seed * 1'000 + n), "c" + std::to_string(n) + "-", 0, nullptr};
        for (int request = 0; !m_isOver; ++request) {
            call(caller, caller.name + std::to_string(request));
            std::this_thread::sleep_for(caller.random.between(0ms, 300ms));
        }
    }

    static Milliseconds lengthFor(Random &random)
    {
        switch (random.pick(8)) {
        case 0:
            return random.between(1'500ms, 5'000ms);
        case 1:
        case 2:
            return random.between(400ms, 1'500ms);
        default:
            return random.between(20ms, 400ms);
        }
    }

    void call(Caller &caller, const std::string &name)
    {
        static constexpr std::array kRoutes{"safe", "once", "talk", "stream"};
        requests += 1;
        Attempt attempt;
        attempt.route = kRoutes[caller.random.pick(kRoutes.size())];
        attempt.length = lengthFor(caller.random);
        for (int it = 0; it < 2; ++it) {
            attempt.id = name + "-" + std::to_string(it);
            if (it > 0)
                caller.connection.reset();
            if (!connect(caller, it > 0))
                break;
            send(caller, attempt);
            if (attempt.isAnswered()) {
                (it == 0 ? first : second) += 1;
                return;
            }
            if (attempt.answer.isComplete && attempt.answer.status != 503)
                break;
        }
        (attempt.answer.isComplete ? failed : unanswered) += 1;
    }

    // Keeps the open connection, or connects to a node in rotation; elsewhere than before for a
    // retry.
    bool connect(Caller &caller, bool isRetry)
    {
        constexpr std::chrono::seconds kConnectTime{10};
        const auto until = RealClock::now() + kConnectTime;
        if (caller.connection && !caller.connection->hasEnded())
            return true;
        const std::optional<int> except = isRetry ? std::optional(caller.node) : std::nullopt;
        for (; RealClock::now() < until; std::this_thread::sleep_for(20ms)) {
            const std::optional<int> node = m_balancer.choose(caller.random, except);
            if (!node)
                continue;
            caller.node = *node;
            caller.connection = std::make_unique<KeptConnection>();
            if (caller.connection->connect(m_fleet.host(caller.node)))
                return true;
            refused += 1;
        }
        caller.connection.reset();
        return false;
    }

    void send(Caller &caller, Attempt &attempt)
    {
        attempt.node = caller.node;
        attempt.sentAt = RealClock::now();
        attempt.answer = {};
        if (caller.connection->send(StopFleet::request(attempt.route, attempt.length, attempt.id)))
            attempt.answer = caller.connection->read();
        attempt.endedAt = RealClock::now();
        if (!attempt.answer.isComplete || !caller.connection->isKept())
            caller.connection.reset();
        const std::lock_guard lock(m_mutex);
        m_attempts.push_back(attempt);
    }

    const StopFleet &m_fleet;
    const Balancer &m_balancer;
    std::atomic<bool> m_isOver{false};
    std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<std::thread> m_threads;
};

// One stop of a node, and what happens within it.
struct Stop
{
    // Something that is done to the process at a time after the signal.
    struct Action
    {
        Milliseconds at{0};
        int signal = 0;
        bool isDone = false;
    };

    int node = 0;
    RealClock::time_point begin{};
    std::vector<Action> actions;
    Milliseconds suspendedUntil{-1}; // the end of the last suspension, after the signal
    std::optional<int> exitCode;
    RealClock::time_point exitedAt{};
    Milliseconds startsAfter{0}; // the time from its end until the node starts anew
    bool isStartedAnew = false;
    bool isReadyAgain = false;
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
        m_fleet.store.setDown(false);
        for (const auto &it : m_fleet.upstreams)
            it->setFault(TimedUpstream::Fault::None);
    }

    const std::vector<Stop> &stops() const { return m_stops; }

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

    void beginStop(int node)
    {
        Stop stop;
        stop.node = node;
        const Milliseconds all = m_fleet.stopWithin;
        if (m_random.oneIn(3))
            suspend(stop, 0ms);
        if (m_random.oneIn(3))
            suspend(stop, m_random.between(500ms, all));
        if (m_random.oneIn(3))
            stop.actions.push_back({m_random.between(10ms, all), SIGTERM});
        if (m_random.oneIn(3))
            stop.actions.push_back({m_random.between(10ms, all), SIGHUP});
        stop.startsAfter = m_random.between(0ms, 1'000ms);
        stop.begin = RealClock::now();
        const Process &process = m_fleet.nodes[static_cast<std::size_t>(node)];
        for (Stop::Action &it : stop.actions) {
            if (it.at > 0ms)
                continue;
            process.signal(it.signal);
            it.isDone = true;
        }
        process.signal(SIGTERM);
        m_stops.push_back(std::move(stop));
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
        for (Stop &it : m_stops) {
            if (!it.exitCode)
                continueStop(it);
            else if (!it.isStartedAnew && RealClock::now() >= it.exitedAt + it.startsAfter)
                startAnew(it);
            else if (it.isStartedAnew && !it.isReadyAgain)
                it.isReadyAgain = m_fleet.isReady(it.node);
        }
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
        m_fleet.restart(static_cast<std::size_t>(stop.node));
        stop.isStartedAnew = true;
    }

    void disturb(RealClock::time_point now)
    {
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

    StopFleet &m_fleet;
    Random m_random;
    std::vector<Stop> m_stops;
    int m_nextNode = 0;
    RealClock::time_point m_nextFault{};
    RealClock::time_point m_nextOutage{};
    TimedUpstream *m_faulty = nullptr;
    bool m_isStoreDown = false;
};

// Judges what became of the requests.
class Judge
{
public:
    Judge(const StopFleet &fleet, const std::vector<Stop> &stops) : m_fleet(fleet), m_stops(stops)
    { }

    void judge(const Attempt &attempt)
    {
        const auto runs = m_fleet.runs(attempt.id);
        if (attempt.isAnswered() && !attempt.hasOwnBody())
            addFault("has another body", attempt);
        if (!attempt.mayRunTwice() && runs.size() > 1)
            addFault("ran twice", attempt);
        if (attempt.answer.isComplete && attempt.answer.status == 503) {
            const bool isStopping = attempt.answer.body.find("stopping") != std::string::npos;
            (isStopping ? rejectedAsStopping : rejectedElse) += 1;
            if (!runs.empty())
                addFault("ran although it was rejected", attempt);
        }
        if (attempt.answer.body.find("cut-by-stop") != std::string::npos)
            toldCut += 1;
        if (!attempt.answer.isComplete)
            judgeCut(attempt, runs);
    }

    void judge(const Stop &stop)
    {
        if (!stop.isReadyAgain) {
            m_faults << "node " << stop.node << " is not ready again\n";
            return;
        }
        const bool wasHeldUp = stop.suspendedUntil + kNearEnd > m_fleet.stopWithin;
        if (*stop.exitCode == 0 || (*stop.exitCode == -SIGKILL && wasHeldUp))
            return;
        m_faults << "node " << stop.node << " ended with " << *stop.exitCode << describe(stop)
                 << "\n";
    }

    std::string faults() const { return m_faults.str(); }

    int lost = 0;
    int crossed = 0; // not passed on, and sent as the connection closed
    int excused = 0;
    int rejectedAsStopping = 0;
    int rejectedElse = 0;
    int toldCut = 0; // rejected at the end of a stop as possibly run

private:
    static Milliseconds since(RealClock::time_point begin, RealClock::time_point at)
    {
        return std::chrono::duration_cast<Milliseconds>(at - begin);
    }

    // The stop of the node during which the attempt ended.
    const Stop *stopOf(const Attempt &attempt) const
    {
        const Stop *last = nullptr;
        for (const Stop &it : m_stops) {
            if (it.node == attempt.node && it.begin <= attempt.endedAt
                && attempt.endedAt <= it.begin + m_fleet.stopWithin + kAfterStop)
                last = &it;
        }
        return last;
    }

    void judgeCut(const Attempt &attempt, const std::vector<TimedUpstream::Run> &runs)
    {
        const Stop *stop = stopOf(attempt);
        if (runs.empty() && attempt.endedAt - attempt.sentAt <= kLossSlack) {
            crossed += 1;
        } else if (isExcused(attempt, runs, stop)) {
            excused += 1;
        } else {
            lost += 1;
            addFault(stop != nullptr ? "LOST" : "has no answer, without a stop", attempt);
        }
    }

    bool isExcused(const Attempt &attempt, const std::vector<TimedUpstream::Run> &runs,
                   const Stop *stop) const
    {
        if (attempt.endedAt - attempt.sentAt >= StopFleet::kCallerLimit)
            return true;
        const auto isFaulty
            = [](const TimedUpstream::Run &it) { return it.fault != TimedUpstream::Fault::None; };
        if (std::any_of(runs.begin(), runs.end(), isFaulty))
            return true;
        if (stop == nullptr || attempt.sentAt > stop->begin + kNoticeTime)
            return false;
        const auto lastSixth = stop->begin + m_fleet.stopWithin * 5 / 6;
        return std::any_of(runs.begin(), runs.end(),
                           [&](const TimedUpstream::Run &it) { return it.end >= lastSixth; });
    }

    std::string describe(const Stop &stop) const
    {
        std::ostringstream out;
        out << "; stop of " << m_fleet.stopWithin.count() << " ms, exit "
            << since(stop.begin, stop.exitedAt).count() << " ms after the signal, with";
        for (const Stop::Action &it : stop.actions)
            out << " " << (it.isDone ? "" : "(not sent) ") << strsignal(it.signal) << " at "
                << it.at.count();
        return out.str();
    }

    void addFault(const std::string &what, const Attempt &attempt)
    {
        const Stop *stop = stopOf(attempt);
        const auto begin = stop != nullptr ? stop->begin : attempt.sentAt;
        m_faults << attempt.id << " " << what << ": node " << attempt.node << ", " << attempt.route
                 << " of " << attempt.length.count() << " ms, status " << attempt.answer.status
                 << (attempt.answer.isComplete ? ", complete" : ", cut") << ", sent "
                 << since(begin, attempt.sentAt).count() << ", ended "
                 << since(begin, attempt.endedAt).count();
        for (const TimedUpstream::Run &it : m_fleet.runs(attempt.id))
            m_faults << ", run " << since(begin, it.begin).count() << " to "
                     << since(begin, it.end).count() << " fault " << static_cast<int>(it.fault);
        if (stop != nullptr)
            m_faults << describe(*stop);
        m_faults << "\n  " << m_fleet.lastLogged(attempt.node, attempt.id) << "\n";
    }

    const StopFleet &m_fleet;
    const std::vector<Stop> &m_stops;
    std::ostringstream m_faults;
};

void keepLogs(const StopFleet &fleet)
{
    if (std::getenv("FORDWOOD_KEEP_LOGS") == nullptr)
        return;
    const std::string kept = fleet.folder + "-kept";
    std::filesystem::copy(fleet.folder, kept, std::filesystem::copy_options::recursive);
    MESSAGE("logs kept in ", kept);
}

} // namespace

// Guards against requests that a node reads or passes on around its planned stop, and that end
// without an answer.
TEST_CASE("planned stop soak: no series of stops loses a request [node][stop][soak]")
{
    const char *text = std::getenv("FORDWOOD_SEED");
    const auto seed = static_cast<unsigned>(text == nullptr ? 1 : std::atoi(text));
    CAPTURE(seed);
    Random random(seed);
    StopFleet fleet(kNodes, kUpstreams, random.between(3'000ms, 8'000ms));
    fleet.nodes.reserve(kNodes + 1);
    std::optional<Balancer> balancer(fleet);
    Callers callers(fleet, *balancer, seed);
    Stops stops(fleet, seed);
    stops.play();
    callers.stop();
    // What was rejected must not run later either.
    std::this_thread::sleep_for(1s);
    Judge judge(fleet, stops.stops());
    for (const Attempt &it : callers.attempts())
        judge.judge(it);
    for (const Stop &it : stops.stops())
        judge.judge(it);
    keepLogs(fleet);
    MESSAGE("seed ", seed, ": ", stops.stops().size(), " stops of ", fleet.stopWithin.count(),
            " ms; ", callers.requests.load(), " requests, answered ", callers.first.load(),
            " at the first try and ", callers.second.load(), " with the retry, failed ",
            callers.failed.load(), ", without any answer ", callers.unanswered.load());
    MESSAGE("of ", callers.attempts().size(), " attempts: rejected as stopping ",
            judge.rejectedAsStopping, ", rejected else ", judge.rejectedElse, ", told as cut ",
            judge.toldCut, ", cut and excused ", judge.excused, ", crossed the close ",
            judge.crossed, ", lost ", judge.lost, "; ", callers.refused.load(),
            " connections refused");
    if (const std::string faults = judge.faults(); !faults.empty())
        MESSAGE(faults);
    CHECK(judge.lost == 0);
    CHECK(judge.faults().empty());
    CHECK(stops.stops().size() >= 5);
    CHECK(20 * (callers.first + callers.second) >= 19 * callers.requests);
}
