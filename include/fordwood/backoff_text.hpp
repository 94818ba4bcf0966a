// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_BACKOFF_TEXT_HPP_INCLUDED
#define FORDWOOD_BACKOFF_TEXT_HPP_INCLUDED

#include <optional>
#include <string_view>

#include "fordwood/clock.hpp"

namespace fordwood {

// The backoff that an upstream requests with a rejection.
struct ParsedBackoff
{
    std::optional<Duration> length; // empty: no valid value
    bool isUnreadable = false;
};

// Parses one header field: seconds, with fractions. If the field occurs more than once, the longest
// backoff applies.
void addBackoffField(std::string_view text, ParsedBackoff &parsed);

} // namespace fordwood

#endif // FORDWOOD_BACKOFF_TEXT_HPP_INCLUDED
