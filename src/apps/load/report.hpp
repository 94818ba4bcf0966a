// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_REPORT_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_REPORT_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace fordwood::apps {

// One day that was played for the users' platform.
struct SimulatedDay
{
    std::string name;
    double worth = 0.0; // of what an ideal system would reach
    std::map<std::string, double> prices; // parts of the worth that were paid, by what for
    std::size_t ruleViolations = 0;
};

// One entry of the users' journal: a command, and the days that it played.
struct JournalEntry
{
    std::string at; // when it ended
    std::string command;
    std::string why;
    std::string site; // empty: several or none
    std::vector<SimulatedDay> days;

    std::optional<double> meanWorth() const;
};

// One result file of fordwood-load.
struct LoadResult
{
    std::string file;
    std::map<std::string, double> firstByteMs; // by quantile
    std::map<std::string, double> totalMs;
    std::map<std::string, double> outcomes;
};

struct Report
{
    std::vector<JournalEntry> journal; // in order of time
    std::vector<LoadResult> results; // in the order given
};

// What cannot be read, with its file, for people.
struct ReportError
{
    std::string text;
};

// Reads the entries of a journal's directory and result files.
tl::expected<Report, ReportError> readReport(const std::string &journalDirectory,
                                             const std::vector<std::string> &resultFiles);

// One HTML page that needs nothing else: plots of worth, prices and times by round, and a table of
// all entries.
std::string renderReport(const Report &report);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_REPORT_HPP_INCLUDED
