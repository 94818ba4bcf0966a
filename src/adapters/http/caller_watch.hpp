// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_CALLER_WATCH_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_CALLER_WATCH_HPP_INCLUDED

#include <atomic>
#include <functional>
#include <memory>
#include <mutex>
#include <optional>
#include <unordered_map>
#include <vector>

#include "adapters/http/exchange.hpp"
#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// Detects what the HTTP library does not report: a caller that disconnects while its request is
// being served, and one that sends its request too slowly. check() is called periodically by a
// separate thread. Thread-safe.
class CallerWatch
{
public:
    using Key = const void *; // the connection

    // `onTimeout` is called for each connection that is closed because of the read timeout.
    CallerWatch(const Clock &clock, Duration readTimeout, std::function<void()> onTimeout);

    void addConnection(Key key, int socket);
    void removeConnection(Key key);

    // A request was received and is being served. `onDisconnect` is called once if the caller
    // disconnects, or ends its input and shows no sign that it waits for its answer.
    void markServing(Key key, std::shared_ptr<Exchange> exchange,
                     std::function<void()> onDisconnect);

    // From now on answers announce the end of their connection.
    void announceClose() { m_announcesClose = true; }

    // The answer was sent, or a new request begins: restarts the read timeout.
    void markIdle(Key key);

    // Checks every connection once.
    void check();

    std::size_t connectionCount() const;

private:
    struct Connection
    {
        int socket = -1;
        bool isServing = false;
        TimePoint idleSince{}; // start of the read timeout
        std::function<void()> onDisconnect;
        std::shared_ptr<Exchange> exchange; // while serving
        std::optional<TimePoint> inputEndedAt;
        std::size_t takenBefore = 0; // bytes of the answer, when the input ended
        bool isWaiting = false; // though its input has ended
    };

    void closeTimedOut();
    bool hasLeft(Connection &connection, bool hasFailed) const;

    const Clock &m_clock;
    Duration m_readTimeout;
    std::atomic<bool> m_announcesClose{false};
    std::function<void()> m_onTimeout;
    mutable std::mutex m_mutex;
    std::unordered_map<Key, Connection> m_connections;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_CALLER_WATCH_HPP_INCLUDED
