// SPDX-License-Identifier: MIT
#include "fordwood/limit_text.hpp"

#include <charconv>
#include <cmath>

namespace fordwood {

std::optional<double> parseNonNegative(std::string_view text)
{
    double value = 0.0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), value);
    if (ec != std::errc() || end != text.data() + text.size())
        return std::nullopt;
    return std::isfinite(value) && value >= 0.0 ? std::optional(value) : std::nullopt;
}

} // namespace fordwood
