// SPDX-License-Identifier: MIT
#include "fordwood/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace fordwood {

namespace {

// The end of a line and an empty line. The line before may end with CRLF as well.
constexpr std::string_view kBlankLines[] = {"\n\n", "\n\r\n"};
constexpr std::size_t kMaxBlankBytes = 3;

// Space that is kept for the next events. Most events are smaller, so their bytes are seldom copied
// to other space.
constexpr std::size_t kMaxSpareBytes = 16'384;

// Position after the last blank line of the text, or zero. There is none in the first `searched`
// bytes, which are not searched again: an event may arrive in many small parts.
std::size_t endOfLastEvent(std::string_view text, std::size_t searched)
{
    const std::size_t from = searched - std::min(searched, kMaxBlankBytes - 1);
    const std::string_view rest = text.substr(from);
    std::size_t end = 0;
    for (const std::string_view blank : kBlankLines) {
        const std::size_t at = rest.rfind(blank);
        if (at != std::string_view::npos)
            end = std::max(end, from + at + blank.size());
    }
    return end;
}

// Position after the first blank line of complete events.
std::size_t endOfFirstEvent(std::string_view events)
{
    for (std::size_t at = events.find('\n'); at != std::string_view::npos;
         at = events.find('\n', at + 1)) {
        for (const std::string_view blank : kBlankLines) {
            if (events.substr(at).starts_with(blank))
                return at + blank.size();
        }
    }
    return events.size();
}

// The value of a field's line without the spaces after the colon; nothing for another field. `name`
// ends with the colon, which a field without a value may lack.
std::optional<std::string_view> fieldValue(std::string_view line, std::string_view name)
{
    if (line == name.substr(0, name.size() - 1))
        return "";
    if (!line.starts_with(name))
        return std::nullopt;
    line.remove_prefix(name.size());
    line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
    return line;
}

// Nothing for a text that is not a number as a whole.
std::optional<std::uint64_t> number(std::string_view text)
{
    std::uint64_t value = 0;
    const char *end = text.data() + text.size();
    const auto result = std::from_chars(text.data(), end, value);
    return result.ec == std::errc() && result.ptr == end ? std::optional(value) : std::nullopt;
}

} // namespace

void EventSplitter::continueAfter(std::uint64_t id)
{
    m_lastId = id;
    m_awaitsId = true;
}

std::string_view EventSplitter::add(std::string_view bytes)
{
    if (m_isOutOfOrder)
        return {};
    dropReturned();
    const std::size_t searched = m_bytes.size();
    m_bytes.append(bytes);
    m_completeBytes = endOfLastEvent(m_bytes, searched);
    const std::string_view events = std::string_view(m_bytes).substr(0, m_completeBytes);
    return events.substr(0, takeOrdered(events));
}

void EventSplitter::dropReturned()
{
    m_bytes.erase(0, m_completeBytes);
    m_completeBytes = 0;
    // A string keeps its space, and a stream lasts longer than its largest event.
    if (m_bytes.capacity() > kMaxSpareBytes && m_bytes.size() <= m_bytes.capacity() / 4)
        m_bytes.shrink_to_fit();
}

void EventSplitter::endRun()
{
    m_completeBytes = m_bytes.size();
    dropReturned();
    m_isOutOfOrder = false;
    m_outOfOrderId.reset();
    m_awaitsId = m_awaitsId || m_lastId.has_value() || m_hasUnnumbered;
}

// The size of those events that may be passed on.
std::size_t EventSplitter::takeOrdered(std::string_view events)
{
    std::size_t taken = 0;
    while (taken < events.size()) {
        const std::size_t size = endOfFirstEvent(events.substr(taken));
        if (!takeEvent(events.substr(taken, size))) {
            m_isOutOfOrder = true;
            break;
        }
        taken += size;
    }
    return taken;
}

// The last id of an event counts. Comments and events without data reach no reader, so they may be
// repeated.
bool EventSplitter::takeEvent(std::string_view event)
{
    std::optional<std::uint64_t> id;
    bool hasData = false;
    while (!event.empty()) {
        const std::size_t end = std::min(event.find('\n'), event.size() - 1);
        std::string_view line = event.substr(0, end);
        event.remove_prefix(end + 1);
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        if (const auto value = fieldValue(line, "id:"))
            id = number(*value);
        hasData = hasData || fieldValue(line, "data:").has_value();
    }
    if (!id) {
        const bool mayBeRepeated = hasData && m_awaitsId;
        m_hasUnnumbered = m_hasUnnumbered || (hasData && !mayBeRepeated);
        m_dataEvents += hasData && !mayBeRepeated ? 1 : 0;
        return !mayBeRepeated;
    }
    if (m_lastId && *id <= *m_lastId) {
        m_outOfOrderId = id;
        return false;
    }
    m_lastId = id;
    m_dataEvents += hasData ? 1 : 0;
    m_hasUnnumbered = false;
    m_awaitsId = false;
    return true;
}

} // namespace fordwood
