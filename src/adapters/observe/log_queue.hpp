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

// Log lines on their way to the thread that writes them. Bounded: when it is full a line is dropped
// and counted, and its writer goes on at once.
class LogQueue
{
public:
    struct Line
    {
        EventLevel level = EventLevel::Info;
        std::string text;
    };

    explicit LogQueue(std::size_t capacity) : m_lines(capacity) { }

    // From any thread; never waits.
    void push(Line line)
    {
        if (!m_lines.tryPush(std::move(line)))
            m_dropped.fetch_add(1);
    }

    // Hands all lines that wait to `write`, in order. The number of lines that were dropped since
    // the last call. For one thread.
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
