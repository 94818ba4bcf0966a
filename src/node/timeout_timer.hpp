// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_TIMEOUT_TIMER_HPP_INCLUDED
#define FORDWOOD_NODE_TIMEOUT_TIMER_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/clock.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// A timer that is restarted and cancelled. After the process was suspended, the expiry of a timer
// and the event that cancels it are handled in the same turn: the handler of a steady_timer may be
// queued already, and then it runs with success although the timer was cancelled. Handlers of this
// timer run only if it was neither restarted, cancelled nor destroyed since.
class TimeoutTimer
{
public:
    explicit TimeoutTimer(const net::any_io_executor &executor) : m_timer(executor) { }
    explicit TimeoutTimer(net::io_context &context) : m_timer(context) { }
    ~TimeoutTimer() { ++*m_generation; }
    TimeoutTimer(const TimeoutTimer &) = delete;
    TimeoutTimer &operator=(const TimeoutTimer &) = delete;

    // Cancels what was started before.
    template <typename Handler>
    void start(Duration timeout, Handler onExpired)
    {
        const std::uint64_t started = ++*m_generation;
        m_timer.expires_after(timeout);
        m_timer.async_wait([generation = m_generation, started,
                            onExpired = std::move(onExpired)](const ErrorCode &ec) {
            if (!ec && *generation == started)
                onExpired();
        });
    }

    void cancel()
    {
        ++*m_generation;
        m_timer.cancel();
    }

private:
    net::steady_timer m_timer;
    // Of the last start or cancellation. Shared, since a handler may outlive the timer.
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_TIMEOUT_TIMER_HPP_INCLUDED
