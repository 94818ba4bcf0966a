// SPDX-License-Identifier: MIT
#include "fordwood/engine_group_planner.hpp"

#include <algorithm>
#include <array>
#include <cmath>

namespace fordwood {

namespace {

// A kind of prompt counts as present for this long after its last one; engines keep the contexts of
// short prompts about as long.
constexpr Duration kPresenceTime = std::chrono::seconds(20);

// The first size holds for this long: the first prompts of a starting fleet do not show its load.
constexpr Duration kStartTime = std::chrono::seconds(3);

// The group is used while this share of the latest answers to short prompts paused longer than they
// may: single ones pause beside a slow engine too.
constexpr double kMinPausedShare = 0.05;
constexpr double kAnswerWeight = 0.02; // of one answer in this share

// Share of the engines in the group at first. In a group that starts smaller, the short prompts of
// a starting fleet wait.
constexpr double kStartShare = 0.25;

// A group shrinks only after it was too large for this long. Each change of the group moves
// contexts, and the load of the next seconds may need the old size again.
constexpr Duration kShrinkTime = std::chrono::seconds(3);

// The rate of short prompts is averaged over this time: long enough for some hundred of them, and
// short enough for bursts of a few seconds.
constexpr Duration kRateWindow = std::chrono::seconds(2);
constexpr Duration kRateInterval = std::chrono::milliseconds(100);

// A rate that was observed for less than this time is taken as that of the whole time.
constexpr Duration kMinRateTime = std::chrono::seconds(1);

// The need hardly changes within this time, and computing it for each prompt would cost more.
constexpr Duration kUpdateInterval = std::chrono::milliseconds(100);

// Parts of an engine that short prompts may fill so that the next one starts at once. Prompts do
// not arrive evenly, and engines spend most of their time on the answers.
constexpr double kMaxComputationShare = 0.3;
constexpr double kMaxSlotShare = 0.35;

// The begin of the interval to which a time belongs.
TimePoint intervalOf(TimePoint time)
{
    return time - time.time_since_epoch() % kRateInterval;
}

std::size_t enginesFor(double load, double loadOfOne)
{
    return loadOfOne > 0.0 ? static_cast<std::size_t>(std::ceil(load / loadOfOne)) : 0;
}

} // namespace

const char *name(EngineGroupPlanner::Reason reason)
{
    constexpr std::array kNames{"not-needed", "start", "computation", "slots", "context"};
    return kNames.at(static_cast<std::size_t>(reason));
}

bool EngineGroupPlanner::isRecent(const std::optional<TimePoint> &time) const
{
    return time && m_clock.now() - *time <= kPresenceTime;
}

bool EngineGroupPlanner::hasLoad() const
{
    return isRecent(m_lastShort) || isRecent(m_lastLong);
}

bool EngineGroupPlanner::isGroupUsed() const
{
    return isRecent(m_lastShort) && isRecent(m_lastLong) && isRecent(m_lastPauses);
}

void EngineGroupPlanner::answerEnded(bool hasPaused)
{
    m_pausedShare += kAnswerWeight * ((hasPaused ? 1.0 : 0.0) - m_pausedShare);
    if (m_pausedShare >= kMinPausedShare)
        m_lastPauses = m_clock.now();
}

void EngineGroupPlanner::promptPlaced(const PlacedPrompt &prompt)
{
    const TimePoint now = m_clock.now();
    if (!prompt.isShort) {
        m_lastLong = now;
        return;
    }
    if (!isRecent(m_lastShort))
        m_firstShort = now;
    m_lastShort = now;
    m_shortContexts.count(prompt.context, prompt.sharedTokens);
    if (m_shortTokens.empty() || m_shortTokens.back().begin != intervalOf(now))
        m_shortTokens.push_back({intervalOf(now), 0});
    m_shortTokens.back().tokens += prompt.load.tokensToCompute;
    m_tokensInWindow += prompt.load.tokensToCompute;
}

std::size_t EngineGroupPlanner::size(const Engines &engines, std::size_t runningShort)
{
    const TimePoint now = m_clock.now();
    const bool isDue = now - m_updatedAt >= kUpdateInterval;
    if (isDue) {
        m_updatedAt = now;
        m_need = largestNeed(engines, runningShort);
    }
    const std::size_t most = maxShortPromptEngines(engines.count);
    if (most == 0 || !isGroupUsed()) {
        m_startedAt.reset();
        m_size = 0;
        m_reason = Reason::NotNeeded;
        return 0;
    }
    m_need.engines = std::clamp<std::size_t>(m_need.engines, 1, most);
    if (!m_startedAt)
        start(engines);
    else if (isDue)
        resize();
    return std::min(m_size, most);
}

void EngineGroupPlanner::start(const Engines &engines)
{
    m_startedAt = m_clock.now();
    m_smallerSince = m_startedAt;
    m_largestSmallerNeed = {};
    m_size = std::max<std::size_t>(
        1, static_cast<std::size_t>(kStartShare * static_cast<double>(engines.count)));
    m_reason = Reason::Start;
}

void EngineGroupPlanner::resize()
{
    const TimePoint now = m_clock.now();
    const bool isStarting = now - *m_startedAt < kStartTime;
    if (m_need.engines >= m_size) {
        m_smallerSince.reset();
        if (!isStarting) {
            m_size = m_need.engines;
            m_reason = m_need.reason;
        }
        return;
    }
    if (!m_smallerSince) {
        m_smallerSince = now;
        m_largestSmallerNeed = {};
    }
    if (m_need.engines > m_largestSmallerNeed.engines)
        m_largestSmallerNeed = m_need;
    if (now - *m_smallerSince < kShrinkTime)
        return;
    // The group never shrinks below what it needed within this time.
    m_size = m_largestSmallerNeed.engines;
    m_reason = m_largestSmallerNeed.reason;
    m_smallerSince.reset();
}

EngineGroupPlanner::Need EngineGroupPlanner::largestNeed(const Engines &engines,
                                                         std::size_t runningShort)
{
    const std::array needs{
        Need{enginesFor(shortTokensPerSecond(), engines.tokensPerSecond * kMaxComputationShare),
             Reason::Computation},
        Need{enginesFor(static_cast<double>(runningShort),
                        static_cast<double>(engines.traits.slots) * kMaxSlotShare),
             Reason::Slots},
        Need{enginesForSharedContext(engines.traits, m_shortContexts.ownTokens()),
             Reason::Context}};
    return *std::max_element(needs.begin(), needs.end(),
                             [](const Need &a, const Need &b) { return a.engines < b.engines; });
}

double EngineGroupPlanner::shortTokensPerSecond()
{
    const TimePoint now = m_clock.now();
    // Whole intervals, of which the first one lies within the window.
    const TimePoint windowBegin = intervalOf(now - kRateWindow) + kRateInterval;
    while (!m_shortTokens.empty() && m_shortTokens.front().begin < windowBegin) {
        m_tokensInWindow -= m_shortTokens.front().tokens;
        m_shortTokens.pop_front();
    }
    const Duration observed
        = std::max<Duration>(now - std::max(m_firstShort, windowBegin), kMinRateTime);
    return static_cast<double>(m_tokensInWindow) / std::chrono::duration<double>(observed).count();
}

} // namespace fordwood
