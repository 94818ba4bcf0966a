// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_LIMIT_TEXT_HPP_INCLUDED
#define FORDWOOD_LIMIT_TEXT_HPP_INCLUDED

#include <algorithm>
#include <optional>
#include <string_view>

namespace fordwood {

// What one answer says of the limit of its upstream.
struct ParsedLimit
{
    std::optional<double> perSecond; // requests a second, from zero up; nothing: none that is read
    bool isUnreadable = false; // it names something that is no such number
};

// A decimal number; nothing for what is no number from zero up, or one too large to be held.
std::optional<double> parseNonNegative(std::string_view text);

// Takes in one field of an answer. One that is there twice names both limits: the smaller one
// holds.
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
