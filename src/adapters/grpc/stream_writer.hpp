// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_STREAM_WRITER_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_STREAM_WRITER_HPP_INCLUDED

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace fordwood::adapters {

// What waits to be written: all of it merged into one message.
template <typename Message>
class MergedMessages
{
public:
    void add(const Message &message)
    {
        m_next.MergeFrom(message);
        m_empty = false;
    }
    bool empty() const { return m_empty; }
    void take(Message &target)
    {
        target.Clear();
        target.Swap(&m_next);
        m_empty = true;
    }

private:
    Message m_next;
    bool m_empty = true;
};

// What waits to be written: one message after the other.
template <typename Message>
class QueuedMessages
{
public:
    void add(const Message &message) { m_waiting.push_back(message); }
    bool empty() const { return m_waiting.empty(); }
    void take(Message &target)
    {
        target = std::move(m_waiting.front());
        m_waiting.pop_front();
    }

private:
    std::deque<Message> m_waiting;
};

// The writing side of a gRPC stream, which takes one message at a time: holds back the others, and
// begins no write after the stream was closed. Thread-safe.
template <typename Message, template <typename> typename Waiting>
class StreamWriter
{
public:
    // `start` begins a write; it is called with the writer locked.
    explicit StreamWriter(std::function<void(const Message *)> start)
        : m_start(std::move(start)) { }

    void send(const Message &message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_closed)
            return;
        m_waiting.add(message);
        if (!m_busy)
            startNext();
    }

    // The message under way is written.
    void written()
    {
        const std::lock_guard lock(m_mutex);
        m_busy = false;
        if (!m_closed && !m_waiting.empty())
            startNext();
    }

    // Closes the writer. The first call runs `last`, with the writer locked.
    void close(const std::function<void()> &last)
    {
        const std::lock_guard lock(m_mutex);
        if (!std::exchange(m_closed, true))
            last();
    }

private:
    void startNext()
    {
        m_waiting.take(m_current);
        m_busy = true;
        m_start(&m_current);
    }

    std::function<void(const Message *)> m_start;
    std::mutex m_mutex;
    Waiting<Message> m_waiting;
    Message m_current;
    bool m_busy = false;
    bool m_closed = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_STREAM_WRITER_HPP_INCLUDED
