// SPDX-License-Identifier: MIT
#include "apps/load/report.hpp"

#include <doctest/doctest.h>

#include <filesystem>
#include <fstream>

#include <unistd.h>

#include "apps/load/svg_plot.hpp"

using namespace fordwood::apps;

namespace {

// A temporary directory for one test.
class Folder
{
public:
    Folder()
        : m_path(std::filesystem::temp_directory_path()
                 / ("fordwood-report-" + std::to_string(getpid())))
    {
        std::filesystem::create_directories(m_path);
    }
    ~Folder() { std::filesystem::remove_all(m_path); }
    Folder(const Folder &) = delete;
    Folder &operator=(const Folder &) = delete;

    std::string write(const std::string &name, const std::string &text) const
    {
        std::ofstream(m_path / name) << text;
        return (m_path / name).string();
    }
    std::string path() const { return m_path.string(); }

private:
    std::filesystem::path m_path;
};

std::string scoreEntry(const std::string &time, double worth, const std::string &why)
{
    return R"({"at": ["a", ")" + time + R"("], "cmd": "score", "why": ")" + why
           + R"(", "site": "boards", "days": [{"name": "quiet-1", "G": )" + std::to_string(worth)
           + R"(, "rules": {}, "prices": [["store calls", 500.0, 0.25], ["loads", 3, 0.5]]}]})";
}

std::size_t countOf(const std::string &text, const std::string &piece)
{
    std::size_t n = 0;
    for (std::size_t at = text.find(piece); at != std::string::npos; at = text.find(piece, at + 1))
        ++n;
    return n;
}

} // namespace

TEST_CASE(
    "load report: scores are read in chronological order, with worth, prices and rules [report]")
{
    const Folder folder;
    folder.write("2.json", scoreEntry("t2", 0.75, "second"));
    folder.write("1.json", scoreEntry("t1", 0.5, "first"));
    folder.write("notes.txt", "no entry");
    const auto report = readReport(folder.path(), {});
    REQUIRE(report);
    REQUIRE(report->journal.size() == 2);
    CHECK(report->journal[0].why == "first");
    CHECK(report->journal[1].meanWorth() == 0.75);
    CHECK(report->journal[1].days.front().prices.at("loads") == 0.5);
    const std::string page = renderReport(*report);
    CHECK(countOf(page, "<svg") == 2); // one plot of worth, one of prices
    CHECK(page.find("quiet-1: 0.75") != std::string::npos);
}

TEST_CASE("load report: entries without days are listed but not plotted [report]")
{
    const Folder folder;
    folder.write("1.json",
                 R"({"at": ["a", "t1"], "cmd": "hunt", "why": "<b>", "site": null, "days": []})");
    const auto report = readReport(folder.path(), {});
    REQUIRE(report);
    CHECK_FALSE(report->journal.front().meanWorth());
    const std::string page = renderReport(*report);
    CHECK(countOf(page, "<svg") == 0);
    CHECK(page.find("&lt;b&gt;") != std::string::npos);
    CHECK(page.find("<b>") == std::string::npos);
}

TEST_CASE("load report: result files are plotted as latencies [report]")
{
    const Folder folder;
    const std::string file = folder.write(
        "r.json",
        R"({"first_byte_ms": {"p50": 2.5, "p99": 9}, "whole_ms": {"p50": 3}, "outcomes": {"answered": 7}})");
    const auto report = readReport("", {file});
    REQUIRE(report);
    const std::string page = renderReport(*report);
    CHECK(countOf(page, "<svg") == 1);
    CHECK(page.find("p99: 9") != std::string::npos);
    CHECK(page.find("answered 7") != std::string::npos);
}

TEST_CASE("load report: errors name the file that cannot be read [report][bad-input]")
{
    const Folder folder;
    const std::string file = folder.write("bad.json", R"({"at": )");
    CHECK(readReport(folder.path(), {}).error().text.starts_with(file));
    CHECK(readReport("", {file}).error().text.starts_with(file));
    CHECK(readReport(folder.path() + "/none", {}).error().text.find("none") != std::string::npos);
    CHECK(readReport("", {folder.path() + "/missing.json"}).error().text.find("missing.json")
          != std::string::npos);
}

TEST_CASE("load report: a plot without values says so, and missing values are skipped [report]")
{
    CHECK(drawSvg({"empty", "ms", {{"a", {std::nullopt}}}}).find("no values") != std::string::npos);
    const std::string plot = drawSvg({"gaps", "ms", {{"a", {1.0, std::nullopt, 3.0}}}});
    CHECK(countOf(plot, "<circle") == 2);
}
