// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_EVENT_LOG_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_EVENT_LOG_HPP_INCLUDED

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace fordwood::adapters {

enum class EventLevel { Info, Warning, Error };

// The numbered events that the programs log.
enum class Event : std::uint16_t {
#define FORDWOOD_EVENT(symbol, number, level, text, advice) symbol = number,
#include "adapters/observe/event_list.inc"
#undef FORDWOOD_EVENT
};

struct EventField
{
    EventField(std::string_view fieldKey, std::string fieldValue)
        : key(fieldKey), value(std::move(fieldValue))
    { }
    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    EventField(std::string_view fieldKey, Number number)
        : key(fieldKey), value(std::to_string(number))
    { }

    std::string_view key;
    std::string value;
};

// Sets the form of the log (key=value or JSON lines on standard error) and the program's name.
void openEventLog(const std::string &program, bool json);

// From here on a thread of its own writes the log: logEvent() never waits, and drops its line when
// more than a few thousand wait to be written. Call once, and stopLogThread() before the end.
void startLogThread();

// Writes what is left and ends the thread.
void stopLogThread();

// The catalogue of events, in Markdown.
std::string eventsPage();

// Writes one event.
void logEvent(Event event, std::initializer_list<EventField> fields = {});

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_EVENT_LOG_HPP_INCLUDED
