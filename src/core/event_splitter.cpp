// SPDX-License-Identifier: MIT
#include "fordwood/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace fordwood {

namespace {

// Position after the last blank line of the text, or zero.
std::size_t endOfLastEvent(std::string_view text)
{
    std::size_t end = 0;
    for (const std::string_view blank : {"\n\n", "\r\n\r\n"}) {
        const std::size_t at = text.rfind(blank);
        if (at != std::string_view::npos)
            end = std::max(end, at + blank.size());
    }
    return end;
}

} // namespace

std::string_view EventSplitter::add(std::string_view bytes)
{
    m_bytes.erase(0, m_completeBytes);
    m_completeBytes = 0;
    m_bytes.append(bytes);
    m_completeBytes = endOfLastEvent(m_bytes);
    const std::string_view events = std::string_view(m_bytes).substr(0, m_completeBytes);
    updateLastId(events);
    return events;
}

void EventSplitter::dropPartialEvent()
{
    m_bytes.clear();
    m_completeBytes = 0;
}

void EventSplitter::updateLastId(std::string_view events)
{
    constexpr std::string_view kIdField = "id:";
    while (!events.empty()) {
        const std::size_t end = std::min(events.find('\n'), events.size() - 1);
        std::string_view line = events.substr(0, end);
        events.remove_prefix(end + 1);
        if (!line.starts_with(kIdField))
            continue;
        line.remove_prefix(kIdField.size());
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            m_lastId = id;
    }
}

} // namespace fordwood
