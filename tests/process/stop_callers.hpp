// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_PROCESS_STOP_CALLERS_HPP_INCLUDED
#define FORDWOOD_TESTS_PROCESS_STOP_CALLERS_HPP_INCLUDED

#include <array>
#include <atomic>
#include <chrono>
#include <functional>
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

namespace fordwood::process {

using namespace std::chrono_literals;

using RealClock = StopFleet::RealClock;
using Milliseconds = std::chrono::milliseconds;

// The size of the fleet of the soak, and its callers.
inline constexpr int kNodes = 5;
inline constexpr int kUpstreams = 6;
inline constexpr int kCallers = 150;

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
    // How the request is sent: a GET, or a POST with its body at once, or after its head, in one
    // part, in chunks, in chunks with a trailer, or when the node has asked for it.
    enum class Form { Get, Post, PostLate, PostChunks, PostTrailer, PostExpect };

    std::string id;
    std::string route;
    Form form = Form::Get;
    Milliseconds length{0};
    int node = 0;
    RealClock::time_point sentAt{}; // the head
    std::optional<RealClock::time_point> wholeAt; // nullopt: the connection ended before
    RealClock::time_point endedAt{};
    bool hasLeft = false; // the caller closed the connection before it had the answer
    HttpAnswer answer;

    // The limit that the caller names.
    Milliseconds limit() const
    {
        constexpr Milliseconds kTalkLimit{5'000};
        return route == "talk" ? kTalkLimit : StopFleet::kCallerLimit;
    }
    std::string path() const { return StopFleet::path(route, length, id); }
    // A text that differs in each request, of 20 bytes to some kilobytes.
    std::string body() const
    {
        if (form == Form::Get)
            return "";
        const std::size_t copies = 1 + std::hash<std::string>{}(id) % 200;
        std::string text = "question of ";
        for (std::size_t n = 0; n < copies; ++n)
            text += id + ";";
        return text;
    }
    bool isChunked() const { return form == Form::PostChunks || form == Form::PostTrailer; }
    bool hasLateBody() const { return form == Form::PostLate || isChunked(); }
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
        // Rare long streams are not among those that a node remembers as usual.
        constexpr std::array<std::size_t, 3> kLongShares{8, 20, 50};
        m_longShare = kLongShares[seed % kLongShares.size()];
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
    std::atomic<int> left{0}; // while their callers waited
    std::atomic<int> refused{0}; // connections

private:
    // What a caller does that most do not.
    enum class Habit {
        None,
        ClosesLate, // as the next request is due, though an answer announced the close
        EndsSending, // closes its sending side once a head announces the close
        EndsSendingAtOnce, // with the request
        SlowBody, // takes up to 0.9 s for a body
        DoesNotLook, // sends on a kept connection without a look whether it has ended
        Leaves, // closes the connection while it waits for some of its answers
    };

    struct Caller
    {
        Random random;
        std::string name;
        int node = 0;
        std::unique_ptr<KeptConnection> connection;
        Habit habit = Habit::None;
    };

    static Habit habitOf(unsigned n)
    {
        constexpr unsigned kCycle = 30;
        switch (n % kCycle) {
        case 2:
            return Habit::EndsSendingAtOnce;
        case 3:
        case 7:
        case 11:
        case 15:
            return Habit::EndsSending;
        case 6:
        case 10:
        case 14:
            return Habit::SlowBody;
        case 19:
        case 23:
            return Habit::DoesNotLook;
        case 18:
            return Habit::Leaves;
        default:
            return n % 4 == 1 ? Habit::ClosesLate : Habit::None;
        }
    }

    void run(unsigned n, unsigned seed)
    {
        // Every second caller keeps its connection idle for so long that it may send a request late
        // in a stop, when no new connections come.
        const Milliseconds longestPause = n % 2 == 0 ? 300ms : 3'000ms;
        Caller caller{Random(seed * 1'000 + n), "c" + std::to_string(n) + "-", 0, nullptr,
                      habitOf(n)};
        for (int request = 0; !m_isOver; ++request) {
            call(caller, caller.name + std::to_string(request));
            std::this_thread::sleep_for(caller.random.between(0ms, longestPause));
        }
    }

    Milliseconds lengthFor(const std::string &route, Random &random) const
    {
        if (route == "talk")
            return random.oneIn(m_longShare) ? random.between(3'000ms, 4'900ms)
                                             : random.between(20ms, 400ms);
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
        using Form = Attempt::Form;
        static constexpr std::array kForms{Form::Get,        Form::Get,         Form::Get,
                                           Form::Post,       Form::PostLate,    Form::PostChunks,
                                           Form::PostChunks, Form::PostTrailer, Form::PostExpect};
        requests += 1;
        Attempt attempt;
        attempt.route = kRoutes[caller.random.pick(kRoutes.size())];
        attempt.length = lengthFor(attempt.route, caller.random);
        attempt.form = kForms[caller.random.pick(kForms.size())];
        for (int it = 0; it < 2; ++it) {
            attempt.id = name + "-" + std::to_string(it);
            if (it > 0)
                caller.connection.reset();
            if (!connect(caller, it > 0))
                break;
            send(caller, attempt);
            if (attempt.hasLeft) {
                left += 1;
                return;
            }
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
        const bool isKept = caller.connection && caller.connection->isKept();
        if (isKept && (caller.habit == Habit::DoesNotLook || !caller.connection->hasEnded()))
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
        attempt.answer = {};
        attempt.wholeAt.reset();
        attempt.hasLeft = false;
        attempt.sentAt = RealClock::now();
        if (sendParts(caller, attempt)) {
            attempt.wholeAt = RealClock::now();
            receive(caller, attempt);
        }
        attempt.endedAt = RealClock::now();
        const bool mustClose = attempt.hasLeft || !attempt.answer.isComplete
                               || !caller.connection->isKept()
                               || caller.habit == Habit::EndsSendingAtOnce;
        if (mustClose && caller.habit != Habit::ClosesLate)
            caller.connection.reset();
        const std::lock_guard lock(m_mutex);
        m_attempts.push_back(attempt);
    }

    static void receive(Caller &caller, Attempt &attempt)
    {
        KeptConnection &connection = *caller.connection;
        if (caller.habit == Habit::EndsSendingAtOnce)
            connection.endSending();
        if (caller.habit == Habit::EndsSending && connection.readHead() == false)
            connection.endSending();
        if (caller.habit == Habit::Leaves && caller.random.oneIn(2)) {
            if (caller.random.oneIn(2))
                connection.readHead();
            else
                std::this_thread::sleep_for(caller.random.between(0ms, 200ms));
            connection.close();
            attempt.hasLeft = true;
            return;
        }
        attempt.answer = connection.read();
    }

    // Returns false if the connection has ended.
    static bool sendParts(Caller &caller, const Attempt &attempt)
    {
        // From the head to the last part of a late body.
        const Milliseconds bodyTime = caller.habit == Habit::SlowBody ? 900ms : 400ms;
        KeptConnection &connection = *caller.connection;
        const std::string body = attempt.body();
        const bool isGet = attempt.form == Attempt::Form::Get;
        std::string head
            = StopFleet::head(isGet ? "GET" : "POST", attempt.path(), attempt.id, attempt.limit());
        if (attempt.isChunked())
            head += "Transfer-Encoding: chunked\r\n";
        else if (!isGet)
            head += "Content-Length: " + std::to_string(body.size()) + "\r\n";
        if (attempt.form == Attempt::Form::PostExpect)
            head += "Expect: 100-continue\r\n";
        head += "\r\n";
        // Without the interim response there is another one, or the end.
        if (attempt.form == Attempt::Form::PostExpect)
            return connection.send(head) && (!connection.awaitContinue() || connection.send(body));
        if (!attempt.hasLateBody())
            return connection.send(head + body);
        if (!connection.send(head))
            return false;
        const Milliseconds time = caller.random.between(0ms, bodyTime);
        if (attempt.form == Attempt::Form::PostLate) {
            std::this_thread::sleep_for(time);
            return connection.send(body);
        }
        const std::size_t parts = 1 + caller.random.pick(4);
        const std::size_t size = body.size() / parts + 1;
        for (std::size_t from = 0; from < body.size(); from += size) {
            std::this_thread::sleep_for(time / (parts + 1));
            if (!connection.send(chunk(body.substr(from, size))))
                return false;
        }
        std::this_thread::sleep_for(time / (parts + 1));
        if (attempt.form == Attempt::Form::PostTrailer)
            return connection.send("0\r\nX-Checked: yes\r\n\r\n");
        return connection.send(chunk(""));
    }

    static std::string chunk(const std::string &bytes)
    {
        std::ostringstream out;
        out << std::hex << bytes.size() << "\r\n" << bytes << "\r\n";
        return out.str();
    }

    const StopFleet &m_fleet;
    const Balancer &m_balancer;
    std::size_t m_longShare = 1; // one in so many streams of /talk/ is long
    std::atomic<bool> m_isOver{false};
    std::mutex m_mutex;
    std::vector<Attempt> m_attempts;
    std::vector<std::thread> m_threads;
};

} // namespace fordwood::process

#endif // FORDWOOD_TESTS_PROCESS_STOP_CALLERS_HPP_INCLUDED
