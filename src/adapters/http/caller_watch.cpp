// SPDX-License-Identifier: MIT
#include "adapters/http/caller_watch.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

namespace fordwood::adapters {

namespace {

constexpr std::string_view kTimeoutAnswer
    = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n"
      "Fordwood-Verdict: not-run\r\nFordwood-Reason: read-timeout\r\n\r\n";

} // namespace

CallerWatch::CallerWatch(const Clock &clock, Duration readTimeout, std::function<void()> onTimeout)
    : m_clock(clock), m_readTimeout(readTimeout), m_onTimeout(std::move(onTimeout))
{ }

void CallerWatch::opened(Key key, int socket)
{
    const std::lock_guard lock(m_mutex);
    m_connections[key] = Connection{socket, false, m_clock.now(), nullptr};
}

void CallerWatch::closed(Key key)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(key);
}

void CallerWatch::serving(Key key, std::function<void()> onLeft)
{
    const std::lock_guard lock(m_mutex);
    Connection &connection = m_connections[key];
    connection.serving = true;
    connection.onLeft = std::move(onLeft);
}

void CallerWatch::idle(Key key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_connections.find(key);
    if (it == m_connections.end())
        return;
    it->second.serving = false;
    it->second.since = m_clock.now();
    it->second.onLeft = nullptr;
}

void CallerWatch::check()
{
    closeSlow();
    std::vector<pollfd> sockets;
    std::vector<Key> keys;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, it] : m_connections) {
            if (!it.onLeft)
                continue;
            sockets.push_back({it.socket, POLLRDHUP, 0});
            keys.push_back(key);
        }
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0)
        return;
    std::vector<std::function<void()>> left;
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t it = 0; it < sockets.size(); ++it) {
            if ((sockets[it].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
                continue;
            const auto known = m_connections.find(keys[it]);
            if (known != m_connections.end() && known->second.onLeft)
                left.push_back(std::exchange(known->second.onLeft, nullptr));
        }
    }
    for (const auto &it : left)
        it();
}

std::size_t CallerWatch::connections() const
{
    const std::lock_guard lock(m_mutex);
    return m_connections.size();
}

void CallerWatch::closeSlow()
{
    const TimePoint oldest = m_clock.now() - m_readTimeout;
    int slow = 0;
    {
        // The lock keeps the sockets open: closed() must be called before a socket is closed.
        const std::lock_guard lock(m_mutex);
        for (auto &[key, it] : m_connections) {
            if (it.serving || it.since > oldest || it.socket < 0)
                continue;
            send(it.socket, kTimeoutAnswer.data(), kTimeoutAnswer.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
            shutdown(it.socket, SHUT_RDWR);
            it.socket = -1;
            ++slow;
        }
    }
    for (; slow > 0; --slow)
        m_onTimeout();
}

} // namespace fordwood::adapters
