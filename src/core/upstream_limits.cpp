// SPDX-License-Identifier: MIT
#include "fordwood/upstream_limits.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// How long peers are told that a limit is lifted: longer than usual pauses of a node and usual
// partitions. A node that returns later announces its outdated limit, and is corrected then.
constexpr Duration kAnnounceLiftedFor = std::chrono::seconds(30);

// A limit from this value on counts as none: no process serves as many calls per second.
constexpr double kUnlimitedFrom = 10'000.0;

// An upstream with a lower limit, or zero, still gets one request in ten seconds: without an
// occasional response no node would learn that it accepts requests again.
constexpr double kMinLimit = 0.1;

std::optional<double> effectiveLimit(std::optional<double> perSecond)
{
    if (!perSecond || *perSecond >= kUnlimitedFrom)
        return std::nullopt;
    return std::max(*perSecond, kMinLimit);
}

} // namespace

void UpstreamLimits::addUpstream(const std::string &instanceId)
{
    m_inService.emplace(stableHash(instanceId), instanceId);
}

void UpstreamLimits::forget(const std::string &instanceId)
{
    const std::uint64_t upstream = stableHash(instanceId);
    m_inService.erase(upstream);
    const auto it = m_states.find(upstream);
    if (it == m_states.end())
        return;
    m_limited -= it->second.perSecond ? 1 : 0;
    m_states.erase(it);
}

// The state of an upstream, created if needed; null if the upstream is not in service.
UpstreamLimits::LimitState *UpstreamLimits::state(std::uint64_t upstream)
{
    const auto current = m_states.find(upstream);
    if (current != m_states.end())
        return &current->second;
    const auto it = m_inService.find(upstream);
    if (it == m_inService.end())
        return nullptr;
    LimitState &state = m_states[upstream];
    state.instanceId = it->second;
    return &state;
}

bool UpstreamLimits::mayChange(const LimitState &state, std::optional<double> perSecond,
                               TimePoint sentAt)
{
    if (state.version == 0)
        return true;
    const bool isEased = state.perSecond && (!perSecond || *perSecond > *state.perSecond);
    return sentAt > (isEased ? state.confirmedAt : state.changedAt);
}

LimitChange UpstreamLimits::change(LimitState &state, std::uint64_t version,
                                   std::optional<double> perSecond, TimePoint answeredAt)
{
    const TimePoint now = m_clock.now();
    LimitChange result{state.instanceId, state.perSecond, perSecond, version, now - answeredAt};
    m_limited += perSecond ? 1 : 0;
    m_limited -= state.perSecond ? 1 : 0;
    state.version = version;
    state.perSecond = perSecond;
    state.changedAt = now;
    state.confirmedAt = now;
    state.answeredAt = answeredAt;
    state.announceUntil = now + kAnnounceLiftedFor;
    return result;
}

std::optional<LimitChange> UpstreamLimits::onAnswer(const std::string &instanceId,
                                                    std::optional<double> perSecond,
                                                    TimePoint sentAt)
{
    const std::optional<double> named = effectiveLimit(perSecond);
    if (!named && m_limited == 0)
        return std::nullopt;
    const std::uint64_t upstream = stableHash(instanceId);
    if (!named && !m_states.contains(upstream))
        return std::nullopt; // still no limit
    LimitState *current = state(upstream);
    if (current == nullptr)
        return std::nullopt;
    if (named == current->perSecond) {
        current->confirmedAt = m_clock.now();
        return std::nullopt;
    }
    if (!mayChange(*current, named, sentAt))
        return std::nullopt;
    return change(*current, current->version + 1, named, m_clock.now());
}

std::vector<LimitChange> UpstreamLimits::applyUpdates(const std::vector<LimitGossip> &updates)
{
    std::vector<LimitChange> changes;
    const TimePoint now = m_clock.now();
    for (const LimitGossip &it : updates) {
        LimitState *found = state(it.upstream);
        if (found == nullptr)
            continue;
        LimitState &current = *found;
        const std::optional<double> named
            = effectiveLimit(it.perSecond > 0.0 ? std::optional(it.perSecond) : std::nullopt);
        // Two nodes may have read different responses at the same time: the stricter limit applies
        // until the next response.
        const bool isStricter = it.version == current.version && named
                                && (!current.perSecond || *named < *current.perSecond);
        if (it.version < current.version)
            current.announceUntil
                = now + kAnnounceLiftedFor; // the sender has missed a later change
        if (it.version <= current.version && !isStricter)
            continue;
        const bool isSame = named == current.perSecond;
        LimitChange changed = change(current, it.version, named, now - it.age);
        if (!isSame)
            changes.push_back(std::move(changed));
    }
    return changes;
}

std::optional<double> UpstreamLimits::perSecond(const std::string &instanceId) const
{
    return m_limited == 0 ? std::nullopt : perSecond(stableHash(instanceId));
}

std::optional<double> UpstreamLimits::perSecond(std::uint64_t upstream) const
{
    const auto it = m_states.find(upstream);
    return it == m_states.end() ? std::nullopt : it->second.perSecond;
}

std::vector<LimitGossip> UpstreamLimits::updates() const
{
    std::vector<LimitGossip> updates;
    const TimePoint now = m_clock.now();
    for (const auto &[hash, it] : m_states) {
        const bool isLifted = it.version > 0 && !it.perSecond && now < it.announceUntil;
        if (it.perSecond || isLifted)
            updates.push_back(
                {hash, it.version, it.perSecond.value_or(0.0), now - it.answeredAt, {}});
    }
    return updates;
}

} // namespace fordwood
