// SPDX-License-Identifier: MIT
// Streams at nodes that get too little processor time: nodes are suspended in turns, killed and
// restarted, the store goes away, upstreams break off, begin anew and repeat events, and callers
// leave, read slowly, and take their streams up elsewhere. FORDWOOD_SEED plays another series.
#include <doctest/doctest.h>

#include <poll.h>

#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdlib>
#include <limits>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <thread>
#include <vector>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include "process/node_deployment.hpp"
#include "process/stream_upstream.hpp"

using namespace fordwood::process;
using namespace std::chrono_literals;
namespace net = boost::asio;
namespace http = boost::beast::http;

namespace {

using RealClock = std::chrono::steady_clock;

constexpr int kNodes = 12;
constexpr int kUpstreams = 6;
constexpr int kCallers = 40;
constexpr int kEvents = 30;
constexpr std::chrono::seconds kPlayTime{10};

// A caller gives an attempt up after a pause of this length, and a stream after this time.
constexpr std::chrono::seconds kLongestPause{1};
constexpr std::chrono::seconds kStreamTime{8};

class Random
{
public:
    explicit Random(unsigned seed) : m_engine(seed) { }

    std::size_t pick(std::size_t n)
    {
        const std::lock_guard lock(m_mutex);
        return m_engine() % n;
    }
    bool oneIn(std::size_t n) { return pick(n) == 0; }

private:
    std::mutex m_mutex; // upstreams answer on many threads
    std::mt19937 m_engine;
};

class SoakFleet : public Deployment
{
public:
    explicit SoakFleet(unsigned seed) : m_random(seed)
    {
        nlohmann::json config = configuration(1);
        for (nlohmann::json &it : config["routes"])
            it["max-attempts"] = 3;
        store.put("op/config", config.dump());
        for (int n = 0; n < kUpstreams; ++n) {
            const std::string id = "u-" + std::to_string(n);
            const std::string address = net + std::to_string(50 + n) + ":8000";
            m_upstreams.push_back(std::make_unique<StreamUpstream>(
                address, id, [this](int after) { return run(after); }));
            UpstreamEntry entry{id, address, "v1"};
            entry.slots = kCallers;
            putUpstreamRecord(entry);
        }
        for (int it = 0; it < kNodes; ++it)
            startNode(it);
        for (int it = 0; it < kNodes; ++it)
            REQUIRE(Fleet::waitFor([&] { return isReady(it); }));
    }

    void restart(std::size_t node)
    {
        nodes[node].kill();
        startAgain(node);
    }

private:
    // Events are sent in two parts each, so that reads and suspensions divide them.
    StreamUpstream::Run run(int after)
    {
        StreamUpstream::Run run;
        run.pause = 10ms;
        const bool beginsAnew = after > 0 && m_random.oneIn(8);
        const int begin = beginsAnew ? 1 : after + 1;
        run.isCut = m_random.oneIn(4);
        const int last = run.isCut
                             ? std::min(kEvents - 1, after + static_cast<int>(m_random.pick(12)))
                             : kEvents;
        const std::size_t bytes = m_random.oneIn(3) ? 12'000 : 0;
        for (int it = begin; it <= last; ++it) {
            addEvent(run, StreamUpstream::event(it, bytes));
            if (m_random.oneIn(200))
                addEvent(run, StreamUpstream::event(it, bytes));
        }
        if (run.isCut) {
            const std::string next = StreamUpstream::event(std::max(begin, last + 1), bytes);
            run.parts.push_back(next.substr(0, 1 + m_random.pick(next.size() - 1)));
        }
        return run;
    }

    void addEvent(StreamUpstream::Run &run, const std::string &event)
    {
        const std::size_t at = 1 + m_random.pick(event.size() - 1);
        run.parts.push_back(event.substr(0, at));
        run.parts.push_back(event.substr(at));
    }

