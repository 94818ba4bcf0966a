// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ENGINE_GROUP_PLANNER_HPP_INCLUDED
#define FORDWOOD_ENGINE_GROUP_PLANNER_HPP_INCLUDED

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/engine_groups.hpp"
#include "fordwood/serving_config.hpp"
#include "fordwood/upstream_load_tracker.hpp"

namespace fordwood {

// Decides how many engines of a service are for short prompts, from the load that is placed at
// them. Serves load of short prompts, whose answers must not pause, beside long prompts, each of
// which delays every answer of its engine and evicts contexts from its memory.
class EngineGroupPlanner
{
public:
    struct PlacedPrompt
    {
        bool isShort = false; // see isShortPrompt()
        RequestLoad load;
        std::uint64_t context = 0; // hash of the shared parts
        std::size_t sharedTokens = 0; // in these parts
    };

    // The engines among which the group is chosen.
    struct Engines
    {
        std::size_t count = 0;
        EngineTraits traits;
        double tokensPerSecond = 0.0; // that one engine computes
    };

    // What the size follows from.
    enum class Reason {
        NotNeeded, // only one kind of prompt, or pauses do not matter
        Start, // the load is not known yet
        Computation,
        Slots,
        Context,
    };

    explicit EngineGroupPlanner(const Clock &clock) : m_clock(clock), m_shortContexts(clock) { }

    void promptPlaced(const PlacedPrompt &prompt);

    // The answer to a short prompt has ended. `hasPaused`: it paused longer than it may.
    void answerEnded(bool hasPaused);

    // Updates and returns the number of engines for short prompts; zero: there is no group.
    // `runningShort`: short requests that are placed and have not ended.
    std::size_t size(const Engines &engines, std::size_t runningShort);

    // Of the last result of size().
    Reason reason() const { return m_reason; }

    // Whether prompts were placed recently.
    bool hasLoad() const;

private:
    struct Need
    {
        std::size_t engines = 0;
        Reason reason = Reason::Start;
    };
    struct ShortTokens
    {
        TimePoint begin{}; // of an interval
        std::size_t tokens = 0;
    };

    bool isRecent(const std::optional<TimePoint> &time) const;
    bool isGroupUsed() const;
    void start(const Engines &engines);
    void resize();
    Need largestNeed(const Engines &engines, std::size_t runningShort);
    double shortTokensPerSecond();

    const Clock &m_clock;
    ShortPromptDemand m_shortContexts;
    std::optional<TimePoint> m_lastShort;
    std::optional<TimePoint> m_lastLong;
    double m_pausedShare = 0.0; // of the latest answers to short prompts
    std::optional<TimePoint> m_lastPauses; // when too many of them had paused
    TimePoint m_firstShort{}; // since short prompts were last absent
    std::deque<ShortTokens> m_shortTokens;
    std::size_t m_tokensInWindow = 0; // sum of m_shortTokens
    std::optional<TimePoint> m_startedAt; // when the group came into use
    TimePoint m_updatedAt{}; // of the need
    Need m_need;
    std::size_t m_size = 0;
    Reason m_reason = Reason::NotNeeded;
    // Since when the need has been smaller than the group, and its largest value since then.
    std::optional<TimePoint> m_smallerSince;
    Need m_largestSmallerNeed;
};

// For the log.
const char *name(EngineGroupPlanner::Reason reason);

} // namespace fordwood

#endif // FORDWOOD_ENGINE_GROUP_PLANNER_HPP_INCLUDED
