// SPDX-License-Identifier: MIT
#include "fordwood/engine_paces.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// A sample loses its weight linearly within this time: engines slow down for about as long.
constexpr Duration kSampleLifetime = std::chrono::milliseconds(600);

// An engine that does not answer at all is a matter of its health.
constexpr double kMaxPace = 8.0;

double ratioOf(Duration actual, Duration expected)
{
    return std::min(std::chrono::duration<double>(actual) / std::chrono::duration<double>(expected),
                    kMaxPace);
}

} // namespace

void EnginePaces::addSample(std::uint64_t engine, Duration expected, Duration actual)
{
    if (expected <= Duration(0) || actual < Duration(0))
        return;
    const TimePoint now = m_clock.now();
    std::deque<Sample> &samples = m_samples[engine];
    while (!samples.empty() && now - samples.front().at >= kSampleLifetime)
        samples.pop_front();
    samples.push_back({now, ratioOf(actual, expected)});
}

// The mean of the ratios. One sample that has lost part of its weight counts only in part.
double EnginePaces::value(std::uint64_t engine, const std::optional<WaitingPrompt> &firstDue) const
{
    const TimePoint now = m_clock.now();
    double weights = 0.0;
    double excess = 0.0;
    const auto found = m_samples.find(engine);
    if (found != m_samples.end()) {
        for (const Sample &it : found->second) {
            const double weight = 1.0
                                  - std::chrono::duration<double>(now - it.at)
                                        / std::chrono::duration<double>(kSampleLifetime);
            if (weight <= 0.0)
                continue;
            weights += weight;
            excess += weight * (it.ratio - 1.0);
        }
    }
    if (firstDue && firstDue->expected > Duration(0)
        && now - firstDue->placedAt > firstDue->expected) {
        weights += 1.0;
        excess += ratioOf(now - firstDue->placedAt, firstDue->expected) - 1.0;
    }
    return std::clamp(1.0 + excess / std::max(weights, 1.0), 1.0, kMaxPace);
}

void EnginePaces::removeExpired()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_samples,
                  [now](const auto &it) { return now - it.second.back().at >= kSampleLifetime; });
}

} // namespace fordwood
