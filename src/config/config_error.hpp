// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_CONFIG_CONFIG_ERROR_HPP_INCLUDED
#define FORDWOOD_CONFIG_CONFIG_ERROR_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

namespace fordwood::config {

// One fault in a text, with its place. Line and column count from one; zero: not known.
struct ConfigError
{
    std::string file;
    std::uint32_t line = 0;
    std::uint32_t column = 0;
    std::string field;
    std::string problem;
    std::string expected;

    // file:line:column: field: what is wrong, what was expected
    std::string toString() const;
};

using ConfigErrors = std::vector<ConfigError>;

} // namespace fordwood::config

#endif // FORDWOOD_CONFIG_CONFIG_ERROR_HPP_INCLUDED
