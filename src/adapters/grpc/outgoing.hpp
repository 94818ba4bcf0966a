// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_GRPC_OUTGOING_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_GRPC_OUTGOING_HPP_INCLUDED

#include <mutex>
#include <optional>
#include <utility>

namespace fordwood::adapters {

// What waits to be written to a gRPC stream: one message is under way at a time, and whatever is
// added meanwhile is merged into the next one. Thread-safe.
template <typename Message>
class Outgoing
{
public:
    // Merges a message in. Gives the message to write now if none is under way.
    const Message *add(const Message &message)
    {
        const std::lock_guard lock(m_mutex);
        m_next.MergeFrom(message);
        m_empty = false;
        return m_busy ? nullptr : takeNext();
    }

    // The message under way is written. Gives the next one, if any.
    const Message *written()
    {
        const std::lock_guard lock(m_mutex);
        m_busy = false;
        return m_empty ? nullptr : takeNext();
    }

private:
    const Message *takeNext()
    {
        m_current.Clear();
        m_current.Swap(&m_next);
        m_empty = true;
        m_busy = true;
        return &m_current;
    }

    std::mutex m_mutex;
    Message m_next;
    Message m_current;
    bool m_empty = true;
    bool m_busy = false;
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_GRPC_OUTGOING_HPP_INCLUDED
