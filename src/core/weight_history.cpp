// SPDX-License-Identifier: MIT
#include "fordwood/weight_history.hpp"

#include <algorithm>
#include <iterator>

namespace fordwood {

namespace {

// Versions that are kept: engines are at most a few versions behind.
constexpr std::size_t kMaxVersions = 8;

} // namespace

bool WeightNaming::narrow(const WeightNaming &other)
{
    const WeightNaming before = *this;
    const std::optional<TimePoint> earliest = named.earliest;
    named.narrow(other.named);
    const bool isFromOther = other.named.earliest && (!earliest || named.earliest > earliest);
    if (isFromOther)
        newestBefore = other.newestBefore;
    return *this != before;
}

bool WeightHistory::record(std::uint64_t version, const WeightNaming &naming)
{
    const bool isTooOld = m_named.size() >= kMaxVersions && version < m_named.begin()->first;
    if (isTooOld)
        return false;
    const auto [it, isNew] = m_named.try_emplace(version, naming);
    if (!isNew)
        return it->second.narrow(naming);
    if (m_named.size() > kMaxVersions)
        m_named.erase(m_named.begin());
    return true;
}

std::optional<WeightNaming> WeightHistory::find(std::uint64_t version) const
{
    const auto it = m_named.find(version);
    return it == m_named.end() ? std::nullopt : std::optional(it->second);
}

std::uint64_t WeightHistory::newest() const
{
    return m_named.empty() ? 0 : m_named.rbegin()->first;
}

// Versions are named in ascending order, so the next newer one was named no later than any other
// newer one. But that version may not be known here, or its time less exactly than that of a later
// one.
std::optional<EventTime> WeightHistory::supersededAt(std::uint64_t version) const
{
    const auto first = m_named.upper_bound(version);
    if (first == m_named.end())
        return std::nullopt;
    EventTime replaced{std::nullopt, first->second.named.latest};
    for (auto it = first; it != m_named.end(); ++it) {
        const WeightNaming &naming = it->second;
        replaced.latest = std::min(replaced.latest, naming.named.latest);
        const bool isApplicable = naming.newestBefore && *naming.newestBefore <= version;
        if (isApplicable && !replaced.earliest)
            replaced.earliest = naming.named.earliest;
    }
    if (replaced.earliest)
        replaced.earliest = std::min(*replaced.earliest, replaced.latest);
    return replaced;
}

} // namespace fordwood
