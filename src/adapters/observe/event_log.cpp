// SPDX-License-Identifier: MIT
#include "adapters/observe/event_log.hpp"

#include <atomic>
#include <memory>
#include <sstream>
#include <thread>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include "adapters/observe/log_queue.hpp"

INITIALIZE_EASYLOGGINGPP

namespace fordwood::adapters {

namespace {

struct EventInfo
{
    Event event;
    EventLevel level;
    std::string_view name;
    std::string_view text;
    std::string_view advice;
};

constexpr EventInfo kEvents[] = {
#define FORDWOOD_EVENT(symbol, number, level, text, advice) \
    {Event::symbol, EventLevel::level, #symbol, text, advice},
#include "adapters/observe/event_list.inc"
#undef FORDWOOD_EVENT
};

std::string programName; // NOLINT: set once at startup, before other threads start
bool jsonLines = false; // NOLINT: likewise

const EventInfo &findInfo(Event event)
{
    for (const EventInfo &it : kEvents) {
        if (it.event == event)
            return it;
    }
    return kEvents[0];
}

std::string_view levelName(EventLevel level)
{
    switch (level) {
    case EventLevel::Info:
        return "info";
    case EventLevel::Warning:
        return "warning";
    case EventLevel::Error:
        return "error";
    }
    return "error";
}

std::string formatJson(const EventInfo &info, std::initializer_list<EventField> fields)
{
    nlohmann::json line{{"event", static_cast<int>(info.event)},
                        {"name", info.name},
                        {"level", levelName(info.level)},
                        {"program", programName},
                        {"text", info.text}};
    for (const EventField &it : fields)
        line[std::string(it.key)] = it.value;
    return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

std::string formatText(const EventInfo &info, std::initializer_list<EventField> fields)
{
    std::ostringstream out;
    out << "event=" << static_cast<int>(info.event) << " name=" << info.name
        << " level=" << levelName(info.level) << " program=" << programName;
    for (const EventField &it : fields)
        out << " " << it.key << "="
            << nlohmann::json(it.value).dump(-1, ' ', false,
                                             nlohmann::json::error_handler_t::replace);
    out << " text=\"" << info.text << "\"";
    return out.str();
}

std::string formatLine(const EventInfo &info, std::initializer_list<EventField> fields)
{
    return jsonLines ? formatJson(info, fields) : formatText(info, fields);
}

void writeLine(EventLevel level, const std::string &line)
{
    switch (level) {
    case EventLevel::Info:
        LOG(INFO) << line;
        break;
    case EventLevel::Warning:
        LOG(WARNING) << line;
        break;
    case EventLevel::Error:
        LOG(ERROR) << line;
        break;
    }
}

// Writes the lines of all threads in batches, so that the thread rarely wakes up.
class LogThread
{
public:
    LogThread() : m_lines(kMaxPendingLines), m_thread([this] { run(); }) { }
    LogThread(const LogThread &) = delete;
    LogThread &operator=(const LogThread &) = delete;
    ~LogThread()
    {
        m_stopping.store(true);
        m_thread.join();
    }

    void push(EventLevel level, std::string line) { m_lines.push({level, std::move(line)}); }

private:
    // A busy node writes a few hundred lines per second; the limit is reached only in a burst.
    static constexpr std::size_t kMaxPendingLines = 4'096;
    static constexpr std::chrono::milliseconds kBatchPeriod{50};

    void run()
    {
        while (!m_stopping.load()) {
            std::this_thread::sleep_for(kBatchPeriod);
            writeAll();
        }
        writeAll();
    }

    void writeAll()
    {
        const std::uint64_t dropped
            = m_lines.drain([](const LogQueue::Line &it) { writeLine(it.level, it.text); });
        if (dropped > 0) {
            const EventInfo &info = findInfo(Event::LogLinesDropped);
            writeLine(info.level, formatLine(info, {{"lines", dropped}}));
        }
    }

    LogQueue m_lines;
    std::atomic<bool> m_stopping{false};
    std::thread m_thread;
};

std::unique_ptr<LogThread>
    logThread; // NOLINT: set before other threads start, reset after their end

} // namespace

void startLogThread()
{
    logThread = std::make_unique<LogThread>();
}

void stopLogThread()
{
    logThread.reset();
}

void openEventLog(const std::string &program, bool json)
{
    programName = program;
    jsonLines = json;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    conf.setGlobally(el::ConfigurationType::Format,
                     json ? "%msg" : "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    el::Loggers::reconfigureAllLoggers(conf);
}

std::string eventsPage()
{
    std::ostringstream out;
    out << "# Events\n\nEvery line of the log is one of these numbered events, as `key=value` text "
           "or "
           "as JSON\n(setting `log.format`). This page is made from the code by "
           "`tools/write_references.sh`.\n\n"
           "| number | name | level | meaning | what to do |\n|---|---|---|---|---|\n";
    for (const EventInfo &it : kEvents)
        out << "| " << static_cast<int>(it.event) << " | " << it.name << " | "
            << levelName(it.level) << " | " << it.text << " | " << it.advice << " |\n";
    return out.str();
}

void logEvent(Event event, std::initializer_list<EventField> fields)
{
    const EventInfo &info = findInfo(event);
    std::string line = formatLine(info, fields);
    if (logThread)
        logThread->push(info.level, std::move(line));
    else
        writeLine(info.level, line);
}

} // namespace fordwood::adapters
