// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_MAILBOX_HPP_INCLUDED
#define FORDWOOD_NODE_MAILBOX_HPP_INCLUDED

#include <atomic>
#include <functional>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>

#include "adapters/threads/bounded_ring.hpp"

namespace fordwood::node {

// A bounded ring into a thread that runs an io_context: what is pushed is taken there, in order.
template <typename T>
class Mailbox
{
public:
    Mailbox(boost::asio::io_context &consumer, std::size_t capacity, std::function<void(T)> take)
        : m_consumer(consumer), m_ring(capacity), m_take(std::move(take))
    { }

    // From any thread; never waits. False when the ring is full: the value is then not taken.
    bool push(T value)
    {
        if (!m_ring.tryPush(std::move(value)))
            return false;
        // One wake-up at a time: the consumer takes all that is there.
        if (!m_isWoken.exchange(true))
            boost::asio::post(m_consumer, [this] { takeAll(); });
        return true;
    }

private:
    void takeAll()
    {
        m_isWoken.store(false);
        while (auto value = m_ring.tryPop())
            m_take(std::move(*value));
    }

    boost::asio::io_context &m_consumer;
    adapters::BoundedRing<T> m_ring;
    std::function<void(T)> m_take;
    std::atomic<bool> m_isWoken{false};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_MAILBOX_HPP_INCLUDED
