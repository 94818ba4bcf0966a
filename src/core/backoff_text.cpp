// SPDX-License-Identifier: MIT
#include "fordwood/backoff_text.hpp"

#include <algorithm>

#include "fordwood/limit_text.hpp"

namespace fordwood {

void addBackoffField(std::string_view text, ParsedBackoff &parsed)
{
    constexpr double kMaxSeconds = 1e9; // fits into a Duration without overflow
    const auto seconds = parseNonNegative(text);
    if (!seconds) {
        parsed.isUnreadable = true;
        return;
    }
    const std::chrono::duration<double> length(std::min(*seconds, kMaxSeconds));
    parsed.length = std::max(std::chrono::duration_cast<Duration>(length),
                             parsed.length.value_or(Duration::zero()));
}

} // namespace fordwood
