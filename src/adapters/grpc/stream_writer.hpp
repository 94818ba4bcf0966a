// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_STREAM_WRITER_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_STREAM_WRITER_HPP_INCLUDED

#include <deque>
#include <functional>
#include <mutex>
#include <utility>

namespace fordwood::adapters {

// Pending messages, merged into one.
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

// Pending messages, kept separate and in order.
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

// Serializes writes to a gRPC stream, which allows one write at a time: further messages wait, and
// no write starts after the stream was closed. Thread-safe.
template <typename Message, template <typename> typename Pending>
class StreamWriter
{
public:
    // `start` starts a write. It is called while the writer is locked.
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

    // The current write has completed.
    void onWritten()
    {
        const std::lock_guard lock(m_mutex);
        m_isWriting = false;
        if (!m_isClosed && !m_pending.isEmpty())
            startNext();
    }

    // Closes the writer. The first call runs `onClose` while the writer is locked.
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
