// SPDX-License-Identifier: MIT
#include "apps/common/options.hpp"

#include <iostream>

#include <boost/program_options.hpp>

#include "adapters/observe/build_version.hpp"
#include "apps/common/daemon.hpp"

namespace fordwood::apps {

namespace po = boost::program_options;

std::optional<std::string> parseOptions(int argc, char **argv, const std::string &name, int &code)
{
    po::options_description options("Options");
    options.add_options()("help", "show this text")("version", "show the version")(
        "settings", po::value<std::string>(), "settings file of this VM (TOML)");
    code = ExitUsage;
    try {
        po::variables_map values;
        po::store(po::parse_command_line(argc, argv, options), values);
        if (values.count("help") != 0) {
            std::cout << "Usage: " << name << " --settings FILE\n\n" << options;
            code = ExitOk;
            return std::nullopt;
        }
        if (values.count("version") != 0) {
            std::cout << name << " " << adapters::buildVersion() << "\n";
            code = ExitOk;
            return std::nullopt;
        }
        if (values.count("settings") != 0)
            return values["settings"].as<std::string>();
        std::cerr << name << ": --settings: is missing, expected a file\n";
    } catch (const po::error &ec) {
        std::cerr << name << ": " << ec.what() << "\n";
    }
    return std::nullopt;
}

} // namespace fordwood::apps
