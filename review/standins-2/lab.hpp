// SPDX-License-Identifier: MIT
// A small deployment on loopback addresses for the cases of this review: the project's stand-in of
// the platform's store, workers, clients, and fordwood-noded as separate processes.
#ifndef FORDWOOD_REVIEW_LAB_HPP_INCLUDED
#define FORDWOOD_REVIEW_LAB_HPP_INCLUDED

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>
#include <vector>

#include <nlohmann/json.hpp>

#include "process/platform_standins.hpp"

namespace review {

using Json = nlohmann::json;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kHeld = 0; // exit codes of a case
constexpr int kBroken = 1;
constexpr int kNotRun = 2;

// The record of a case: what was sent, answered and run.
class Record
{
public:
    explicit Record(const std::string &path) : m_out(path, std::ios::trunc) { }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        const std::chrono::duration<double> at = Clock::now() - m_begin;
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f s  ", at.count());
        m_out << time << text << "\n" << std::flush;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    Clock::time_point m_begin = Clock::now();
};

inline sockaddr_in addressOf(const std::string &text)
{
    sockaddr_in address{};
    const std::size_t colon = text.rfind(':');
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(std::stoi(text.substr(colon + 1))));
    inet_pton(AF_INET, text.substr(0, colon).c_str(), &address.sin_addr);
    return address;
}

inline int openListener(const std::string &text)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const sockaddr_in address = addressOf(text);
    if (::bind(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address)) != 0
        || ::listen(fd, 128) != 0) {
        ::close(fd);
        return -1;
    }
    return fd;
}

// A connection that is read as HTTP/1.1.
class Stream
{
public:
    explicit Stream(int fd) : m_fd(fd) { }
    ~Stream() { close(); }
    Stream(const Stream &) = delete;
    Stream &operator=(const Stream &) = delete;

    int fd() const { return m_fd; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
    }

    bool write(const std::string &text) const
    {
        std::size_t sent = 0;
        while (sent < text.size()) {
            const auto n = ::send(m_fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
            if (n <= 0)
                return false;
            sent += static_cast<std::size_t>(n);
        }
        return true;
    }

    // Reads more bytes; false at the end, at an error, or after the time.
    bool read(milliseconds wait)
    {
        pollfd state{m_fd, POLLIN, 0};
        if (::poll(&state, 1, static_cast<int>(wait.count())) <= 0)
            return false;
        char buf[16'384];
        const auto n = ::recv(m_fd, buf, sizeof(buf), 0);
        if (n <= 0) {
            m_hasEnded = true;
            return false;
        }
        m_bytes.append(buf, static_cast<std::size_t>(n));
        return true;
    }

    bool readUntil(const std::string &end, milliseconds wait)
    {
        const auto until = Clock::now() + wait;
        while (m_bytes.find(end) == std::string::npos) {
            const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
            if (left.count() <= 0 || !read(left))
                return false;
        }
        return true;
    }

    bool readBytes(std::size_t n, milliseconds wait)
    {
        const auto until = Clock::now() + wait;
        while (m_bytes.size() < n) {
            const auto left = std::chrono::duration_cast<milliseconds>(until - Clock::now());
            if (left.count() <= 0 || !read(left))
                return false;
        }
        return true;
    }

    std::string take(std::size_t n)
    {
        std::string taken = m_bytes.substr(0, n);
        m_bytes.erase(0, n);
        return taken;
    }

    const std::string &bytes() const { return m_bytes; }
    bool hasEnded() const { return m_hasEnded; }

private:
    int m_fd;
    std::string m_bytes;
    bool m_hasEnded = false;
};

struct Head
{
    std::string first;
    std::map<std::string, std::string> fields; // names in lower case

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(name);
        return it == fields.end() ? "" : it->second;
    }
};

inline Head parseHead(const std::string &text)
{
    Head head;
    std::size_t at = text.find("\r\n");
    head.first = text.substr(0, at);
    while (at != std::string::npos && at + 2 < text.size()) {
        const std::size_t begin = at + 2;
        at = text.find("\r\n", begin);
        const std::string line = text.substr(begin, at == std::string::npos ? at : at - begin);
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string name = line.substr(0, colon);
        for (char &it : name)
            it = static_cast<char>(std::tolower(static_cast<unsigned char>(it)));
        head.fields[name]
            = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
    }
    return head;
}

// Reads the body that the head announces. Returns nothing if it does not come whole.
inline std::optional<std::string> readBody(Stream &stream, const Head &head,
                                           bool endsWithConnection, milliseconds wait)
{
    if (head.field("transfer-encoding") == "chunked") {
        std::string body;
        for (;;) {
            if (!stream.readUntil("\r\n", wait))
                return std::nullopt;
            const std::string line = stream.take(stream.bytes().find("\r\n") + 2);
            const std::size_t n = std::strtoul(line.c_str(), nullptr, 16);
            if (!stream.readBytes(n + 2, wait))
                return std::nullopt;
            body += stream.take(n);
            stream.take(2);
            if (n == 0)
                return body;
        }
    }
    if (!head.field("content-length").empty()) {
        const std::size_t n = std::stoul(head.field("content-length"));
        if (!stream.readBytes(n, wait))
            return std::nullopt;
        return stream.take(n);
    }
    if (!endsWithConnection)
        return "";
    while (stream.read(wait)) { }
    return stream.hasEnded() ? std::optional(stream.take(stream.bytes().size())) : std::nullopt;
}

struct Request
{
    std::string method;
    std::string target;
    Head head;
    std::string body;
};

// A worker: one request at a time on each connection.
class Worker
{
public:
    // Answers the request by writing to the stream. Returns false to close the connection.
    using Handler = std::function<bool(const Request &, Stream &)>;

