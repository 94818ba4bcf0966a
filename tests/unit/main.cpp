// SPDX-License-Identifier: MIT
#define DOCTEST_CONFIG_IMPLEMENT
#include <doctest/doctest.h>

#include <algorithm>
#include <cstdlib>
#include <sstream>
#include <string>

// Leaves out the tests that FORDWOOD_KNOWN_RED names, one a line: scripts/test.sh takes them from
// KNOWN-RED.txt and prints them.
int main(int argc, char **argv)
{
    doctest::Context context(argc, argv);
    const char *names = std::getenv("FORDWOOD_KNOWN_RED");
    std::istringstream lines(names == nullptr ? "" : names);
    for (std::string it; std::getline(lines, it);) {
        // A comma would end the filter.
        std::replace(it.begin(), it.end(), ',', '?');
        context.addFilter("test-case-exclude", it.c_str());
    }
    return context.run();
}
