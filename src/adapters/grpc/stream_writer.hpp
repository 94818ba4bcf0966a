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
        m_isEmpty = false;
    }
    bool isEmpty() const { return m_isEmpty; }
    void moveNextTo(Message &target)
    {
        target.Clear();
        target.Swap(&m_next);
        m_isEmpty = true;
    }

private:
    Message m_next;
    bool m_isEmpty = true;
};

// What waits to be written: one message after the other.
template <typename Message>
class QueuedMessages
{
public:
    void add(const Message &message) { m_pending.push_back(message); }
    bool isEmpty() const { return m_pending.empty(); }
    void moveNextTo(Message &target)
    {
        target = std::move(m_pending.front());
        m_pending.pop_front();
    }

private:
    std::deque<Message> m_pending;
};

// The writing side of a gRPC stream, which takes one message at a time: holds back the others, and
// begins no write after the stream was closed. Thread-safe.
template <typename Message, template <typename> typename Pending>
class StreamWriter
{
public:
    // `start` begins a write; it is called with the writer locked.
    explicit StreamWriter(std::function<void(const Message *)> start)
        : m_start(std::move(start)) { }

    void send(const Message &message)
    {
        const std::lock_guard lock(m_mutex);
        if (m_isClosed)
            return;
        m_pending.add(message);
        if (!m_isWriting)
            startNext();
    }

    // The message under way is written.
    void onWritten()
    {
        const std::lock_guard lock(m_mutex);
        m_isWriting = false;
        if (!m_isClosed && !m_pending.isEmpty())
            startNext();
    }

    // Closes the writer. The first call runs `last`, with the writer locked.
    void close(const std::function<void()> &onClose)
    {
        const std::lock_guard lock(m_mutex);
        if (!std::exchange(m_isClosed, true))
            onClose();
    }

private:
    void startNext()
    {
        m_pending.moveNextTo(m_current);
        m_isWriting = true;
        m_start(&m_current);
    }

    std::function<void(const Message *)> m_start;
    std::mutex m_mutex;
    Pending<Message> m_pending;
    Message m_current;
    bool m_isWriting = false;
    bool m_isClosed = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_STREAM_WRITER_HPP_INCLUDED
