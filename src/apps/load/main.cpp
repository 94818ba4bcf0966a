// SPDX-License-Identifier: MIT
#include <fstream>
#include <iostream>

#include <boost/program_options.hpp>
#include <curl/curl.h>

#include "adapters/observe/build_version.hpp"
#include "apps/common/daemon.hpp"
#include "apps/load/report.hpp"
#include "apps/load/runner.hpp"

namespace {

namespace po = boost::program_options;

using namespace fordwood;

constexpr const char *kReportCommand = "report";

constexpr const char *kUsage
    = "Usage: fordwood-load WORKLOAD [options]\n"
      "       fordwood-load report [--journal DIR] [--input FILE]... --page FILE\n\n"
      "Sends a workload at a rate that does not depend on the answers, and reports\n"
      "the outcomes that callers observed; or renders an HTML page from the results\n"
      "of earlier runs.\n\n"
      "Exit codes: 0 done, and every request was answered or rejected with a\n"
      "verdict; 1 some were lost, truncated, crossed or doubled; 2 wrong\n"
      "options or an invalid workload file.\n\n";

// Renders the page with the results of earlier runs.
int makeReport(const po::variables_map &values)
{
    if (values.count("page") == 0 || (values.count("journal") == 0 && values.count("input") == 0)) {
        std::cerr << "fordwood-load report: needs --page, and --journal or --input\n";
        return apps::ExitUsage;
    }
    const std::string journal
        = values.count("journal") != 0 ? values["journal"].as<std::string>() : std::string();
    const auto inputs = values.count("input") != 0 ? values["input"].as<std::vector<std::string>>()
                                                   : std::vector<std::string>{};
    const auto report = apps::readReport(journal, inputs);
    if (!report) {
        std::cerr << report.error().text << "\n";
        return apps::ExitUsage;
    }
    const std::string path = values["page"].as<std::string>();
    std::ofstream out(path);
    out << apps::renderReport(*report);
    out.close();
    if (!out) {
        std::cerr << path << ": cannot be written\n";
        return apps::ExitUsage;
    }
    return apps::ExitOk;
}

int run(int argc, char **argv)
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("help", "show this text");
    add("version", "show the version");
    add("reference", "print the reference page of workload files");
    add("target", po::value<std::vector<std::string>>(),
        "use these addresses instead of the file's");
    add("rate", po::value<double>(), "use this rate instead of the file's");
    add("requests", po::value<std::size_t>(), "use this number of requests instead of the file's");
    add("seed", po::value<std::uint64_t>(), "use this seed instead of the file's");
    add("threads", po::value<unsigned>()->default_value(1), "number of sending threads");
    add("output", po::value<std::string>()->default_value("text"), "text or json");
    add("result", po::value<std::string>(), "write the result as JSON to this file too");
    add("journal", po::value<std::string>(), "report: journal directory");
    add("input", po::value<std::vector<std::string>>(), "report: result files of earlier runs");
    add("page", po::value<std::string>(), "report: write the page to this file");
    po::options_description all;
    all.add(options).add_options()("workload", po::value<std::string>());
    po::positional_options_description positions;
    positions.add("workload", 1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);
    if (values.count("version") != 0) {
        std::cout << "fordwood-load " << adapters::buildVersion() << "\n";
        return apps::ExitOk;
    }
    if (values.count("reference") != 0) {
        std::cout << apps::workloadReference();
        return apps::ExitOk;
    }
    if (values.count("help") != 0 || values.count("workload") == 0) {
        std::cout << kUsage << options;
        return values.count("help") != 0 ? apps::ExitOk : apps::ExitUsage;
    }
    if (values["workload"].as<std::string>() == kReportCommand)
        return makeReport(values);
    config::ConfigErrors errors;
    auto workload = apps::readWorkload(values["workload"].as<std::string>(), errors);
    if (!workload) {
        for (const config::ConfigError &it : errors)
            std::cerr << it.toString() << "\n";
        return apps::ExitUsage;
    }
    if (values.count("target") != 0)
        workload->targets = values["target"].as<std::vector<std::string>>();
    if (values.count("rate") != 0)
        workload->rate = values["rate"].as<double>();
    if (values.count("requests") != 0)
        workload->requests = values["requests"].as<std::size_t>();
    if (values.count("seed") != 0)
        workload->seed = values["seed"].as<std::uint64_t>();

    const auto plan = apps::makePlan(*workload);
    const apps::StandinCounts before = apps::readStandins(*workload);
    const auto begin = std::chrono::steady_clock::now();
    const auto records
        = apps::runPlan(*workload, plan, std::max(1U, values["threads"].as<unsigned>()));
    const Duration duration = std::chrono::steady_clock::now() - begin;
    apps::StandinCounts counts = apps::readStandins(*workload);
    counts.promptTokens -= before.promptTokens;
    counts.uncachedTokens -= before.uncachedTokens;
    counts.linkBytes -= before.linkBytes;
    counts.cancelled -= before.cancelled;
    for (const auto &[reason, n] : before.retries)
        counts.retries[reason] -= n;
    std::erase_if(counts.retries, [](const auto &it) { return it.second <= 0; });

    const std::string json = apps::reportJson(records, counts, duration);
    std::cout << (values["output"].as<std::string>() == "json"
                      ? json + "\n"
                      : apps::reportText(records, counts, duration));
    if (values.count("result") != 0)
        std::ofstream(values["result"].as<std::string>()) << json << "\n";
    for (const apps::RequestRecord &it : records) {
        if (it.outcome == apps::CallerOutcome::Lost || it.outcome == apps::CallerOutcome::Truncated
            || it.outcome == apps::CallerOutcome::Crossed)
            return apps::ExitFailed;
    }
    return counts.doubledRuns > 0 ? apps::ExitFailed : apps::ExitOk;
}

} // namespace

int main(int argc, char **argv)
{
    curl_global_init(CURL_GLOBAL_DEFAULT);
    try {
        return run(argc, argv);
    } catch (const po::error &ec) {
        std::cerr << "fordwood-load: " << ec.what() << "\n";
        return apps::ExitUsage;
    }
}
