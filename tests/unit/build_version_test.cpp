// SPDX-License-Identifier: MIT
#include "adapters/observe/build_version.hpp"

#include <regex>

#include <doctest/doctest.h>

#include "adapters/observe/metrics.hpp"

using namespace fordwood;

// Guards against logs and metrics that do not tell which build wrote them.
TEST_CASE("build version: names the commit or a digest of the sources")
{
    const std::string version = adapters::buildVersion();
    CAPTURE(version);
    CHECK(std::regex_match(
        version, std::regex(R"(\d+\.\d+\.\d+\+(g[0-9a-f]{10,}(\.changed)?|s[0-9a-f]{10}))")));
    const std::string expected = "fordwood_build_info{version=\"" + version + "\"} 1";
    CHECK(adapters::Metrics().text().find(expected) != std::string::npos);
}
