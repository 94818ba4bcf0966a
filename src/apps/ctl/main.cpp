// SPDX-License-Identifier: MIT
#include <iostream>
#include <string_view>

#include <boost/program_options.hpp>

#include "adapters/observe/build_version.hpp"
#include "apps/common/daemon.hpp"
#include "apps/ctl/commands.hpp"
#include "config/document.hpp"

namespace {

namespace po = boost::program_options;

using namespace fordwood;

constexpr const char *kUsage
    = "Usage: fordwoodctl VERB [options]\n\n"
      "  check PATH    validates a configuration (a file, or a folder of .toml files)\n"
      "  submit PATH   validates a configuration and activates it as a whole\n"
      "  show          prints the active configuration\n"
      "  diff PATH     compares a configuration with the active one\n"
      "  status        asks nodes which version they serve\n"
      "  reference P   prints a reference page: configuration, settings, reasons or events\n"
      "  version       prints the version of this program\n\n"
      "Exit codes: 0 done; 1 failed; 2 wrong options or an invalid configuration; 3 another\n"
      "submission was accepted first; 4 unknown whether it took effect (submit again with the\n"
      "same --submission); 5 diff found differences.\n\n";

po::options_description makeOptions()
{
    po::options_description options("Options");
    auto add = options.add_options();
    add("help", "show this text");
    add("output", po::value<std::string>()->default_value("text"), "text or json");
    add("platform", po::value<std::string>(), "address of the key-value service, IP:port");
    add("node", po::value<std::vector<std::string>>(), "address of a controld (may be repeated)");
    add("submission", po::value<std::string>(),
        "id of the submission; a repeated id is accepted only once");
    add("base", po::value<long long>(), "reject the submission unless this version is active");
    add("timeout", po::value<std::string>()->default_value("10s"), "time limit");
    return options;
}

struct VerbHelp
{
    std::string_view verb;
    std::string_view text;
};

constexpr VerbHelp kVerbs[] = {
    {"check",
     "Usage: fordwoodctl check PATH [--output json]\n\n"
     "Validates a configuration: a file, or a folder of .toml files read as one. Sends nothing.\n"
     "Exit codes: 0 valid, 2 invalid (each error with file:line:column).\n"},
    {"submit", "Usage: fordwoodctl submit PATH --platform IP:PORT [--base N] [--submission ID]\n"
               "                          [--timeout 10s] [--output json]\n\n"
               "Validates a configuration and activates it as a whole. Exit codes: 0 active (or\n"
               "unchanged), 1 not stored, 2 invalid, 3 another submission was accepted first,\n"
               "4 unknown: submit again with the same --submission.\n"},
    {"show", "Usage: fordwoodctl show --platform IP:PORT [--output json]\n\n"
             "Prints the active configuration. Exit codes: 0 done, 1 it cannot be read.\n"},
    {"diff", "Usage: fordwoodctl diff PATH --platform IP:PORT [--output json]\n\n"
             "Compares a configuration with the active one: + added, - removed, ~ changed.\n"
             "Exit codes: 0 no differences, 5 differences, 1 it cannot be read, 2 invalid.\n"},
    {"status", "Usage: fordwoodctl status --node IP:PORT [--node ...] [--output json]\n\n"
               "Asks nodes (their control.listen) which version they serve. Exit codes: 0 all\n"
               "answer and serve the same version, 1 otherwise.\n"},
    {"reference", "Usage: fordwoodctl reference configuration|settings|reasons|events\n\n"
                  "Prints a reference page that is generated from the code.\n"},
    {"version", "Usage: fordwoodctl version\n\nPrints the version of this program.\n"},
};

// Prints the help of one verb, or of the program.
void printHelp(const std::string &verb, const po::options_description &options)
{
    for (const VerbHelp &it : kVerbs) {
        if (it.verb == verb) {
            std::cout << it.text;
            return;
        }
    }
    std::cout << kUsage << options;
}

int fail(const std::string &problem)
{
    std::cerr << "fordwoodctl: " << problem << "\n";
    return apps::ExitUsage;
}

int run(int argc, char **argv)
{
    const po::options_description visible = makeOptions();
    po::options_description all;
    all.add(visible).add_options()("verb", po::value<std::string>())(
        "argument", po::value<std::vector<std::string>>());
    po::positional_options_description positions;
    positions.add("verb", 1).add("argument", -1);
    po::variables_map values;
    po::store(po::command_line_parser(argc, argv).options(all).positional(positions).run(), values);

    if (values.count("help") != 0 || values.count("verb") == 0) {
        printHelp(values.count("verb") != 0 ? values["verb"].as<std::string>() : "", visible);
        return values.count("help") != 0 ? apps::ExitOk : apps::ExitUsage;
    }
    apps::CtlOptions options;
    options.verb = values["verb"].as<std::string>();
    if (options.verb == "version") {
        std::cout << "fordwoodctl " << adapters::buildVersion() << "\n";
        return apps::ExitOk;
    }
    const std::string output = values["output"].as<std::string>();
    if (output != "text" && output != "json")
        return fail("--output: is \"" + output + "\", expected text or json");
    options.json = output == "json";
    const std::string timeout = values["timeout"].as<std::string>();
    const auto span = config::parseSpan(timeout);
    if (!span)
        return fail("--timeout: is \"" + timeout + "\", expected a time span like 10s");
    options.timeout = *span;
    if (values.count("argument") != 0)
        options.arguments = values["argument"].as<std::vector<std::string>>();
    if (values.count("platform") != 0)
        options.platform = values["platform"].as<std::string>();
    if (values.count("node") != 0)
        options.nodes = values["node"].as<std::vector<std::string>>();
    if (values.count("submission") != 0)
        options.submissionId = values["submission"].as<std::string>();
    if (values.count("base") != 0)
        options.base = values["base"].as<long long>();
    return apps::runVerb(options, std::cout, std::cerr);
}

} // namespace

int main(int argc, char **argv)
{
    try {
        return run(argc, argv);
    } catch (const po::error &ec) {
        return fail(ec.what());
    }
}
