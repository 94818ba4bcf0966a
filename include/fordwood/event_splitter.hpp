// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED
#define FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fordwood {

// Cuts the bytes of a `text/event-stream` into whole events, so that only whole ones are passed on
// and a stream that breaks can go on after the last of them.
class EventSplitter
{
public:
    // The most bytes that one event may have before its stream is taken as broken.
    static constexpr std::size_t kMaxEventBytes = 1 << 20;

    // Takes in bytes. Returns the whole events that are now complete, unaltered, as one text; it
    // stays valid until the next call.
    std::string_view add(std::string_view bytes);

    // The id of the last whole event; nothing while there was none with an id.
    const std::optional<std::uint64_t> &lastId() const { return m_lastId; }

    // Bytes of an event that is not whole yet.
    bool hasPartialEvent() const { return m_bytes.size() > m_completeBytes; }

    // The stream goes on at another upstream: what is not whole is dropped.
    void dropPartialEvent();

    bool isTooLong() const { return m_bytes.size() - m_completeBytes > kMaxEventBytes; }

private:
    void updateLastId(std::string_view events);

    std::string m_bytes;
    std::size_t m_completeBytes = 0; // of m_bytes, given out by the last add()
    std::optional<std::uint64_t> m_lastId;
};

} // namespace fordwood

#endif // FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED
