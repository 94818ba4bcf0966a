// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_CONFIG_ERROR_HPP_INCLUDED
#define FORDWOOD_CONFIG_CONFIG_ERROR_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

namespace fordwood::config {

// An error in a configuration or settings file. Line and column start at one; zero: unknown.
struct ConfigError
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string field;
    std::string problem;
    std::string expected;

    // Formats the error as "file:line:column: field: problem, expected".
    std::string toString() const;
};

using ConfigErrors = std::vector<ConfigError>;

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_CONFIG_ERROR_HPP_INCLUDED
