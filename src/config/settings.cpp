// SPDX-License-Identifier: MIT
#include "config/settings.hpp"

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <set>

#include "config/settings_tables.hpp"

namespace fordwood::config {

namespace {

void readTable(const CheckedTable &table, Settings &settings)
{
    const std::string_view section = table.section();
    if (section == "node") {
        settings.node = {table.text("name"), table.text("failure_domain"), table.text("region")};
    } else if (section == "entry") {
        EntrySettings &entry = settings.entry;
        entry.listen = table.text("listen");
        entry.httpThreads = static_cast<unsigned>(table.integer("http_threads", 2));
        entry.maxBodyBytes = static_cast<std::size_t>(table.integer("max_body_bytes", 4'194'304));
        entry.maxIncomingBytes
            = static_cast<std::size_t>(table.integer("max_incoming_bytes", 67'108'864));
        entry.maxHeaderBytes = static_cast<std::size_t>(table.integer("max_header_bytes", 16'384));
        entry.maxConnections = static_cast<unsigned>(table.integer("max_connections", 4096));
        entry.maxInFlight = static_cast<std::size_t>(table.integer("max_in_flight", 2048));
        entry.readTimeout = table.span("read_timeout", entry.readTimeout);
        entry.answerBufferBytes
            = static_cast<std::size_t>(table.integer("answer_buffer_bytes", 262'144));
        entry.ownerTimeout = table.span("owner_timeout", entry.ownerTimeout);
        entry.stopNotice = table.span("stop_notice", entry.stopNotice);
        entry.stopTimeout = table.span("stop_timeout", entry.stopTimeout);
    } else if (section == "control") {
        settings.control
            = {table.text("listen"), table.text("metrics_listen"), table.textList("seeds")};
    } else if (section == "platform") {
        settings.platform = {table.text("key_value"), table.text("vm_list"),
                             table.span("vm_list_period", std::chrono::seconds(1))};
    } else if (section == "log") {
        settings.jsonLog = table.text("format") == "json";
    }
}

} // namespace

std::optional<std::string> readFile(const std::string &path, ConfigErrors &errors)
{
    std::ifstream in(path, std::ios::binary);
    if (!in) {
        errors.push_back({path, 0, 0, "", std::string("cannot be read: ") + std::strerror(errno),
                          "expected a readable file"});
        return std::nullopt;
    }
    return std::string(std::istreambuf_iterator<char>(in), {});
}

SettingsTables readSettingsTables(const std::string &path, std::span<const Section> sections,
                                  std::initializer_list<std::string_view> required,
                                  ConfigErrors &errors)
{
    SettingsTables result;
    const auto text = readFile(path, errors);
    if (!text)
        return result;
    auto document = parseDocument(path, *text, errors);
    if (!document)
        return result;
    result.documents.push_back(std::move(*document));
    result.tables = checkDocuments(result.documents, sections, errors);
    std::set<std::string_view> present;
    for (const CheckedTable &it : result.tables) {
        present.insert(it.section());
        const std::string format = it.section() == "log" ? it.text("format", "text") : "text";
        if (format != "text" && format != "json")
            errors.push_back(
                it.error("format", "is \"" + format + "\"", "expected \"text\" or \"json\""));
    }
    for (const std::string_view it : required) {
        if (errors.empty() && present.count(it) == 0)
            errors.push_back({path, 0, 0, std::string(it), "is missing", "expected the section"});
    }
    return result;
}

std::optional<Settings> readSettings(const std::string &path, ConfigErrors &errors)
{
    const auto result = readSettingsTables(path, entrySettingsSections(),
                                           {"node", "entry", "control", "platform"}, errors);
    Settings settings;
    for (const CheckedTable &it : result.tables)
        readTable(it, settings);
    if (!errors.empty())
        return std::nullopt;
    return settings;
}

} // namespace fordwood::config
