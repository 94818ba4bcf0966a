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
    m_inService.emplace(stableHash(instanceId), instanceId);
}

void UpstreamLimits::forget(const std::string &instanceId)
{
    const std::uint64_t upstream = stableHash(instanceId);
    m_inService.erase(upstream);
    const auto it = m_beliefs.find(upstream);
    if (it == m_beliefs.end())
        return;
    m_limited -= it->second.perSecond ? 1 : 0;
    m_beliefs.erase(it);
}

// What is believed of the upstream, to be changed; null: it is not in service.
UpstreamLimits::Belief *UpstreamLimits::belief(std::uint64_t upstream)
{
    const auto known = m_beliefs.find(upstream);
    if (known != m_beliefs.end())
        return &known->second;
    const auto it = m_inService.find(upstream);
    if (it == m_inService.end())
        return nullptr;
    Belief &belief = m_beliefs[upstream];
    belief.instanceId = it->second;
    return &belief;
}

bool UpstreamLimits::mayChange(const Belief &belief, std::optional<double> perSecond,
                               TimePoint sent)
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
    m_limited += perSecond ? 1 : 0;
    m_limited -= belief.perSecond ? 1 : 0;
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
    const std::optional<double> named = binding(perSecond);
    if (!named && m_limited == 0)
        return std::nullopt;
    const std::uint64_t upstream = stableHash(instanceId);
    if (!named && !m_beliefs.contains(upstream))
        return std::nullopt; // as ever
    Belief *known = belief(upstream);
    if (known == nullptr)
        return std::nullopt;
    if (named == known->perSecond) {
        known->borneOut = m_clock.now();
        return std::nullopt;
    }
    if (!mayChange(*known, named, sent))
        return std::nullopt;
    return change(*known, known->version + 1, named, m_clock.now());
}

std::vector<LimitChange> UpstreamLimits::heard(const std::vector<LimitWord> &words)
{
    std::vector<LimitChange> changes;
    const TimePoint now = m_clock.now();
    for (const LimitWord &it : words) {
        Belief *found = belief(it.upstream);
        if (found == nullptr)
            continue;
        Belief &known = *found;
        const std::optional<double> named
            = binding(it.perSecond > 0.0 ? std::optional(it.perSecond) : std::nullopt);
        // Two nodes may have read different answers at the same time: the stricter one holds until
        // the next answer.
        const bool isStricter = it.version == known.version && named
                                && (!known.perSecond || *named < *known.perSecond);
        if (it.version < known.version)
            known.tellUntil = now + kTellLifted; // who says so has missed what came after
        if (it.version <= known.version && !isStricter)
            continue;
        const bool isSame = named == known.perSecond;
        LimitChange made = change(known, it.version, named, now - it.age);
        if (!isSame)
            changes.push_back(std::move(made));
    }
    return changes;
}

std::optional<double> UpstreamLimits::perSecond(const std::string &instanceId) const
{
    return m_limited == 0 ? std::nullopt : perSecond(stableHash(instanceId));
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

} // namespace fordwood
