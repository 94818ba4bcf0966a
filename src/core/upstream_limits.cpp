// SPDX-License-Identifier: MIT
#include "fordwood/upstream_limits.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// How long peers are told that a limit is lifted: longer than a node stands still or is cut off on
// an ordinary day. One that comes back later says what it believes, and is told then.
constexpr Duration kTellLifted = std::chrono::seconds(30);

// From here on a limit is none: no process serves so many callers a second.
constexpr double kNoLimit = 10'000.0;

// An upstream that names less, or zero, gets one request in ten seconds all the same: without an
// answer now and then nobody would learn that it takes requests again.
constexpr double kLeastLimit = 0.1;

std::optional<double> binding(std::optional<double> perSecond)
{
    if (!perSecond || *perSecond >= kNoLimit)
        return std::nullopt;
    return std::max(*perSecond, kLeastLimit);
}

} // namespace

void UpstreamLimits::know(const std::string &instanceId)
{
    m_beliefs[stableHash(instanceId)].instanceId = instanceId;
}

void UpstreamLimits::forget(const std::string &instanceId)
{
    m_beliefs.erase(stableHash(instanceId));
}

bool UpstreamLimits::mayChange(const Belief &belief, std::optional<double> perSecond,
                               TimePoint sent) const
{
    if (belief.version == 0)
        return true;
    const bool isEased = belief.perSecond && (!perSecond || *perSecond > *belief.perSecond);
    return sent > (isEased ? belief.borneOut : belief.learnt);
}

LimitChange UpstreamLimits::change(Belief &belief, std::uint64_t version,
                                   std::optional<double> perSecond, TimePoint answered)
{
    const TimePoint now = m_clock.now();
    LimitChange result{belief.instanceId, belief.perSecond, perSecond, version, now - answered};
    belief.version = version;
    belief.perSecond = perSecond;
    belief.learnt = now;
    belief.borneOut = now;
    belief.answered = answered;
    belief.tellUntil = now + kTellLifted;
    return result;
}

std::optional<LimitChange> UpstreamLimits::answered(const std::string &instanceId,
                                                    std::optional<double> perSecond, TimePoint sent)
{
    const auto it = m_beliefs.find(stableHash(instanceId));
    if (it == m_beliefs.end())
        return std::nullopt;
    Belief &belief = it->second;
    const std::optional<double> named = binding(perSecond);
    if (named == belief.perSecond) {
        belief.borneOut = m_clock.now();
        return std::nullopt;
    }
    if (!mayChange(belief, named, sent))
        return std::nullopt;
    return change(belief, belief.version + 1, named, m_clock.now());
}

std::vector<LimitChange> UpstreamLimits::heard(const std::vector<LimitWord> &words)
{
    std::vector<LimitChange> changes;
    const TimePoint now = m_clock.now();
    for (const LimitWord &it : words) {
        const auto known = m_beliefs.find(it.upstream);
        if (known == m_beliefs.end())
            continue;
        Belief &belief = known->second;
        const std::optional<double> named
            = binding(it.perSecond > 0.0 ? std::optional(it.perSecond) : std::nullopt);
        // Two nodes may have read different answers at the same time: the stricter one holds until
        // the next answer.
        const bool isStricter = it.version == belief.version && named
                                && (!belief.perSecond || *named < *belief.perSecond);
        if (it.version < belief.version)
            belief.tellUntil = now + kTellLifted; // who says so has missed what came after
        if (it.version <= belief.version && !isStricter)
            continue;
        const bool isSame = named == belief.perSecond;
        LimitChange made = change(belief, it.version, named, now - it.age);
        if (!isSame)
            changes.push_back(std::move(made));
    }
    return changes;
}

std::optional<double> UpstreamLimits::perSecond(const std::string &instanceId) const
{
    return perSecond(stableHash(instanceId));
}

std::optional<double> UpstreamLimits::perSecond(std::uint64_t upstream) const
{
    const auto it = m_beliefs.find(upstream);
    return it == m_beliefs.end() ? std::nullopt : it->second.perSecond;
}

std::vector<LimitWord> UpstreamLimits::words() const
{
    std::vector<LimitWord> words;
    const TimePoint now = m_clock.now();
    for (const auto &[hash, it] : m_beliefs) {
        const bool isLifted = it.version > 0 && !it.perSecond && now < it.tellUntil;
        if (it.perSecond || isLifted)
            words.push_back({hash, it.version, it.perSecond.value_or(0.0), now - it.answered, {}});
    }
    return words;
}

std::size_t UpstreamLimits::limited() const
{
    return static_cast<std::size_t>(
        std::count_if(m_beliefs.begin(), m_beliefs.end(),
                      [](const auto &it) { return it.second.perSecond.has_value(); }));
}

} // namespace fordwood