    Worker(std::string address, Handler handler)
        : m_address(std::move(address)), m_handler(std::move(handler))
    {
        open();
    }
    ~Worker() { shut(); }
    Worker(const Worker &) = delete;
    Worker &operator=(const Worker &) = delete;

    bool isListening() const { return m_listener >= 0; }

    void open()
    {
        m_listener = openListener(m_address);
        m_isOpen = true;
        m_thread = std::thread([this] { accept(); });
    }

    // Ends the worker as a crash does: connections are reset, new ones are refused.
    void shut()
    {
        if (!m_isOpen.exchange(false))
            return;
        m_thread.join();
        ::close(m_listener);
        m_listener = -1;
        {
            const std::lock_guard lock(m_mutex);
            for (const int fd : m_connections) {
                const linger reset{1, 0};
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::shutdown(fd, SHUT_RD);
            }
        }
        for (std::thread &it : m_threads)
            it.join();
        m_threads.clear();
    }

private:
    void accept()
    {
        while (m_isOpen) {
            pollfd state{m_listener, POLLIN, 0};
            if (::poll(&state, 1, 20) <= 0)
                continue;
            const int fd = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            {
                const std::lock_guard lock(m_mutex);
                m_connections.push_back(fd);
            }
            m_threads.emplace_back([this, fd] { serve(fd); });
        }
    }

    void serve(int fd)
    {
        Stream stream(fd);
        while (m_isOpen && serveOne(stream)) { }
        const std::lock_guard lock(m_mutex);
        std::erase(m_connections, fd);
        stream.close();
    }

