// SPDX-License-Identifier: MIT
#include "fordwood/weight_history.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Versions that are remembered: engines are at most a few behind.
constexpr std::size_t kMostVersions = 8;

} // namespace

bool WeightHistory::note(std::uint64_t version, TimePoint named)
{
    const bool isTooOld = m_named.size() >= kMostVersions && version < m_named.begin()->first;
    if (isTooOld)
        return false;
    const auto [it, isNew] = m_named.try_emplace(version, named);
    if (!isNew && named >= it->second)
        return false;
    it->second = std::min(it->second, named);
    if (m_named.size() > kMostVersions)
        m_named.erase(m_named.begin());
    return true;
}

std::uint64_t WeightHistory::newest() const
{
    return m_named.empty() ? 0 : m_named.rbegin()->first;
}

std::optional<TimePoint> WeightHistory::supersededSince(std::uint64_t version) const
{
    std::optional<TimePoint> since;
    for (auto it = m_named.upper_bound(version); it != m_named.end(); ++it)
        since = since ? std::min(*since, it->second) : it->second;
    return since;
}

} // namespace fordwood
