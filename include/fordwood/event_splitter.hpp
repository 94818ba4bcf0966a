// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED
#define FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fordwood {

// Splits the bytes of a `text/event-stream` into complete events, so that only complete ones are
// passed on and a broken stream can be resumed after the last of them.
class EventSplitter
{
public:
    // Maximum size of an event; a stream with a larger one is considered broken.
    static constexpr std::size_t kMaxEventBytes = 1 << 20;

    // Adds bytes. Returns the events that are now complete, unchanged, as one text that stays valid
    // until the next call.
    std::string_view add(std::string_view bytes);

    // The id of the last complete event that has one; nothing before that.
    const std::optional<std::uint64_t> &lastId() const { return m_lastId; }

    // Whether there are bytes of an incomplete event.
    bool hasPartialEvent() const { return m_bytes.size() > m_completeBytes; }

    // Drops an incomplete event, as the stream continues at another upstream.
    void dropPartialEvent();

    bool isTooLong() const { return m_bytes.size() - m_completeBytes > kMaxEventBytes; }

private:
    void updateLastId(std::string_view events);

    std::string m_bytes;
    std::size_t m_completeBytes = 0; // bytes of m_bytes returned by the last add()
    std::optional<std::uint64_t> m_lastId;
};

} // namespace fordwood

#endif // FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED
