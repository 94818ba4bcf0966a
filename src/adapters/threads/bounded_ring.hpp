// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_THREADS_BOUNDED_RING_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_THREADS_BOUNDED_RING_HPP_INCLUDED

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <optional>
#include <tuple>

#include <boost/lockfree/queue.hpp>

#include "fordwood/clock.hpp"

namespace fordwood::adapters {

// A bounded queue between threads, with any number of producers and one consumer. If the queue is
// full, tryPush() fails at once; producers never block.
template <typename T>
class BoundedRing
{
public:
    explicit BoundedRing(std::size_t capacity) : m_queue(capacity) { }
    BoundedRing(const BoundedRing &) = delete;
    BoundedRing &operator=(const BoundedRing &) = delete;
    ~BoundedRing()
    {
        while (tryPop()) { }
    }

    // Returns false if the queue is full; the value is then dropped.
    bool tryPush(T value)
    {
        auto node = std::make_unique<T>(std::move(value));
        if (!m_queue.bounded_push(node.get()))
            return false;
        std::ignore = node.release();
        if (m_sleeping.load()) {
            const std::lock_guard lock(m_mutex);
            m_wake.notify_one();
        }
        return true;
    }

    std::optional<T> tryPop()
    {
        T *node = nullptr;
        if (!m_queue.pop(node))
            return std::nullopt;
        const std::unique_ptr<T> owner(node);
        return std::move(*node);
    }

    // Waits for a value for at most `timeout`.
    std::optional<T> pop(Duration timeout)
    {
        if (auto value = tryPop())
            return value;
        std::unique_lock lock(m_mutex);
        m_sleeping.store(true);
        std::optional<T> value = tryPop();
        if (!value) {
            m_wake.wait_for(lock, timeout, [&] {
                value = tryPop();
                return value.has_value();
            });
        }
        m_sleeping.store(false);
        return value;
    }

private:
    boost::lockfree::queue<T *> m_queue;
    std::atomic<bool> m_sleeping{false};
    std::mutex m_mutex;
    std::condition_variable m_wake;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_THREADS_BOUNDED_RING_HPP_INCLUDED
