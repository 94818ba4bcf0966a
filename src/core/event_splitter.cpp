// SPDX-License-Identifier: MIT
#include "fordwood/event_splitter.hpp"

#include <algorithm>
#include <charconv>

namespace fordwood {

namespace {

constexpr std::string_view kBlankLines[] = {"\n\n", "\r\n\r\n"};
constexpr std::size_t kMaxBlankBytes = 4;

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

} // namespace

std::string_view EventSplitter::add(std::string_view bytes)
{
    m_bytes.erase(0, m_completeBytes);
    m_completeBytes = 0;
    const std::size_t searched = m_bytes.size();
    m_bytes.append(bytes);
    m_completeBytes = endOfLastEvent(m_bytes, searched);
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
