// SPDX-License-Identifier: MIT
#include "fordwood/backoff_text.hpp"

#include <algorithm>

#include "fordwood/limit_text.hpp"

namespace fordwood {

void addBackoff(std::string_view text, BackoffReading &reading)
{
    constexpr double kMostSeconds = 1e9; // what a duration holds without overflow
    const auto seconds = readNonNegative(text);
    if (!seconds) {
        reading.isUnreadable = true;
        return;
    }
    const std::chrono::duration<double> length(std::min(*seconds, kMostSeconds));
    reading.length = std::max(std::chrono::duration_cast<Duration>(length),
                              reading.length.value_or(Duration::zero()));
}

} // namespace fordwood
