// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_TIMEOUT_TIMER_HPP_INCLUDED
#define FORDWOOD_NODE_TIMEOUT_TIMER_HPP_INCLUDED

#include <cstdint>
#include <memory>
#include <utility>

#include <boost/asio/steady_timer.hpp>

#include "fordwood/clock.hpp"
#include "node/expiry_queue.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// A timer for the end of a wait or for periodic work. Its expiry is handled after the input that
// has arrived until then, and only if the timer was neither restarted, cancelled nor destroyed
// since it expired. Neither holds for the timers of Boost.Asio, which matters when the process was
// suspended: what ends the wait and the expiry are then handled in the same turn.
template <typename WaitableTimer>
class BasicTimeoutTimer
{
public:
    explicit BasicTimeoutTimer(const net::any_io_executor &executor)
        : m_timer(executor), m_queue(ExpiryQueue::of(executor))
    { }
    explicit BasicTimeoutTimer(net::io_context &context) : BasicTimeoutTimer(context.get_executor())
    { }
    ~BasicTimeoutTimer() { ++*m_generation; }
    BasicTimeoutTimer(const BasicTimeoutTimer &) = delete;
    BasicTimeoutTimer &operator=(const BasicTimeoutTimer &) = delete;

    // Cancels what was started before.
    template <typename Handler>
    void start(Duration timeout, Handler onExpired)
    {
        startUntil(WaitableTimer::clock_type::now() + timeout, std::move(onExpired));
    }

    // As start(), with the time of the expiry.
    template <typename Handler>
    void startUntil(typename WaitableTimer::time_point expiry, Handler onExpired)
    {
        const std::uint64_t started = ++*m_generation;
        m_timer.expires_at(expiry);
        m_timer.async_wait([&queue = m_queue, generation = m_generation, started,
                            onExpired = std::move(onExpired)](const ErrorCode &ec) mutable {
            if (ec || *generation != started)
                return;
            queue.push([generation = std::move(generation), started,
                        onExpired = std::move(onExpired)]() mutable {
                if (*generation == started)
                    onExpired();
            });
        });
    }

    void cancel()
    {
        ++*m_generation;
        m_timer.cancel();
    }

private:
    WaitableTimer m_timer;
    ExpiryQueue &m_queue;
    // Of the last start or cancellation. Shared, since a handler may outlive the timer.
    std::shared_ptr<std::uint64_t> m_generation = std::make_shared<std::uint64_t>(0);
};

using TimeoutTimer = BasicTimeoutTimer<net::steady_timer>;

} // namespace fordwood::node

#endif // FORDWOOD_NODE_TIMEOUT_TIMER_HPP_INCLUDED
