// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_LOAD_REPORT_HPP_INCLUDED
#define FORDWOOD_APPS_LOAD_REPORT_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>
#include <vector>

#include <tl/expected.hpp>

namespace fordwood::apps {

// The result of one simulated day of load.
struct SimulatedDay
{
    std::string name;
    double worth = 0.0; // relative to an ideal system
    std::map<std::string, double> prices; // deductions from the worth, by cause
    std::size_t ruleViolations = 0;
};

// One entry of the journal: a command and the days that it simulated.
struct JournalEntry
{
    std::string at; // end time
    std::string command;
    std::string why;
    std::string site; // empty: several sites or none
    std::vector<SimulatedDay> days;

    std::optional<double> meanWorth() const;
};

// A result file of fordwood-load.
struct LoadResult
{
    std::string file;
    std::map<std::string, double> firstByteMs; // by quantile
    std::map<std::string, double> totalMs;
    std::map<std::string, double> outcomes;
};

struct Report
{
    std::vector<JournalEntry> journal; // in chronological order
    std::vector<LoadResult> results; // in the order given
};

// A readable message that names the file that could not be read.
struct ReportError
{
    std::string text;
};

// Reads the entries in a journal directory, and result files.
tl::expected<Report, ReportError> readReport(const std::string &journalDirectory,
                                             const std::vector<std::string> &resultFiles);

// Renders a self-contained HTML page: plots of worth, prices and times by round, and a table of all
// entries.
std::string renderReport(const Report &report);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_LOAD_REPORT_HPP_INCLUDED
