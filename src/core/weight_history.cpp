// SPDX-License-Identifier: MIT
#include "fordwood/weight_history.hpp"

#include <algorithm>
#include <iterator>

namespace fordwood {

namespace {

// Versions that are remembered: engines are at most a few behind.
constexpr std::size_t kMostVersions = 8;

} // namespace

bool WeightHistory::note(std::uint64_t version, const EventTime &named)
{
    const bool isTooOld = m_named.size() >= kMostVersions && version < m_named.begin()->first;
    if (isTooOld)
        return false;
    const auto [it, isNew] = m_named.try_emplace(version, named);
    if (!isNew)
        return it->second.narrow(named);
    if (m_named.size() > kMostVersions)
        m_named.erase(m_named.begin());
    return true;
}

std::optional<EventTime> WeightHistory::find(std::uint64_t version) const
{
    const auto it = m_named.find(version);
    return it == m_named.end() ? std::nullopt : std::optional(it->second);
}

std::uint64_t WeightHistory::newest() const
{
    return m_named.empty() ? 0 : m_named.rbegin()->first;
}

// Versions are named in their order, so no later one was named before; but more may be known of
// when a later one was.
std::optional<EventTime> WeightHistory::superseded(std::uint64_t version) const
{
    const auto first = m_named.upper_bound(version);
    if (first == m_named.end())
        return std::nullopt;
    EventTime named = first->second;
    for (auto it = std::next(first); it != m_named.end(); ++it)
        named.latest = std::min(named.latest, it->second.latest);
    if (named.earliest)
        named.earliest = std::min(*named.earliest, named.latest);
    return named;
}

} // namespace fordwood
