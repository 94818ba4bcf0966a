// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIMIT_TEXT_HPP_INCLUDED
#define FORDWOOD_LIMIT_TEXT_HPP_INCLUDED

#include <algorithm>
#include <optional>
#include <string_view>

namespace fordwood {

// The rate limit that one response of an upstream advertises.
struct ParsedLimit
{
    std::optional<double> perSecond; // requests per second, at least zero; empty: no valid limit
    bool isUnreadable = false; // a limit field is not a valid number
};

// Parses a decimal number. Empty for negative numbers, values out of range and anything else.
std::optional<double> parseNonNegative(std::string_view text);

// Parses one header field. If the field occurs more than once, the smallest valid limit applies.
inline void addLimitField(std::string_view text, ParsedLimit &parsed)
{
    const auto rate = parseNonNegative(text);
    if (!rate)
        parsed.isUnreadable = true;
    else
        parsed.perSecond = std::min(*rate, parsed.perSecond.value_or(*rate));
}

} // namespace fordwood

#endif // FORDWOOD_LIMIT_TEXT_HPP_INCLUDED
