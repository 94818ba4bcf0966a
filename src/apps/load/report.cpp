// SPDX-License-Identifier: MIT
#include "apps/load/report.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <set>
#include <sstream>

#include <nlohmann/json.hpp>

#include "apps/load/svg_plot.hpp"

namespace fordwood::apps {

namespace {

using Json = nlohmann::json;

// A plot of prices shows only this many causes, those with the highest sums.
constexpr std::size_t kMaxPriceLines = 6;

// Parses a JSON file with `read`, which may use accessors that throw.
template <typename T, typename Read>
tl::expected<T, ReportError> readFile(const std::filesystem::path &path, Read read)
{
    std::ifstream in(path);
    if (!in)
        return tl::unexpected(ReportError{path.string() + ": cannot be opened"});
    try {
        return read(Json::parse(in));
    } catch (const Json::exception &error) {
        return tl::unexpected(ReportError{path.string() + ": " + error.what()});
    }
}

SimulatedDay readDay(const Json &object)
{
    SimulatedDay day;
    object.at("name").get_to(day.name);
    day.worth = object.value("G", 0.0);
    day.ruleViolations = object.value("rules", Json::object()).size();
    const Json prices = object.value("prices", Json::array());
    for (const Json &it : prices) // [cause, amount, deduction from the worth]
        day.prices[it.at(0).get<std::string>()] = it.at(2).get<double>();
    return day;
}

// A string that may be missing or null.
std::string optionalText(const Json &object, const char *key)
{
    const auto it = object.find(key);
    return it != object.end() && it->is_string() ? it->get<std::string>() : std::string();
}

JournalEntry readEntry(const Json &object)
{
    JournalEntry entry;
    entry.at = object.at("at").at(1).get<std::string>();
    object.at("cmd").get_to(entry.command);
    entry.why = optionalText(object, "why");
    entry.site = optionalText(object, "site");
    const Json days = object.value("days", Json::array());
    for (const Json &it : days)
        entry.days.push_back(readDay(it));
    return entry;
}

LoadResult readResult(const Json &object)
{
    LoadResult result;
    object.at("first_byte_ms").get_to(result.firstByteMs);
    object.at("whole_ms").get_to(result.totalMs);
    object.at("outcomes").get_to(result.outcomes);
    return result;
}

std::vector<std::filesystem::path> listEntryFiles(const std::string &directory)
{
    std::vector<std::filesystem::path> paths;
    for (const auto &it : std::filesystem::directory_iterator(directory)) {
        if (it.path().extension() == ".json")
            paths.push_back(it.path());
    }
    std::sort(paths.begin(), paths.end()); // file names start with the time
    return paths;
}

// The score entries of one site, in order. Only rounds of the same site are comparable.
std::vector<const JournalEntry *> scoreEntries(const Report &report, const std::string &site)
{
    std::vector<const JournalEntry *> scores;
    for (const JournalEntry &it : report.journal) {
        if (it.command == "score" && it.site == site && !it.days.empty())
            scores.push_back(&it);
    }
    return scores;
}

const SimulatedDay *findDay(const JournalEntry &entry, const std::string &name)
{
    const auto it = std::find_if(entry.days.begin(), entry.days.end(),
                                 [&](const SimulatedDay &day) { return day.name == name; });
    return it == entry.days.end() ? nullptr : &*it;
}

// Days that more than one score contains. A day that only one score contains gives no line in a
// plot.
std::set<std::string> repeatedDays(const std::vector<const JournalEntry *> &scores)
{
    std::map<std::string, int> counts;
    for (const JournalEntry *entry : scores) {
        for (const SimulatedDay &it : entry->days)
            ++counts[it.name];
    }
    std::set<std::string> names;
    for (const auto &[name, n] : counts) {
        if (n > 1 || scores.size() == 1)
            names.insert(name);
    }
    return names;
}

Plot plotWorth(const std::string &site, const std::vector<const JournalEntry *> &scores)
{
    Plot plot{site + ": worth by day", "of an ideal system", {}};
    for (const std::string &name : repeatedDays(scores)) {
        PlotSeries series{name, {}};
        for (const JournalEntry *it : scores) {
            const SimulatedDay *day = findDay(*it, name);
            series.values.push_back(day != nullptr ? std::optional(day->worth) : std::nullopt);
        }
        plot.series.push_back(std::move(series));
    }
    return plot;
}

// Mean price over the days of an entry.
double meanPrice(const JournalEntry &entry, const std::string &name)
{
    double sum = 0.0;
    for (const SimulatedDay &it : entry.days) {
        const auto price = it.prices.find(name);
        sum += price == it.prices.end() ? 0.0 : price->second;
    }
    return sum / static_cast<double>(entry.days.size());
}

Plot plotPrices(const std::string &site, const std::vector<const JournalEntry *> &scores)
{
    std::map<std::string, double> sums;
    for (const JournalEntry *entry : scores) {
        for (const SimulatedDay &day : entry->days) {
            for (const auto &[name, part] : day.prices)
                sums[name] += part;
        }
    }
    std::vector<std::pair<double, std::string>> highest;
    highest.reserve(sums.size());
    for (const auto &[name, sum] : sums)
        highest.emplace_back(sum, name);
    std::sort(highest.rbegin(), highest.rend());
    highest.resize(std::min(highest.size(), kMaxPriceLines));
    Plot plot{site + ": prices, mean over the days", "part of the worth", {}};
    for (const auto &[sum, name] : highest) {
        PlotSeries series{name, {}};
        for (const JournalEntry *it : scores)
            series.values.emplace_back(meanPrice(*it, name));
        plot.series.push_back(std::move(series));
    }
    return plot;
}

Plot plotTimes(const std::vector<LoadResult> &results)
{
    std::set<std::string> quantiles;
    for (const LoadResult &result : results) {
        for (const auto &[name, value] : result.firstByteMs)
            quantiles.insert(name);
    }
    Plot plot{"Time to the first byte", "ms", {}};
    for (const std::string &name : quantiles) {
        PlotSeries series{name, {}};
        for (const LoadResult &it : results) {
            const auto value = it.firstByteMs.find(name);
            series.values.push_back(value == it.firstByteMs.end() ? std::nullopt
                                                                  : std::optional(value->second));
        }
        plot.series.push_back(std::move(series));
    }
    return plot;
}

void writeJournalTable(std::ostream &out, const std::vector<JournalEntry> &journal)
{
    out << "<table><tr><th>ended</th><th>command</th><th>site</th><th>days</th>"
           "<th>mean worth</th><th>days with a rule broken</th><th>why</th></tr>\n";
    for (const JournalEntry &it : journal) {
        const auto broken
            = std::count_if(it.days.begin(), it.days.end(),
                            [](const SimulatedDay &day) { return day.ruleViolations > 0; });
        const auto mean = it.meanWorth();
        out << "<tr><td>" << escapeHtml(it.at) << "</td><td>" << escapeHtml(it.command)
            << "</td><td>" << escapeHtml(it.site) << "</td><td>" << it.days.size() << "</td><td>";
        if (mean)
            out << *mean;
        out << "</td><td>" << broken << "</td><td>" << escapeHtml(it.why) << "</td></tr>\n";
    }
    out << "</table>\n";
}

void writeResultTable(std::ostream &out, const std::vector<LoadResult> &results)
{
    out << "<table><tr><th>file</th><th>outcomes</th><th>first byte, ms</th><th>whole, ms</th>"
           "</tr>\n";
    const auto list = [&](const std::map<std::string, double> &values) {
        out << "<td>";
        for (const auto &[name, value] : values)
            out << escapeHtml(name) << " " << value << " ";
        out << "</td>";
    };
    for (const LoadResult &it : results) {
        out << "<tr><td>" << escapeHtml(it.file) << "</td>";
        list(it.outcomes);
        list(it.firstByteMs);
        list(it.totalMs);
        out << "</tr>\n";
    }
    out << "</table>\n";
}

} // namespace

std::optional<double> JournalEntry::meanWorth() const
{
    if (days.empty())
        return std::nullopt;
    double sum = 0.0;
    for (const SimulatedDay &it : days)
        sum += it.worth;
    return sum / static_cast<double>(days.size());
}

tl::expected<Report, ReportError> readReport(const std::string &journalDirectory,
                                             const std::vector<std::string> &resultFiles)
{
    Report report;
    if (!journalDirectory.empty()) {
        if (!std::filesystem::is_directory(journalDirectory))
            return tl::unexpected(ReportError{journalDirectory + ": is not a directory"});
        for (const auto &path : listEntryFiles(journalDirectory)) {
            auto entry = readFile<JournalEntry>(path, readEntry);
            if (!entry)
                return tl::unexpected(entry.error());
            report.journal.push_back(std::move(*entry));
        }
    }
    for (const std::string &path : resultFiles) {
        auto result = readFile<LoadResult>(path, readResult);
        if (!result)
            return tl::unexpected(result.error());
        result->file = path;
        report.results.push_back(std::move(*result));
    }
    return report;
}

std::string renderReport(const Report &report)
{
    std::ostringstream out;
    out << "<!doctype html>\n<html lang=\"en\"><head><meta charset=\"utf-8\">"
           "<title>fordwood: figures by round</title>\n<style>body{font-family:sans-serif;"
           "margin:2em}table{border-collapse:collapse;margin:1em 0}td,th{border:1px solid #ccc;"
           "padding:2px 6px;text-align:left;vertical-align:top}</style></head><body>\n"
           "<h1>fordwood: figures by round</h1>\n";
    std::set<std::string> sites;
    for (const JournalEntry &it : report.journal) {
        if (!it.site.empty())
            sites.insert(it.site);
    }
    for (const std::string &site : sites) {
        const auto scores = scoreEntries(report, site);
        if (scores.empty())
            continue;
        out << "<h2>" << escapeHtml(site) << ": " << scores.size() << " scores</h2>\n"
            << drawSvg(plotWorth(site, scores)) << drawSvg(plotPrices(site, scores));
    }
    if (!report.results.empty()) {
        out << "<h2>Result files</h2>\n" << drawSvg(plotTimes(report.results));
        writeResultTable(out, report.results);
    }
    if (!report.journal.empty()) {
        out << "<h2>Journal</h2>\n";
        writeJournalTable(out, report.journal);
    }
    out << "</body></html>\n";
    return out.str();
}

} // namespace fordwood::apps
