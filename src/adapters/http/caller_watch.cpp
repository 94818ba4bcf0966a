// SPDX-License-Identifier: MIT
#include "adapters/http/caller_watch.hpp"

#include <poll.h>
#include <sys/socket.h>

#include <string_view>
#include <utility>

#include "fordwood/caller_presence.hpp"

namespace fordwood::adapters {

namespace {

constexpr std::string_view kTimeoutAnswer
    = "HTTP/1.1 408 Request Timeout\r\nContent-Length: 0\r\nConnection: close\r\n"
      "Fordwood-Verdict: not-run\r\nFordwood-Reason: read-timeout\r\n\r\n";

} // namespace

CallerWatch::CallerWatch(const Clock &clock, Duration readTimeout, std::function<void()> onTimeout)
    : m_clock(clock), m_readTimeout(readTimeout), m_onTimeout(std::move(onTimeout))
{ }

void CallerWatch::addConnection(Key key, int socket)
{
    const std::lock_guard lock(m_mutex);
    Connection connection;
    connection.socket = socket;
    connection.idleSince = m_clock.now();
    m_connections[key] = std::move(connection);
}

void CallerWatch::removeConnection(Key key)
{
    const std::lock_guard lock(m_mutex);
    m_connections.erase(key);
}

void CallerWatch::markServing(Key key, std::shared_ptr<Exchange> exchange,
                              std::function<void()> onDisconnect)
{
    const std::lock_guard lock(m_mutex);
    Connection &connection = m_connections[key];
    connection.isServing = true;
    connection.onDisconnect = std::move(onDisconnect);
    connection.exchange = std::move(exchange);
    connection.inputEndedAt.reset();
    connection.isWaiting = false;
}

void CallerWatch::markIdle(Key key)
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_connections.find(key);
    if (it == m_connections.end())
        return;
    it->second.isServing = false;
    it->second.idleSince = m_clock.now();
    it->second.onDisconnect = nullptr;
    it->second.exchange = nullptr;
}

void CallerWatch::check()
{
    closeTimedOut();
    std::vector<pollfd> sockets;
    std::vector<Key> keys;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto &[key, it] : m_connections) {
            if (!it.onDisconnect)
                continue;
            sockets.push_back({it.socket, POLLRDHUP, 0});
            keys.push_back(key);
        }
    }
    if (sockets.empty() || poll(sockets.data(), sockets.size(), 0) <= 0)
        return;
    std::vector<std::function<void()>> disconnected;
    {
        const std::lock_guard lock(m_mutex);
        for (std::size_t it = 0; it < sockets.size(); ++it) {
            if ((sockets[it].revents & (POLLRDHUP | POLLHUP | POLLERR)) == 0)
                continue;
            const bool hasFailed = (sockets[it].revents & (POLLHUP | POLLERR)) != 0;
            const auto found = m_connections.find(keys[it]);
            if (found != m_connections.end() && found->second.onDisconnect
                && hasLeft(found->second, hasFailed))
                disconnected.push_back(std::exchange(found->second.onDisconnect, nullptr));
        }
    }
    for (const auto &it : disconnected)
        it();
}

// Whether the caller, whose input has ended or whose connection has failed, waits no longer.
bool CallerWatch::hasLeft(Connection &connection, bool hasFailed) const
{
    if (hasFailed)
        return true;
    const TimePoint now = m_clock.now();
    const Exchange::Progress progress = connection.exchange->progress();
    if (!connection.inputEndedAt) {
        connection.inputEndedAt = now;
        connection.takenBefore = progress.bytes;
    }
    if (connection.isWaiting || now - *connection.inputEndedAt < EndedInput::kDecisionTime)
        return false;
    EndedInput ended;
    ended.hasBegun = progress.hasBegun;
    ended.isCloseAnnounced = m_announcesClose;
    ended.hasTakenMore = progress.bytes > connection.takenBefore;
    connection.isWaiting = ended.isCallerWaiting();
    return !connection.isWaiting;
}

std::size_t CallerWatch::connectionCount() const
{
    const std::lock_guard lock(m_mutex);
    return m_connections.size();
}

void CallerWatch::closeTimedOut()
{
    const TimePoint oldest = m_clock.now() - m_readTimeout;
    int timedOut = 0;
    {
        // No socket can be closed while the lock is held, since removeConnection() is called before
        // a socket is closed.
        const std::lock_guard lock(m_mutex);
        for (auto &[key, it] : m_connections) {
            if (it.isServing || it.idleSince > oldest || it.socket < 0)
                continue;
            send(it.socket, kTimeoutAnswer.data(), kTimeoutAnswer.size(),
                 MSG_DONTWAIT | MSG_NOSIGNAL);
            shutdown(it.socket, SHUT_RDWR);
            it.socket = -1;
            ++timedOut;
        }
    }
    for (; timedOut > 0; --timedOut)
        m_onTimeout();
}

} // namespace fordwood::adapters
