// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PREFILL_PACE_HPP_INCLUDED
#define FORDWOOD_PREFILL_PACE_HPP_INCLUDED

#include <algorithm>
#include <cstddef>

#include "fordwood/clock.hpp"

namespace fordwood {

// Estimates how fast the engines of one service compute prompts, from the times of their first
// tokens, and how long answers occupy their slots. Engines differ, and none publishes these values.
class PrefillPace
{
public:
    // A first token arrived `took` after its prompt was sent. `tokens` had to be computed by then,
    // including the work that was at the engine before.
    void observe(std::size_t tokens, Duration took)
    {
        // The times of shorter prompts mostly show a fixed overhead.
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

    // Approximate time to compute this many tokens.
    Duration timeFor(double tokens) const
    {
        const std::chrono::duration<double, std::milli> ms(tokens / m_tokensPerMs.value);
        return std::chrono::duration_cast<Duration>(ms);
    }

    // Of one engine.
    double tokensPerSecond() const
    {
        constexpr double kMillisecondsPerSecond = 1'000.0;
        return kMillisecondsPerSecond * m_tokensPerMs.value;
    }

    // Approximate upper bound of the time until `n` requests have finished, of which `atOnce` run
    // at once: requests that started together finish together.
    Duration timeUntilFinished(std::size_t n, std::size_t atOnce) const
    {
        const std::size_t places = std::max<std::size_t>(atOnce, 1);
        const std::size_t rounds = (n + places - 1) / places;
        const std::chrono::duration<double, std::milli> ms(m_answerMs.value
                                                           * static_cast<double>(rounds));
        return std::chrono::duration_cast<Duration>(ms);
    }

private:
    // Mean of the latest samples. The initial value counts as a sample.
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

    Mean m_tokensPerMs{50.0}; // initially that of a slow current engine
    Mean m_answerMs{1'000.0};
};

} // namespace fordwood

#endif // FORDWOOD_PREFILL_PACE_HPP_INCLUDED
