// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_HTTP_INCOMING_BODIES_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_HTTP_INCOMING_BODIES_HPP_INCLUDED

#include <sys/socket.h>

#include <functional>
#include <map>
#include <mutex>

#include "fordwood/incoming_limit.hpp"

namespace fordwood::adapters {

// The bodies that are being received on all connections. While they take more than the limit, the
// connection of the largest is closed, or its request refused. Thread-safe.
class IncomingBodies
{
public:
    using Id = IncomingLimit::Id;

    // `onClosed` is called for each connection that is closed.
    IncomingBodies(std::size_t maxBytes, std::function<void()> onClosed)
        : m_limit(maxBytes), m_onClosed(std::move(onClosed))
    { }

    // A request begins on the socket, which stays open until end().
    Id begin(int socket)
    {
        const std::lock_guard lock(m_mutex);
        const Id id = m_limit.begin();
        m_sockets.emplace(id, socket);
        return id;
    }

    // The body takes so many bytes, or will. Returns false if it is itself to be refused; it no
    // longer counts then.
    bool resize(Id body, std::size_t bytes)
    {
        const std::lock_guard lock(m_mutex);
        m_limit.resize(body, bytes);
        while (const auto largest = m_limit.excess()) {
            m_limit.end(*largest);
            if (*largest == body)
                return false;
            // The library notices, and ends the request.
            shutdown(m_sockets.at(*largest), SHUT_RDWR);
            m_onClosed();
        }
        return true;
    }

    // Harmless if it has ended before.
    void end(Id body)
    {
        const std::lock_guard lock(m_mutex);
        m_limit.end(body);
        m_sockets.erase(body);
    }

private:
    std::mutex m_mutex;
    IncomingLimit m_limit;
    std::map<Id, int> m_sockets;
    const std::function<void()> m_onClosed;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_HTTP_INCOMING_BODIES_HPP_INCLUDED
