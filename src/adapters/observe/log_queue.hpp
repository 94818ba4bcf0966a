// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_LOG_QUEUE_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_LOG_QUEUE_HPP_INCLUDED

#include <atomic>
#include <cstdint>
#include <string>
#include <utility>

#include "adapters/observe/event_log.hpp"
#include "adapters/threads/bounded_ring.hpp"

namespace fordwood::adapters {

// A bounded queue of log lines for the thread that writes them. If the queue is full, push() drops
// and counts the line instead of blocking.
class LogQueue
{
public:
    struct Line
    {
        EventLevel level = EventLevel::Info;
        std::string text;
    };

    explicit LogQueue(std::size_t capacity) : m_lines(capacity) { }

    // May be called from any thread; never blocks.
    void push(Line line)
    {
        if (!m_lines.tryPush(std::move(line)))
            m_dropped.fetch_add(1);
    }

    // Passes all pending lines to `write`, in order. Returns the number of lines dropped since the
    // last call. To be called from one thread only.
    template <typename Write>
    std::uint64_t drain(Write write)
    {
        while (auto line = m_lines.tryPop())
            write(*line);
        return m_dropped.exchange(0);
    }

private:
    BoundedRing<Line> m_lines;
    std::atomic<std::uint64_t> m_dropped{0};
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_LOG_QUEUE_HPP_INCLUDED
