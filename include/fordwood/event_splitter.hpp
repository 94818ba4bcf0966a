// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED
#define FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fordwood {

// Splits the bytes of a `text/event-stream` into complete events, so that only complete ones are
// passed on and a broken stream can be resumed after the last of them. Lines end with LF or CRLF.
//
// Event ids are numbers that rise. An event whose id does not, within a run or at the start of a
// resumed one, belongs to another run: it and all that follows in its run are withheld.
class EventSplitter
{
public:
    // Maximum size of an event; a stream with a larger one is considered broken.
    static constexpr std::size_t kMaxEventBytes = 1 << 20;

    // The caller has the events up to this one from an earlier request.
    void continueAfter(std::uint64_t id);

    // Adds bytes. Returns the events that are now complete and may be passed on, unchanged, as one
    // text that stays valid until the next call.
    std::string_view add(std::string_view bytes);

    // The id of the last returned event that has one, or of the last one that the caller has;
    // nothing before that.
    const std::optional<std::uint64_t> &lastId() const { return m_lastId; }

    // Whether an event is withheld because its id does not rise, or because it has data and comes
    // before the first id of a resumed run: nothing tells whether the caller has it.
    bool isOutOfOrder() const { return m_isOutOfOrder; }

    // The id of the withheld event that does not rise; nothing if it has none.
    const std::optional<std::uint64_t> &outOfOrderId() const { return m_outOfOrderId; }

    // Whether another run can continue after the last returned event: lastId() names it, or no data
    // has been returned yet.
    bool canContinue() const { return !m_hasUnnumbered; }

    // The number of returned events that have data. Comments and other events reach no reader.
    std::uint64_t dataEvents() const { return m_dataEvents; }

    // Whether there are bytes of an incomplete event.
    bool hasPartialEvent() const { return partialBytes() > 0; }

    // Frees what add() has returned. Only bytes of an incomplete event are held from then on.
    void dropReturned();

    // The bytes of an incomplete event.
    std::size_t partialBytes() const { return m_bytes.size() - m_completeBytes; }

    // The run has ended, and the stream may continue at another upstream. Drops an incomplete event
    // and those that were withheld.
    void endRun();

    bool isTooLong() const { return partialBytes() > kMaxEventBytes; }

private:
    std::size_t takeOrdered(std::string_view events);
    bool takeEvent(std::string_view event);

    std::string m_bytes;
    std::size_t m_completeBytes = 0; // bytes of m_bytes in complete events at the last add()
    std::optional<std::uint64_t> m_lastId;
    std::optional<std::uint64_t> m_outOfOrderId;
    std::uint64_t m_dataEvents = 0; // that were returned
    bool m_awaitsId = false; // in a resumed run that has not shown yet where it continues
    bool m_isOutOfOrder = false;
    bool m_hasUnnumbered = false; // data without an id was returned after the last id
};

} // namespace fordwood

#endif // FORDWOOD_EVENT_SPLITTER_HPP_INCLUDED