    Random m_random;
    std::vector<std::unique_ptr<StreamUpstream>> m_upstreams;
};

// How a caller reads one answer.
struct Reading
{
    std::size_t leavesAfter = std::numeric_limits<std::size_t>::max(); // bytes of the body
    std::chrono::milliseconds pause{0}; // before each read of a small buffer
};

// Sends a request on a new connection and reads the answer until it ends, pauses for too long, or
// the caller leaves.
HttpAnswer readStream(const std::string &host, const std::string &request, const Reading &reading)
{
    constexpr int kSmallBuffer = 4'096;
    HttpAnswer answer;
    net::io_context context;
    net::ip::tcp::socket socket(context);
    boost::system::error_code ec;
    socket.open(net::ip::tcp::v4(), ec);
    if (reading.pause > 0ms)
        socket.set_option(net::socket_base::receive_buffer_size(kSmallBuffer), ec);
    socket.connect({net::ip::make_address(host), 8080}, ec);
    if (!ec)
        net::write(socket, net::buffer(request), ec);
    http::response_parser<http::string_body> parser;
    parser.eager(true);
    parser.body_limit(std::numeric_limits<std::uint64_t>::max());
    boost::beast::flat_buffer buffer;
    pollfd waiting{socket.native_handle(), POLLIN, 0};
    const int longestPause = static_cast<int>(std::chrono::milliseconds(kLongestPause).count());
    while (!ec && !parser.is_done() && poll(&waiting, 1, longestPause) > 0) {
        std::this_thread::sleep_for(reading.pause);
        const std::size_t n = socket.read_some(
            buffer.prepare(reading.pause > 0ms ? std::size_t{kSmallBuffer} : 65'536), ec);
        if (ec)
            break;
        buffer.commit(n);
        buffer.consume(parser.put(buffer.data(), ec));
        if (ec == http::error::need_more)
            ec = {};
        if (parser.is_header_done() && parser.get().body().size() >= reading.leavesAfter)
            break;
    }
    if (!parser.is_header_done())
        return answer;
    answer.isComplete = parser.is_done();
    answer.status = static_cast<int>(parser.get().result_int());
    answer.body = parser.release().body();
    return answer;
}

// The ids of the complete events of a body.
std::vector<int> idsOf(const std::string &body)
{
    std::vector<int> ids;
    for (std::size_t at = 0;;) {
        const std::size_t end = body.find("\n\n", at);
        if (end == std::string::npos)
            return ids;
        const std::string event = body.substr(at, end - at);
        ids.push_back(event.starts_with("id: ") ? std::atoi(event.c_str() + 4) : -1);
        at = end + 2;
    }
}

// Callers on threads of their own that follow one stream after the other.
class Callers
{
public:
    Callers(SoakFleet &fleet, unsigned seed) : m_fleet(fleet)
    {
        for (unsigned n = 0; n < kCallers; ++n)
            m_threads.emplace_back([this, n, seed] {
                Random random(seed * 1'000 + n);
                for (int stream = 0; !m_isOver; ++stream)
                    follow("s-" + std::to_string(n) + "-" + std::to_string(stream), random);
            });
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

    std::string faults()
    {
        const std::lock_guard lock(m_mutex);
        return m_faults;
    }

    std::atomic<int> streams{0};
    std::atomic<int> complete{0};
    std::atomic<int> takes{0}; // requests that brought further events
    std::atomic<int> unfinished{0}; // requests without a whole answer

private:
    void follow(const std::string &name, Random &random)
    {
        const auto until = RealClock::now() + kStreamTime;
        std::string firstAttempt;
        int last = 0;
        for (int attempt = 0; RealClock::now() < until; ++attempt) {
            const std::string id = name + "-" + std::to_string(attempt);
            const int node = static_cast<int>(random.pick(kNodes));
            std::string request = "GET /stream/";
            request.append(id).append(" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: ").append(id);
            request += "\r\nCredential: key-t\r\nRequest-Deadline: 4000\r\n";
            if (last > 0)
                request += "Resumes: " + firstAttempt + "\r\nLast-Event-Id: " + std::to_string(last)
                           + "\r\n";
            Reading reading;
            if (random.oneIn(6))
                reading.leavesAfter = 1 + random.pick(300);
            if (random.oneIn(4))
                reading.pause = 5ms;
            const HttpAnswer answer
                = readStream(m_fleet.host(node), request + "Connection: close\r\n\r\n", reading);
            if (answer.status == 200 && !idsOf(answer.body).empty()) {
                takes += last > 0 ? 1 : 0;
                firstAttempt = firstAttempt.empty() ? id : firstAttempt;
                if (!follows(id, idsOf(answer.body), last))
                    return;
            }
            if (answer.status == 200 && answer.isComplete) {
                if (last != kEvents)
                    addFault(id + " ended as complete after event " + std::to_string(last));
                streams += 1;
                complete += 1;
                return;
            }
            unfinished += 1;
            std::this_thread::sleep_for(20ms);
        }
        streams += 1;
    }

    // Checks that the ids follow the last one, which is updated.
    bool follows(const std::string &id, const std::vector<int> &ids, int &last)
    {
        const int before = last;
        for (const int it : ids) {
            if (it != last + 1) {
                addFault(id + " continues after " + std::to_string(before) + " and has "
                         + std::to_string(it) + " after " + std::to_string(last));
                return false;
            }
            last = it;
        }
        return true;
    }

    void addFault(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        m_faults += text + "\n";
    }

    SoakFleet &m_fleet;
    std::atomic<bool> m_isOver{false};
    std::mutex m_mutex;
    std::string m_faults;
    std::vector<std::thread> m_threads;
};

// Suspends each node for three ticks of five, at other ticks than its neighbours, and some for
// longer; kills nodes, and takes the store away.
class Disturbances
{
public:
    Disturbances(SoakFleet &fleet, unsigned seed) : m_fleet(fleet), m_random(seed), m_nodes(kNodes)
    { }

    void play()
    {
        const auto end = RealClock::now() + kPlayTime;
        for (std::size_t tick = 0; RealClock::now() < end; ++tick) {
            if (m_random.oneIn(20))
                restart(m_random.pick(kNodes));
            if (m_random.oneIn(30))
                m_nodes[m_random.pick(kNodes)].suspendedUntil = tick + 10 + m_random.pick(25);
            if (m_random.oneIn(15))
                m_fleet.store.setDown(m_isStoreDown = !m_isStoreDown);
            for (std::size_t it = 0; it < kNodes; ++it)
                setSuspended(it, tick < m_nodes[it].suspendedUntil || (tick + 2 * it) % 5 < 3);
            std::this_thread::sleep_for(kTick);
        }
        for (std::size_t it = 0; it < kNodes; ++it)
            setSuspended(it, false);
        m_fleet.store.setDown(false);
    }

private:
    static constexpr std::chrono::milliseconds kTick{100};

    struct Node
    {
        bool isSuspended = false;
        std::size_t suspendedUntil = 0; // tick
    };

    void restart(std::size_t node)
    {
        m_fleet.restart(node);
        m_nodes[node] = {};
    }

    void setSuspended(std::size_t node, bool isSuspended)
    {
        if (m_nodes[node].isSuspended != isSuspended)
            m_fleet.nodes[node].signal(isSuspended ? SIGSTOP : SIGCONT);
        m_nodes[node].isSuspended = isSuspended;
    }

    SoakFleet &m_fleet;
    Random m_random;
    std::vector<Node> m_nodes;
    bool m_isStoreDown = false;
};

} // namespace

TEST_CASE("stream order soak: no series of disturbances loses, doubles or joins events [node]"
          "[streams][soak]")
{
    const char *text = std::getenv("FORDWOOD_SEED");
    const auto seed = static_cast<unsigned>(text == nullptr ? 1 : std::atoi(text));
    CAPTURE(seed);
    SoakFleet fleet(seed);
    Callers callers(fleet, seed);
    Disturbances(fleet, seed).play();
    callers.stop();
    int outOfOrder = 0;
    for (int it = 0; it < kNodes; ++it)
        outOfOrder += fleet.logged(it, "name=StreamOrderBroken");
    MESSAGE("seed ", seed, ": ", callers.streams.load(), " streams, ", callers.complete.load(),
            " complete, ", callers.takes.load(), " takes, ", callers.unfinished.load(),
            " unfinished answers, ", outOfOrder, " runs out of order");
    CHECK(callers.faults().empty());
    if (const std::string faults = callers.faults(); !faults.empty())
        MESSAGE(faults);
    CHECK(callers.takes > 0);
    CHECK(2 * callers.complete >= callers.streams);
}
