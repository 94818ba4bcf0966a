// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PREFILL_PACE_HPP_INCLUDED
#define FORDWOOD_PREFILL_PACE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>

#include "fordwood/clock.hpp"

namespace fordwood {

// How fast the engines of one service compute prompts, as their first tokens show. Nobody states
// it, and engines differ.
class PrefillPace
{
public:
    // A first token has come `took` after its prompt was sent; `tokens` had to be computed by then,
    // with those that lay at the engine before it.
    void observe(std::size_t tokens, Duration took)
    {
        // Shorter ones tell of the fixed part of the time.
        constexpr std::size_t kLeastTokens = 4'000;
        constexpr double kWeight = 0.05;
        if (tokens < kLeastTokens || took <= Duration(0))
            return;
        const double sample = static_cast<double>(tokens) / milliseconds(took);
        m_tokensPerMs += kWeight * (sample - m_tokensPerMs);
    }

    // How long so many tokens take, about.
    Duration timeFor(double tokens) const
    {
        const std::chrono::duration<double, std::milli> ms(tokens / m_tokensPerMs);
        return std::chrono::duration_cast<Duration>(ms);
    }

private:
    static double milliseconds(Duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    double m_tokensPerMs = 50.0; // until observed: a slow engine of today
};

} // namespace fordwood

#endif // FORDWOOD_PREFILL_PACE_HPP_INCLUDED