    bool serveOne(Stream &stream)
    {
        constexpr milliseconds kIdle{60'000};
        constexpr milliseconds kBody{5'000};
        if (!stream.readUntil("\r\n\r\n", kIdle))
            return false;
        Request request;
        request.head = parseHead(stream.take(stream.bytes().find("\r\n\r\n") + 4));
        const std::string &first = request.head.first;
        request.method = first.substr(0, first.find(' '));
        const std::size_t target = request.method.size() + 1;
        request.target = first.substr(target, first.rfind(' ') - target);
        const auto body = readBody(stream, request.head, false, kBody);
        if (!body)
            return false;
        request.body = *body;
        return m_handler(request, stream);
    }

    std::string m_address;
    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isOpen{false};
    std::thread m_thread;
    std::mutex m_mutex;
    std::vector<int> m_connections;
    std::vector<std::thread> m_threads;
};

struct Answer
{
    int status = 0; // 0: none
    Head head;
    std::string body;
    bool isWhole = false;
};

// A client on one kept connection.
class Client
{
public:
    explicit Client(const std::string &address) : m_stream(connectTo(address)) { }

    Stream &stream() { return m_stream; }

    Answer call(const std::string &request, bool isHead = false,
                milliseconds wait = milliseconds(6'000))
    {
        Answer answer;
        if (!m_stream.write(request))
            return answer;
        return readAnswer(isHead, wait);
    }

    Answer readAnswer(bool isHead, milliseconds wait)
    {
        Answer answer;
        if (!m_stream.readUntil("\r\n\r\n", wait))
            return answer;
        answer.head = parseHead(m_stream.take(m_stream.bytes().find("\r\n\r\n") + 4));
        const std::string &first = answer.head.first;
        answer.status = first.starts_with("HTTP/1.1 ") ? std::atoi(first.c_str() + 9) : -1;
        if (isHead) {
            answer.isWhole = true;
            return answer;
        }
        const auto body = readBody(m_stream, answer.head, true, wait);
        answer.isWhole = body.has_value();
        answer.body = body.value_or("");
        return answer;
    }

private:
    static int connectTo(const std::string &text)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in address = addressOf(text);
        ::connect(fd, reinterpret_cast<const sockaddr *>(&address), sizeof(address));
        const int on = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return fd;
    }

    Stream m_stream;
};

// A process of fordwood-noded, with the command of deploy/system.toml.
class Node
{
public:
    Node(const std::string &settings, const std::string &log) : m_settings(settings), m_log(log)
    {
        start();
    }
    ~Node() { end(SIGKILL); }
    Node(const Node &) = delete;
    Node &operator=(const Node &) = delete;

    void start()
    {
        m_pid = ::fork();
        if (m_pid != 0)
            return;
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        sigset_t none;
        sigemptyset(&none);
        ::sigprocmask(SIG_SETMASK, &none, nullptr);
        const int out = ::open(m_log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
        ::dup2(out, 1);
        ::dup2(out, 2);
        ::execl("target/src/fordwood-noded", "target/src/fordwood-noded", "--settings",
                m_settings.c_str(), nullptr);
        ::_exit(127);
    }

    void signal(int number) const { ::kill(m_pid, number); }
    pid_t pid() const { return m_pid; }

    // Whether the process has ended by itself.
    bool hasEnded() const { return ::waitpid(m_pid, nullptr, WNOHANG) != 0; }

    void end(int number)
    {
        if (m_pid <= 0)
            return;
        ::kill(m_pid, number);
        ::waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

private:
    std::string m_settings;
    std::string m_log;
    pid_t m_pid = 0;
};

// The store and the nodes, on loopback addresses that nobody else uses.
class Lab
{
public:
    Lab()
    {
        for (int n = 0; n < 50 && m_prefix.empty(); ++n) {
            const int seed = ::getpid() + 977 * n;
            const std::string prefix = "127." + std::to_string(20 + seed % 200) + "."
                                       + std::to_string(1 + seed / 200 % 250) + ".";
            const int fd = openListener(prefix + "1:7000");
            if (fd < 0)
                continue;
            ::close(fd);
            m_prefix = prefix;
        }
        const char *parent = std::getenv("TMPDIR");
        std::string name = std::string(parent != nullptr ? parent : "/tmp") + "/fordwood-XXXXXX";
        m_folder = ::mkdtemp(name.data());
        store = std::make_unique<fordwood::process::KeyValueStandin>(at(1, 7000));
        store->setLink(500, 0.0);
        m_leases = std::thread([this] {
            constexpr milliseconds kStep{20};
            auto last = Clock::now();
            while (m_isOpen) {
                std::this_thread::sleep_for(kStep);
                const auto now = Clock::now();
                store->advanceTime(now - last);
                last = now;
            }
        });
    }
    ~Lab()
    {
        nodes.clear();
        m_isOpen = false;
        m_leases.join();
        std::filesystem::remove_all(m_folder);
    }
    Lab(const Lab &) = delete;
    Lab &operator=(const Lab &) = delete;

    std::string at(int host, int port) const
    {
        return m_prefix + std::to_string(host) + ":" + std::to_string(port);
    }
    std::string callers(int node) const { return at(10 + node, 8564); }
    std::string log(int node) const { return m_folder + "/node-" + std::to_string(node) + ".log"; }

    // Settings as deploy/node.toml.template gives them for the machines of bacheca-nord.
    void startNode(int node, const std::string &zone = "sala-bergamo")
    {
        const int host = 10 + node;
        const std::string path = m_folder + "/settings-" + std::to_string(node) + ".conf";
        std::ofstream out(path);
        out << "[node]\nname = \"front-" << zone << "-" << node << "\"\nfailure_domain = \"" << zone
            << "\"\nregion = \"lombardia\"\n\n[callers]\nlisten = \"" << at(host, 8564)
            << "\"\nready_listen = \"" << at(host, 8563) << "\"\n\n[peers]\nlisten = \""
            << at(host, 8566) << "\"\ngossip_listen = \"" << at(host, 7740)
            << "\"\nmetrics_listen = \"" << at(host, 7755) << "\"\nplacement_listen = \""
            << at(host, 7755) << "\"\nproxy_listen = \"" << at(host, 7740) << "\"\nseeds = [\""
            << at(10, 8566) << "\"]\n\n[store]\naddress = \"" << at(1, 7000)
            << "\"\nleast_lease = \"1000ms\"\n\n[bounds]\nstop_within = \"8s\"\nretry_ratio = 0.2\n"
            << "retry_window = \"10s\"\nretry_slack = 56\norder_lease = \"3000ms\"\n"
            << "fences_checked = true\nweights_within = \"12000ms\"\n\n[places]\nregions = [\""
            << zone << "=lombardia\"]\n\n[vm]\nprocessor_share = 0.25\nprocessor_speed = 1\n"
            << "memory_mb = 260\nlink_mbps = 1000.0\n";
        out.close();
        nodes.push_back(std::make_unique<Node>(path, log(node)));
    }

    // Asks the ready address as the platform does.
    bool isReady(int node) const
    {
        Client client(at(10 + node, 8563));
        return client.call("GET /api/ready HTTP/1.1\r\nHost: x\r\n\r\n", false, milliseconds(500))
                   .status
               == 200;
    }

    bool waitReady(int node, milliseconds most = milliseconds(10'000)) const
    {
        const auto until = Clock::now() + most;
        while (Clock::now() < until) {
            if (isReady(node))
                return true;
            std::this_thread::sleep_for(milliseconds(50));
        }
        return false;
    }

    void putWorker(const std::string &id, const std::string &service, const std::string &address,
                   const Json &more = Json::object(), const std::string &state = "ready")
    {
        Json entry{{"service", service}, {"address", address},    {"zone", "sala-bergamo"},
                   {"version", "1"},     {"slots", 32},           {"state", state},
                   {"sequence", 1},      {"cold-remaining-ms", 0}};
        entry.update(more);
        store->put("servers/" + id, entry.dump());
    }

    std::unique_ptr<fordwood::process::KeyValueStandin> store;
    std::vector<std::unique_ptr<Node>> nodes;

private:
    std::string m_prefix;
    std::string m_folder;
    std::atomic<bool> m_isOpen{true};
    std::thread m_leases;
};

inline bool hasTrouble()
{
    const char *value = std::getenv("TROUBLE");
    return value == nullptr || std::string(value) != "0";
}

} // namespace review

#endif // FORDWOOD_REVIEW_LAB_HPP_INCLUDED
