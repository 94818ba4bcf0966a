// SPDX-License-Identifier: MIT
#include "process/raw_upstream.hpp"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstdlib>
#include <utility>

#include "adapters/http/socket_address.hpp"

namespace fordwood::process {

namespace {

// The value of a field of a request; empty if it has none.
std::string fieldOf(const std::string &request, std::string name)
{
    std::string text = request;
    for (std::string *it : {&text, &name})
        std::transform(it->begin(), it->end(), it->begin(),
                       [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    const std::size_t at = text.find("\r\n" + name + ": ");
    if (at == std::string::npos)
        return "";
    const std::size_t begin = at + name.size() + 4;
    return request.substr(begin, request.find("\r\n", begin) - begin);
}

bool hasHead(const std::string &request)
{
    return request.find("\r\n\r\n") != std::string::npos;
}

bool isWhole(const std::string &request)
{
    if (!hasHead(request))
        return false;
    const std::size_t end = request.find("\r\n\r\n");
    const std::string length = fieldOf(request, "Content-Length");
    return request.size() - end - 4 >= std::strtoul(length.c_str(), nullptr, 10);
}

} // namespace

RawUpstream::RawUpstream(const std::string &address)
{
    constexpr int kBacklog = 64;
    const auto target = adapters::parseSocketAddress(address);
    m_listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(m_listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    if (bind(m_listener, target->get(), sizeof(sockaddr_in)) == 0)
        listen(m_listener, kBacklog);
    m_thread = std::thread([this] { run(); });
}

RawUpstream::~RawUpstream()
{
    m_isStopping = true;
    shutdown(m_listener, SHUT_RDWR);
    m_thread.join();
    close(m_listener);
}

void RawUpstream::setAnswer(std::string bytes)
{
    const std::lock_guard lock(m_mutex);
    m_bytes = std::move(bytes);
}

std::string RawUpstream::lastField(const std::string &name)
{
    const std::lock_guard lock(m_mutex);
    return fieldOf(m_lastRequest, name);
}

void RawUpstream::run()
{
    while (!m_isStopping) {
        const int fd = accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (fd < 0)
            continue;
        answer(fd);
        endConnection(fd);
    }
}

void RawUpstream::endConnection(int connection) const
{
    constexpr std::chrono::milliseconds kReadTime{200};
    if (m_end == End::Reset) {
        std::this_thread::sleep_for(kReadTime);
        const linger reset{1, 0};
        setsockopt(connection, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
    }
    if (m_end == End::CloseSending)
        shutdown(connection, SHUT_WR);
    const bool readsOn = m_end == End::Hold || m_end == End::CloseSending;
    std::array<char, 4'096> buf{};
    while (readsOn && !m_isStopping && recv(connection, buf.data(), buf.size(), 0) != 0) { }
    close(connection);
}

// A request is read whole before the connection is closed, unless a test asks for an early answer:
// unread bytes would make it a reset.
void RawUpstream::answer(int connection)
{
    const timeval patience{1, 0};
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof(patience));
    std::string request;
    std::array<char, 4'096> buf{};
    while (m_isEarly ? !hasHead(request) : !isWhole(request)) {
        const ssize_t n = recv(connection, buf.data(), buf.size(), 0);
        if (n <= 0)
            return;
        request.append(buf.data(), static_cast<std::size_t>(n));
    }
    std::string bytes;
    {
        const std::lock_guard lock(m_mutex);
        bytes = m_bytes;
        m_lastRequest = request;
    }
    constexpr std::string_view kPlace = "{id}";
    const std::size_t at = bytes.find(kPlace);
    if (at != std::string::npos)
        bytes.replace(at, kPlace.size(), fieldOf(request, "Request-Id"));
    m_answered += 1;
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const auto n = send(connection, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            break;
        sent += static_cast<std::size_t>(n);
    }
    m_sentBytes = sent;
}

} // namespace fordwood::process
