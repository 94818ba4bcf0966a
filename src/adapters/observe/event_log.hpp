// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_EVENT_LOG_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_EVENT_LOG_HPP_INCLUDED

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "fordwood/clock.hpp"

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
    // Values that callers or upstreams choose, such as ids, may be as long as their heads.
    static constexpr std::size_t kMaxValueBytes = 1'024;

    // Keeps the begin of a longer value.
    EventField(std::string_view fieldKey, std::string fieldValue)
        : key(fieldKey), value(std::move(fieldValue))
    {
        if (value.size() > kMaxValueBytes)
            value.resize(kMaxValueBytes);
    }
    template <typename Number, typename = std::enable_if_t<std::is_arithmetic_v<Number>>>
    EventField(std::string_view fieldKey, Number number)
        : key(fieldKey), value(std::to_string(number))
    { }

    EventField(std::string_view fieldKey, Duration time) // in whole milliseconds
        : EventField(fieldKey, std::chrono::floor<std::chrono::milliseconds>(time).count())
    { }

    std::string_view key;
    std::string value;
};

// Sets the log format (key=value text or JSON lines) and the program's name.
void openEventLog(const std::string &program, bool json);

// Starts a thread that writes the log. From then on logEvent() never blocks, and drops its line if
// a few thousand lines are pending. Call once, and call stopLogThread() before the process ends.
void startLogThread();

// Writes the pending lines and stops the thread. With `sinceSignal`, the time since the signal that
// stops the process, event 102 is the last line. Returns false if the log could not be written in
// a fraction of a second, as when nobody reads a full pipe: the thread still runs then, and the
// process must end by std::_Exit(), since destructors would wait for the thread.
[[nodiscard]] bool stopLogThread(std::optional<Duration> sinceSignal = std::nullopt);

// Writes the pending lines, for a process that is about to abort: other threads may go on logging.
// Waits for a fraction of a second at most.
void flushLogBeforeAbort();

// Returns the list of all events as a Markdown page.
std::string eventsPage();

// Logs an event.
void logEvent(Event event, std::initializer_list<EventField> fields = {});

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_EVENT_LOG_HPP_INCLUDED
