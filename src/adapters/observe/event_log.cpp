// SPDX-License-Identifier: MIT
#include "adapters/observe/event_log.hpp"

#include <sstream>

#include <easylogging++.h>
#include <nlohmann/json.hpp>

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

std::string programName; // NOLINT: set once at start, before any other thread
bool jsonLines = false; // NOLINT: likewise

const EventInfo &infoOf(Event event)
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

std::string asJson(const EventInfo &info, std::initializer_list<EventField> fields)
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

std::string asText(const EventInfo &info, std::initializer_list<EventField> fields)
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

} // namespace

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
    const EventInfo &info = infoOf(event);
    const std::string line = jsonLines ? asJson(info, fields) : asText(info, fields);
    switch (info.level) {
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

} // namespace fordwood::adapters
