// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_MAILBOX_HPP_INCLUDED
#define FORDWOOD_NODE_MAILBOX_HPP_INCLUDED

#include <atomic>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "adapters/threads/bounded_ring.hpp"

namespace fordwood::node {

// A bounded queue to a thread that runs an io_context. That thread handles the pushed values in
// order.
template <typename T>
class Mailbox
{
public:
    Mailbox(boost::asio::io_context &consumer, std::size_t capacity, std::function<void(T)> handler)
        : m_consumer(consumer), m_ring(capacity), m_handler(std::move(handler))
    { }

    // Callable from any thread; never blocks. Returns false and drops the value if the ring is
    // full.
    bool push(T value)
    {
        if (!m_ring.tryPush(std::move(value)))
            return false;
        // One pending wake-up is enough: the consumer handles all queued values.
        if (!m_isWakeupPosted.exchange(true))
            boost::asio::post(m_consumer, [this] { handleAll(); });
        return true;
    }

private:
    void handleAll()
    {
        m_isWakeupPosted.store(false);
        while (auto value = m_ring.tryPop())
            m_handler(std::move(*value));
    }

    boost::asio::io_context &m_consumer;
    adapters::BoundedRing<T> m_ring;
    std::function<void(T)> m_handler;
    std::atomic<bool> m_isWakeupPosted{false};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_MAILBOX_HPP_INCLUDED
