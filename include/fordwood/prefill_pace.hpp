// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PREFILL_PACE_HPP_INCLUDED
#define FORDWOOD_PREFILL_PACE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>

#include "fordwood/clock.hpp"

namespace fordwood {

// How fast the engines of one service compute prompts, as their first tokens show, and how long
// answers keep their places there. Nobody states it, and engines differ.
class PrefillPace
{
public:
    // A first token has come `took` after its prompt was sent; `tokens` had to be computed by then,
    // with those that lay at the engine before it.
    void observe(std::size_t tokens, Duration took)
    {
        // Shorter ones tell of the fixed part of the time.
        constexpr std::size_t kMinTokens = 4'000;
        if (tokens < kMinTokens || took <= Duration(0))
            return;
        m_tokensPerMs.add(static_cast<double>(tokens) / milliseconds(took));
    }

    // An answer has ended `took` after its first token.
    void observeAnswer(Duration took)
    {
        if (took > Duration(0))
            m_answerMs.add(milliseconds(took));
    }

    // How long so many tokens take, about.
    Duration timeFor(double tokens) const
    {
        const std::chrono::duration<double, std::milli> ms(tokens / m_tokensPerMs.value);
        return std::chrono::duration_cast<Duration>(ms);
    }

    // How long it takes at most, about, until `n` of the requests have ended, of which so many run
    // at once: those that began together end together.
    Duration timeUntilFinished(std::size_t n, std::size_t atOnce) const
    {
        const std::size_t places = std::max<std::size_t>(atOnce, 1);
        const std::size_t rounds = (n + places - 1) / places;
        const std::chrono::duration<double, std::milli> ms(m_answerMs.value
                                                           * static_cast<double>(rounds));
        return std::chrono::duration_cast<Duration>(ms);
    }

private:
    // Of the last samples; the value before the first one counts as a sample.
    struct Mean
    {
        void add(double sample)
        {
            constexpr double kMinWeight = 0.05;
            samples += 1;
            const double weight = std::max(kMinWeight, 1.0 / static_cast<double>(samples));
            value += weight * (sample - value);
        }

        double value = 0.0;
        std::size_t samples = 1;
    };

    static double milliseconds(Duration time)
    {
        return std::chrono::duration<double, std::milli>(time).count();
    }

    Mean m_tokensPerMs{50.0}; // until observed: a slow engine of today
    Mean m_answerMs{1'000.0};
};

} // namespace fordwood

#endif // FORDWOOD_PREFILL_PACE_HPP_INCLUDED
