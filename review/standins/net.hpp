// SPDX-License-Identifier: MIT
// A blocking HTTP/1.1 server and the sockets of the stand-ins.
#ifndef FORDWOOD_REVIEW_STANDINS_NET_HPP_INCLUDED
#define FORDWOOD_REVIEW_STANDINS_NET_HPP_INCLUDED

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cctype>
#include <chrono>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace review {

using SteadyClock = std::chrono::steady_clock;
using std::chrono::milliseconds;

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return text;
}

// What was sent, answered and run, with seconds since the start of the case.
class Record
{
public:
    explicit Record(const std::string &path) : m_out(path), m_startedAt(SteadyClock::now()) { }

    double seconds() const
    {
        return std::chrono::duration<double>(SteadyClock::now() - m_startedAt).count();
    }

    void line(const std::string &text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%9.4f ", seconds());
        m_out << time << text << std::endl;
    }

private:
    std::mutex m_mutex;
    std::ofstream m_out;
    const SteadyClock::time_point m_startedAt;
};

inline sockaddr_in socketAddress(const std::string &address)
{
    const std::size_t colon = address.rfind(':');
    sockaddr_in result{};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(std::stoi(address.substr(colon + 1))));
    inet_pton(AF_INET, address.substr(0, colon).c_str(), &result.sin_addr);
    return result;
}

// A connected socket, or -1.
inline int connectTo(const std::string &address)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in to = socketAddress(address);
    if (::connect(fd, reinterpret_cast<const sockaddr *>(&to), sizeof(to)) != 0) {
        ::close(fd);
        return -1;
    }
    const int yes = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
    return fd;
}

inline bool sendAll(int fd, const std::string &bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = ::send(fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

// Reads what is there within the time; empty at the end of the connection or of the time.
inline std::string receiveSome(int fd, milliseconds within)
{
    pollfd waiting{fd, POLLIN, 0};
    if (::poll(&waiting, 1, static_cast<int>(within.count())) <= 0)
        return {};
    std::string bytes(65'536, '\0');
    const auto n = ::recv(fd, bytes.data(), bytes.size(), 0);
    bytes.resize(n > 0 ? static_cast<std::size_t>(n) : 0);
    return bytes;
}

// The head of a message, and its body where it has a length.
struct Message
{
    std::string start; // the request line or the status line
    std::map<std::string, std::string> fields; // names in lower case
    std::string body;

    std::string field(const std::string &name) const
    {
        const auto it = fields.find(lower(name));
        return it == fields.end() ? "" : it->second;
    }
    std::string method() const { return start.substr(0, start.find(' ')); }
    std::string target() const
    {
        const std::size_t from = start.find(' ') + 1;
        return start.substr(from, start.find(' ', from) - from);
    }
    int status() const { return start.size() > 12 ? std::atoi(start.c_str() + 9) : 0; }
};

// Reads messages from a connection, keeping what lies beyond each.
class MessageReader
{
public:
    explicit MessageReader(int fd) : m_fd(fd) { }

    // Nothing if the connection ends or the time is over.
    std::optional<Message> read(milliseconds within)
    {
        const auto until = SteadyClock::now() + within;
        std::size_t end = std::string::npos;
        while ((end = m_bytes.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(until))
                return std::nullopt;
        }
        Message message = parseHead(m_bytes.substr(0, end));
        m_bytes.erase(0, end + 4);
        if (message.field("transfer-encoding") == "chunked")
            return readChunks(message, until) ? std::optional(message) : std::nullopt;
        const std::size_t length
            = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        while (m_bytes.size() < length) {
            if (!readMore(until))
                return std::nullopt;
        }
        message.body = m_bytes.substr(0, length);
        m_bytes.erase(0, length);
        return message;
    }

private:
    bool readMore(SteadyClock::time_point until)
    {
        const auto left = std::chrono::duration_cast<milliseconds>(until - SteadyClock::now());
        const std::string bytes = left.count() > 0 ? receiveSome(m_fd, left) : std::string();
        m_bytes += bytes;
        return !bytes.empty();
    }

    bool readChunks(Message &message, SteadyClock::time_point until)
    {
        while (true) {
            std::size_t line = std::string::npos;
            while ((line = m_bytes.find("\r\n")) == std::string::npos) {
                if (!readMore(until))
                    return false;
            }
            const std::size_t size = std::strtoul(m_bytes.c_str(), nullptr, 16);
            while (m_bytes.size() < line + 2 + size + 2) {
                if (!readMore(until))
                    return false;
            }
            message.body += m_bytes.substr(line + 2, size);
            m_bytes.erase(0, line + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    static Message parseHead(const std::string &head)
    {
        Message message;
        std::size_t from = 0;
        while (from <= head.size()) {
            const std::size_t end = std::min(head.find("\r\n", from), head.size());
            const std::string line = head.substr(from, end - from);
            const std::size_t colon = line.find(':');
            if (from == 0)
                message.start = line;
            else if (colon != std::string::npos)
                message.fields[lower(line.substr(0, colon))]
                    = line.substr(std::min(line.find_first_not_of(' ', colon + 1), line.size()));
            from = end + 2;
        }
        return message;
    }

    int m_fd;
    std::string m_bytes;
};

// One connection of a server. The handler sends the answers.
class Connection
{
public:
    explicit Connection(int fd) : m_fd(fd) { }

    int fd() const { return m_fd; }
    bool send(const std::string &bytes) const { return sendAll(m_fd, bytes); }

    bool answer(int status, const std::string &body, const std::string &fields = "") const
    {
        return send("HTTP/1.1 " + std::to_string(status) + " X\r\n" + fields
                    + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
    }

    // Whether the client has closed its side.
    bool isClosed() const
    {
        char byte = 0;
        const auto n = ::recv(m_fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return n == 0 || (n < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

private:
    int m_fd;
};

// A server with a thread for each connection. The handler returns false to close the connection.
// Runs until the process ends.
class Server
{
public:
    using Handler = std::function<bool(const Connection &, const Message &)>;

    Server(const std::string &address, Handler handler) : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int yes = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &yes, sizeof(yes));
        const sockaddr_in own = socketAddress(address);
        m_isListening = ::bind(m_fd, reinterpret_cast<const sockaddr *>(&own), sizeof(own)) == 0
                        && ::listen(m_fd, 256) == 0;
        if (m_isListening)
            std::thread([this] { acceptAll(); }).detach();
    }

    bool isListening() const { return m_isListening; }

private:
    void acceptAll()
    {
        while (true) {
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd >= 0)
                std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        const int yes = 1;
        ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &yes, sizeof(yes));
        MessageReader reader(fd);
        const Connection connection(fd);
        constexpr milliseconds kIdle{60'000};
        while (const auto message = reader.read(kIdle)) {
            if (!m_handler(connection, *message))
                break;
        }
        ::close(fd);
    }

    Handler m_handler;
    int m_fd = -1;
    bool m_isListening = false;
};

} // namespace review

#endif // FORDWOOD_REVIEW_STANDINS_NET_HPP_INCLUDED
