// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ENGINE_PACES_HPP_INCLUDED
#define FORDWOOD_ENGINE_PACES_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>

#include "fordwood/clock.hpp"

namespace fordwood {

// A prompt whose first token has not arrived.
struct WaitingPrompt
{
    TimePoint placedAt{};
    Duration expected{}; // time from then to the first token
};

// Estimates how much slower each engine is at the moment than its service's engines usually are, as
// the ratio of actual to expected times to first token. Serves engines that slow down for some
// tenths of a second, so every sample loses its weight within that time.
class EnginePaces
{
public:
    explicit EnginePaces(const Clock &clock) : m_clock(clock) { }

    // A first token arrived. `engine`: hash of the instance id.
    void addSample(std::uint64_t engine, Duration expected, Duration actual);

    // From 1 (as expected) to 8. `firstDue`: of the engine's waiting prompts, the one whose first
    // token was expected first. If it is overdue, it counts like a sample of the time so far. The
    // others wait for the same computation and do not count.
    double value(std::uint64_t engine, const std::optional<WaitingPrompt> &firstDue) const;

    // Removes engines without recent samples.
    void removeExpired();

private:
    struct Sample
    {
        TimePoint at{};
        double ratio = 1.0;
    };

    const Clock &m_clock;
    std::unordered_map<std::uint64_t, std::deque<Sample>> m_samples; // by engine
};

} // namespace fordwood

#endif // FORDWOOD_ENGINE_PACES_HPP_INCLUDED
