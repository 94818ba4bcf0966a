// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_BACKOFF_TEXT_HPP_INCLUDED
#define FORDWOOD_BACKOFF_TEXT_HPP_INCLUDED

#include <optional>
#include <string_view>

#include "fordwood/clock.hpp"

namespace fordwood {

// How long an upstream that rejects a request wants nothing more from this node.
struct ParsedBackoff
{
    std::optional<Duration> length; // nothing: it does not say, or nothing that can be read
    bool isUnreadable = false;
};

// Takes in one field of an answer: seconds, with fractions. Of several the longest one holds.
void addBackoffField(std::string_view text, ParsedBackoff &parsed);

} // namespace fordwood

#endif // FORDWOOD_BACKOFF_TEXT_HPP_INCLUDED
