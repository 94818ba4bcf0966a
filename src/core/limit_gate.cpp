// SPDX-License-Identifier: MIT
#include "fordwood/limit_gate.hpp"

#include <algorithm>
#include <utility>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Nodes that fell silent may be cut off and alive for so long: failure domains lose each other for
// longer than that once in a while, but a fleet that has shrunk must not lose a third of a limit
// for good.
constexpr Duration kMayBeCutOff = std::chrono::minutes(5);

// In which the upstream takes so many requests.
Duration timeFor(std::size_t requests, const LimitShare &share)
{
    const std::chrono::duration<double> time(static_cast<double>(requests) / share.perSecond);
    return std::chrono::duration_cast<Duration>(time);
}

} // namespace

LimitGate::LimitGate(const Clock &clock, std::uint64_t self)
    : m_clock(clock), m_beliefs(clock), m_senders(clock, self)
{ }

void LimitGate::forget(const std::string &instanceId)
{
    const std::uint64_t upstream = stableHash(instanceId);
    m_beliefs.forget(instanceId);
    m_senders.forget(upstream);
    m_lastSends.erase(upstream);
}

void LimitGate::setLiveNodes(std::size_t n)
{
    const std::size_t before = isWhole() ? m_liveNodes : m_wholeNodes;
    if (n < m_liveNodes)
        m_silentSince = m_clock.now();
    m_wholeNodes = std::max(before, n);
    m_liveNodes = n;
    m_senders.setAlone(n <= 1);
    if (n >= m_wholeNodes)
        m_silentSince.reset();
}

void LimitGate::setSilentNodes(const std::vector<std::string> &others)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(others.size());
    for (const std::string &it : others)
        hashes.push_back(stableHash(it));
    m_senders.setAlwaysWanting(std::move(hashes));
    setLiveNodes(others.size() + 1);
}

bool LimitGate::isWhole() const
{
    return !m_silentSince || m_clock.now() - *m_silentSince >= kMayBeCutOff;
}

std::vector<LimitChange> LimitGate::heard(const std::vector<LimitWord> &words)
{
    std::vector<LimitChange> changes = m_beliefs.heard(words);
    for (const LimitWord &it : words) {
        if (m_beliefs.perSecond(it.upstream))
            m_senders.heard(it.upstream, it.senders);
    }
    return changes;
}

std::vector<LimitWord> LimitGate::ownWords() const
{
    std::vector<LimitWord> words = m_beliefs.words();
    for (LimitWord &it : words)
        it.senders = m_senders.ownWord(it.upstream);
    return words;
}

std::vector<LimitWord> LimitGate::allWords() const
{
    std::vector<LimitWord> words = m_beliefs.words();
    for (LimitWord &it : words) {
        if (const auto division = share(it.upstream))
            it.senders = m_senders.firstWords(it.upstream, division->senders);
    }
    return words;
}

std::optional<LimitShare> LimitGate::share(std::uint64_t upstream) const
{
    const auto perSecond = m_beliefs.perSecond(upstream);
    if (!perSecond)
        return std::nullopt;
    return shareOfLimit(*perSecond, isWhole());
}

bool LimitGate::maySend(const std::string &instanceId)
{
    if (m_beliefs.limited() == 0)
        return true;
    const std::uint64_t upstream = stableHash(instanceId);
    const auto division = share(upstream);
    if (!division)
        return true;
    m_senders.want(upstream);
    const auto place = m_senders.place(upstream, division->senders);
    if (!place)
        return false;
    const TimePoint now = m_clock.now();
    // Those who begin at the same time take their first turns one after the other.
    const Duration sinceTurn = timeFor(place->senders - place->rank, *division);
    const auto last = m_lastSends.try_emplace(upstream, now - sinceTurn).first;
    return now - last->second >= timeFor(place->senders, *division);
}

void LimitGate::sent(const std::string &instanceId)
{
    const std::uint64_t upstream = stableHash(instanceId);
    if (m_beliefs.perSecond(upstream))
        m_lastSends[upstream] = m_clock.now();
}

std::optional<double> LimitGate::ownPart(const std::string &instanceId) const
{
    const std::uint64_t upstream = stableHash(instanceId);
    const auto division = share(upstream);
    if (!division)
        return std::nullopt;
    const auto place = m_senders.place(upstream, division->senders);
    return place ? division->perSecond / static_cast<double>(place->senders) : 0.0;
}

std::optional<double> LimitGate::partOfAll(const std::string &instanceId) const
{
    const auto division = share(stableHash(instanceId));
    return division ? std::optional(division->perSecond) : std::nullopt;
}

} // namespace fordwood
