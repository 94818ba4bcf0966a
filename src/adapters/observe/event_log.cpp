// SPDX-License-Identifier: MIT
#include "adapters/observe/event_log.hpp"

#include <unistd.h>

#include <atomic>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <sstream>
#include <system_error>
#include <thread>
#include <tuple>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

#include "adapters/observe/line_output.hpp"
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

// The error of the last line that this thread wrote, as easylogging++ returns none.
thread_local std::error_code lastWriteError; // NOLINT

// Writes the lines that easylogging++ has formatted.
class LineDispatch : public el::LogDispatchCallback
{
protected:
    void handle(const el::LogDispatchData *data) override
    {
        const el::LogMessage *message = data->logMessage();
        const std::string line = message->logger()->logBuilder()->build(message, true);
        const std::lock_guard lock(m_mutex);
        lastWriteError = m_output.write(line);
    }

private:
    std::mutex m_mutex;
    LineOutput m_output{STDOUT_FILENO};
};

std::error_code writeLine(EventLevel level, const std::string &line)
{
    lastWriteError.clear();
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
    return lastWriteError;
}

// Writes the lines of all threads in batches, so that the thread rarely wakes up. Warnings and
// errors, and what was logged before them, are written at once: a process that is killed shortly
// after would lose them.
class LogThread
{
public:
    LogThread() : m_lines(kMaxPendingLines), m_thread([this] { run(); }) { }
    LogThread(const LogThread &) = delete;
    LogThread &operator=(const LogThread &) = delete;
    ~LogThread()
    {
        requestStop(std::nullopt);
        m_thread.join();
    }

    void push(EventLevel level, std::string line)
    {
        m_logged.fetch_add(1);
        m_lines.push({level, std::move(line)});
        if (level == EventLevel::Info)
            return;
        m_hasUrgentLine.store(true);
        m_changed.notify_all(); // one that is missed costs a batch period
    }

    // Whether this is the thread that writes.
    bool isCurrent() const { return m_thread.get_id() == std::this_thread::get_id(); }

    // Returns false if the pending lines could not be written in time; the thread still runs then.
    bool stop(std::optional<Duration> sinceSignal)
    {
        requestStop(sinceSignal);
        std::unique_lock lock(m_mutex);
        return m_changed.wait_for(lock, kFinalWriteTime, [this] { return m_isFinished; });
    }

private:
    // A busy node writes a few hundred lines per second; the limit is reached only in a burst.
    static constexpr std::size_t kMaxPendingLines = 4'096;
    static constexpr std::chrono::milliseconds kBatchPeriod{50};
    // Writing all pending lines takes a few milliseconds where somebody reads them. A planned stop
    // keeps up to 1 s for its end, and uses some 0.2 s of it before the log is closed.
    static constexpr std::chrono::milliseconds kFinalWriteTime{200};

    void requestStop(std::optional<Duration> sinceSignal)
    {
        const std::lock_guard lock(m_mutex);
        if (!m_isStopping)
            m_sinceSignal = sinceSignal;
        m_isStopping = true;
        m_changed.notify_all();
    }

    void run()
    {
        std::unique_lock lock(m_mutex);
        while (!m_isStopping) {
            m_changed.wait_for(lock, kBatchPeriod,
                               [this] { return m_isStopping || m_hasUrgentLine.load(); });
            m_hasUrgentLine.store(false);
            lock.unlock();
            writeAll();
            lock.lock();
        }
        const std::optional<Duration> sinceSignal = m_sinceSignal;
        lock.unlock();
        writeAll();
        if (sinceSignal)
            writeStopped(*sinceSignal);
        lock.lock();
        m_isFinished = true;
        m_changed.notify_all();
    }

    void writeAll()
    {
        std::uint64_t failed = 0;
        const std::uint64_t overflowed = m_lines.drain([&](const LogQueue::Line &it) {
            if (const std::error_code ec = writeLine(it.level, it.text)) {
                ++failed;
                m_error = ec;
            }
        });
        m_dropped += overflowed + failed;
        m_unreported += overflowed + failed;
        if (m_unreported > 0)
            reportDropped();
    }

    void reportDropped()
    {
        const EventInfo &info = findInfo(Event::LogLinesDropped);
        const std::string error = m_error ? m_error.message() : "";
        if (writeLine(info.level, formatLine(info, {{"lines", m_unreported}, {"error", error}})))
            return; // counted in the next report
        m_unreported = 0;
        m_error.clear();
    }

    void writeStopped(Duration sinceSignal)
    {
        const EventInfo &info = findInfo(Event::Stopped);
        std::ignore = writeLine(info.level, formatLine(info, {{"since_signal_ms", sinceSignal},
                                                              {"lines", m_logged.load()},
                                                              {"dropped", m_dropped}}));
    }

    LogQueue m_lines;
    std::atomic<std::uint64_t> m_logged{0};
    std::atomic<bool> m_hasUrgentLine{false};
    // Of the log thread alone:
    std::uint64_t m_dropped = 0;
    std::uint64_t m_unreported = 0; // of those, not yet told by an event
    std::error_code m_error; // of the last one that was not written
    std::mutex m_mutex; // of the members below
    std::condition_variable m_changed;
    bool m_isStopping = false;
    bool m_isFinished = false;
    std::optional<Duration> m_sinceSignal;
    std::thread m_thread; // last, as it uses the other members
};

std::unique_ptr<LogThread>
    logThread; // NOLINT: set before other threads start, reset after their end

} // namespace

void startLogThread()
{
    logThread = std::make_unique<LogThread>();
}

bool stopLogThread(std::optional<Duration> sinceSignal)
{
    if (!logThread->stop(sinceSignal))
        return false;
    logThread.reset();
    return true;
}

void flushLogBeforeAbort()
{
    if (logThread && !logThread->isCurrent())
        std::ignore = logThread->stop(std::nullopt);
}

void openEventLog(const std::string &program, bool json)
{
    programName = program;
    jsonLines = json;
    el::Configurations conf;
    conf.setToDefault();
    conf.setGlobally(el::ConfigurationType::ToFile, "false");
    conf.setGlobally(el::ConfigurationType::ToStandardOutput, "false");
    conf.setGlobally(el::ConfigurationType::Format,
                     json ? "%msg" : "%datetime{%Y-%M-%dT%H:%m:%s.%g} %msg");
    el::Loggers::reconfigureAllLoggers(conf);
    el::Helpers::installLogDispatchCallback<LineDispatch>("fordwood");
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
