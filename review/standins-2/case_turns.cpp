// SPDX-License-Identifier: MIT
// Rule ONE: the node that gives orders to engines is stopped as planned just after an order, which
// a lost packet delays. The next holder must not order that engine within lease-ms after the order
// has come.
#include <deque>

#include "lab.hpp"

using namespace review;

namespace {

constexpr const char *kModel = "m0";
constexpr milliseconds kLease{3'000}; // lease-ms
constexpr milliseconds kLoadTime{900}; // new weights take a worker 0.9 s

// What one lost packet costs: TCP sends it again after 200 ms and a little more.
constexpr milliseconds kRetransmission{250};

Json configuration()
{
    return {{"version", 1},
            {"routes",
             {{{"name", "r-summary"},
               {"host", "transfer.example"},
               {"path-prefix", "/summary/"},
               {"kind", "streaming"},
               {"service", "analyst-llm"},
               {"timeout-ms", 10'000},
               {"target-latency-ms", 800},
               {"max-attempts", 2},
               {"priority", 1},
               {"public", false},
               {"resumable", true},
               {"gap_aim_ms", 500}}}},
            {"services",
             {{{"name", "analyst-llm"},
               {"max-connections", 370},
               {"engine",
                {{"slots", 64},
                 {"kv-cache-tokens", 70'457},
                 {"kv-token-bytes", 18'432},
                 {"bandwidth-mbps", 370'000.0},
                 {"max-in-flight", 12},
                 {"models", {{{"name", kModel}}}}}}}}},
            {"limits",
             {{"max-header-bytes", 16'384},
              {"max-body-bytes", 4'194'304},
              {"header-timeout-ms", 3'000},
              {"idle-timeout-ms", 15'000}}},
            {"tenants", {{{"name", "bank"}, {"api-keys", {"held-key"}}, {"priority", 1}}}}};
}

// Passes connections on to an engine. While a packet is to be lost, the next order comes late.
class Link
{
public:
    Link(const std::string &from, std::string to) : m_to(std::move(to))
    {
        m_listener = openListener(from);
        m_thread = std::thread([this] { accept(); });
    }
    ~Link()
    {
        m_isOpen = false;
        m_thread.join();
        ::close(m_listener);
        for (std::thread &it : m_threads)
            it.join();
    }
    Link(const Link &) = delete;
    Link &operator=(const Link &) = delete;

    std::atomic<bool> losesOrderPacket{false};
    std::atomic<int> ordersSent{0};

private:
    void accept()
    {
        while (m_isOpen) {
            pollfd state{m_listener, POLLIN, 0};
            if (::poll(&state, 1, 20) <= 0)
                continue;
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                m_threads.emplace_back([this, fd] { carry(fd); });
        }
    }

    void carry(int fd)
    {
        Stream node(fd);
        Client engine(m_to);
        char buf[16'384];
        while (m_isOpen) {
            pollfd states[2]{{fd, POLLIN, 0}, {engine.stream().fd(), POLLIN, 0}};
            if (::poll(states, 2, 20) <= 0)
                continue;
            for (int n = 0; n < 2; ++n) {
                if ((states[n].revents & (POLLIN | POLLHUP | POLLERR)) == 0)
                    continue;
                const auto size = ::recv(states[n].fd, buf, sizeof(buf), 0);
                if (size <= 0)
                    return;
                const std::string bytes(buf, static_cast<std::size_t>(size));
                if (n == 0 && bytes.starts_with("POST /api/order")) {
                    ordersSent += 1;
                    if (losesOrderPacket.exchange(false))
                        std::this_thread::sleep_for(kRetransmission);
                }
                if (!(n == 0 ? engine.stream().write(bytes) : node.write(bytes)))
                    return;
            }
        }
    }

    std::string m_to;
    int m_listener = -1;
    std::atomic<bool> m_isOpen{true};
    std::thread m_thread;
    std::vector<std::thread> m_threads;
};

struct Order
{
    Clock::time_point at;
    std::string holder;
    std::int64_t fence = 0;
};

} // namespace

int main(int, char **argv)
{
    Record record(argv[1]);
    Lab lab;
    lab.areFencesChecked = false;
    std::mutex mutex;
    std::vector<Order> orders;
    int version = 1;
    int target = 1;
    int sequence = 0;
    std::optional<Clock::time_point> loadsUntil;
    const auto putEngine = [&] {
        lab.putWorker(
            "i-1", "analyst-llm", lab.at(2, 8000),
            {{"stage", "both"},
             {"sequence", sequence},
             {"models", {{{"name", kModel}, {"version", version}, {"adapters", Json::array()}}}}});
    };
    const auto finishLoad = [&] {
        if (!loadsUntil || Clock::now() < *loadsUntil)
            return;
        loadsUntil.reset();
        version = target;
        record.line("engine i-1 has loaded version " + std::to_string(version));
        putEngine();
    };
    Worker engine(lab.at(3, 8000), [&](const Request &it, Stream &stream) {
        const std::lock_guard lock(mutex);
        finishLoad();
        std::string status = "200 OK";
        std::string body;
        if (it.target == "/api/report") {
            body = Json{
                {"stage", "both"},
                {"models", {{{"name", kModel}, {"version", version}, {"adapters", Json::array()}}}},
                {"busy", loadsUntil.has_value()},
                {"sequence", sequence},
                {"queued", 0},
                {"running", 0},
                {"kv-used", 0},
                {"kv-total", 70'457},
                {"handles",
                 0}}.dump();
        } else if (it.target == "/api/order") {
            const Json order = Json::parse(it.body);
            orders.push_back({Clock::now(), order["holder"], order["fencing-token"]});
            const bool isFree = !loadsUntil && order["expected-revision"] == sequence;
            if (isFree) {
                sequence += 1;
                target = order["version"];
                loadsUntil = Clock::now() + kLoadTime;
            }
            status = isFree ? "202 Accepted" : "409 Conflict";
            record.line("engine i-1 receives an order for version " + order["version"].dump()
                        + " from " + orders.back().holder + ", fencing-token "
                        + std::to_string(orders.back().fence) + ": " + status);
        } else {
            status = "404 Not Found";
        }
        return stream.write("HTTP/1.1 " + status
                            + "\r\nContent-Type: application/json\r\nContent-Length: "
                            + std::to_string(body.size()) + "\r\n\r\n" + body);
    });
    Link link(lab.at(2, 8000), lab.at(3, 8000));
    const auto name = [&](int number) {
        lab.store->put("op/version/" + std::string(kModel),
                       Json{{"model", kModel}, {"version", number}}.dump());
        record.line("the store acknowledges version " + std::to_string(number) + " of the weights");
    };
    name(1);
    lab.store->put("op/config", configuration().dump());
    {
        const std::lock_guard lock(mutex);
        putEngine();
    }
    for (const int node : {0, 1})
        lab.startNode(node);
    for (const int node : {0, 1}) {
        if (!lab.waitReady(node))
            return kNotRun;
    }
    const auto waitFor = [&](const std::function<bool()> &condition, milliseconds most) {
        const auto until = Clock::now() + most;
        while (Clock::now() < until) {
            {
                const std::lock_guard lock(mutex);
                finishLoad();
                if (condition())
                    return true;
            }
            std::this_thread::sleep_for(milliseconds(2));
        }
        return false;
    };
    std::this_thread::sleep_for(milliseconds(6'000)); // the first holder's own wait
    link.losesOrderPacket = hasTrouble();
    name(2);
    if (!waitFor([&] { return link.ordersSent == 1; }, milliseconds(8'000)))
        return kNotRun;
    const std::string key = lab.store->value("fordwood/weights-lock");
    const int holder = key.starts_with("front-sala-bergamo-0") ? 0 : 1;
    record.line("an order is on its way, holder is node " + std::to_string(holder));
    if (hasTrouble()) {
        record.line("node " + std::to_string(holder)
                    + " gets SIGTERM; a packet of the order is lost");
        lab.nodes[static_cast<std::size_t>(holder)]->signal(SIGTERM);
    }
    if (!waitFor([&] { return version == 2; }, milliseconds(4'000)))
        return kNotRun;
    name(3);
    if (!waitFor([&] { return version == 3; }, milliseconds(8'000)))
        return kNotRun;
    const std::lock_guard lock(mutex);
    int broken = 0;
    for (std::size_t n = 1; n < orders.size(); ++n) {
        const auto gap = std::chrono::duration_cast<milliseconds>(orders[n].at - orders[n - 1].at);
        const bool isOtherHolder = orders[n].holder != orders[n - 1].holder;
        record.line("orders " + std::to_string(n) + " and " + std::to_string(n + 1) + ": "
                    + std::to_string(gap.count()) + " ms apart, from "
                    + (isOtherHolder ? "two holders" : "one holder"));
        broken += isOtherHolder && gap < kLease ? 1 : 0;
    }
    record.line("turns of two holders within lease-ms (3,000): " + std::to_string(broken));
    return broken > 0 ? kBroken : kHeld;
}
