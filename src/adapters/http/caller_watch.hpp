// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_CALLER_WATCH_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_CALLER_WATCH_HPP_INCLUDED

#include <functional>
#include <memory>
#include <mutex>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// Watches the callers' connections for what the HTTP library does not see: a caller that leaves
// while its request is being served, and one that sends its request too slowly. check() is called
// by a thread of its own. Thread-safe.
class CallerWatch
{
public:
    using Key = const void *; // the connection

    // `onTimeout` is called for each connection closed for being slow.
    CallerWatch(const Clock &clock, Duration readTimeout, std::function<void()> onTimeout);

    void addConnection(Key key, int socket);
    void removeConnection(Key key);

    // A request is whole and being served; `onDisconnect` is called once if its caller leaves.
    void markServing(Key key, std::function<void()> onDisconnect);

    // The answer has been sent: the next request may begin.
    void markIdle(Key key);

    // Looks at every connection once.
    void check();

    std::size_t connectionCount() const;

private:
    struct Connection
    {
        int socket = -1;
        bool isServing = false;
        TimePoint idleSince{}; // opened, or last answered
        std::function<void()> onDisconnect;
    };

    void closeTimedOut();

    const Clock &m_clock;
    Duration m_readTimeout;
    std::function<void()> m_onTimeout;
    mutable std::mutex m_mutex;
    std::unordered_map<Key, Connection> m_connections;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_CALLER_WATCH_HPP_INCLUDED
