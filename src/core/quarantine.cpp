// SPDX-License-Identifier: MIT
#include "fordwood/quarantine.hpp"

#include <algorithm>

namespace fordwood {

bool Quarantine::apply(const QuarantineUpdate &update)
{
    return update.failedInstance ? recordFailure(update.request, *update.failedInstance)
                                 : recordAnswer(update.request);
}

bool Quarantine::recordAnswer(const RequestFingerprint &request)
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end() || it->second.isAnswered)
        return false;
    it->second.isAnswered = true;
    it->second.failedInstances.clear();
    it->second.lastUpdate = m_clock.now();
    return true;
}

bool Quarantine::recordFailure(const RequestFingerprint &request, std::uint64_t instance)
{
    if (!m_entries.contains(request))
        evictOldest();
    Entry &entry = m_entries[request];
    std::vector<std::uint64_t> &instances = entry.failedInstances;
    if (entry.isAnswered || std::binary_search(instances.begin(), instances.end(), instance))
        return false;
    const bool isRecorded = instances.size() < m_limits.maxInstances;
    if (isRecorded)
        instances.insert(std::lower_bound(instances.begin(), instances.end(), instance), instance);
    entry.lastUpdate = m_clock.now();
    if (instances.size() >= m_limits.failuresToHold)
        entry.heldUntil = entry.lastUpdate + m_limits.holdFor;
    return isRecorded;
}

// Drops many entries at once, so that a burst of failures does not scan all entries for each.
void Quarantine::evictOldest()
{
    constexpr std::size_t kDropDivisor = 4;
    if (m_entries.size() < m_limits.maxRequests)
        return;
    std::vector<TimePoint> ages;
    for (const auto &[request, entry] : m_entries) {
        if (!isHeld(entry))
            ages.push_back(entry.lastUpdate);
    }
    if (ages.empty()) {
        m_entries.erase(m_entries.begin());
        return;
    }
    const auto last = ages.begin() + static_cast<std::ptrdiff_t>(ages.size() / kDropDivisor);
    std::nth_element(ages.begin(), last, ages.end());
    std::erase_if(m_entries, [&](const auto &it) {
        return !isHeld(it.second) && it.second.lastUpdate <= *last;
    });
}

bool Quarantine::isSuspect(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    return it != m_entries.end() && !it->second.isAnswered;
}

bool Quarantine::isHeld(const Entry &entry) const
{
    return !entry.isAnswered && m_clock.now() < entry.heldUntil;
}

Duration Quarantine::heldFor(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    const bool held = it != m_entries.end() && isHeld(it->second);
    return held ? it->second.heldUntil - m_clock.now() : Duration::zero();
}

bool Quarantine::isHeld(const RequestFingerprint &request) const
{
    return heldFor(request) > Duration::zero();
}

// Whether the part has company that is not among `parts`.
bool Quarantine::hasCompanyOutside(const RequestFingerprint &part, const Entry &entry,
                                   const std::vector<RequestFingerprint> &parts) const
{
    const std::vector<std::uint64_t> &failed = entry.failedInstances;
    return std::any_of(m_entries.begin(), m_entries.end(), [&](const auto &it) {
        const auto &[other, otherEntry] = it;
        const std::vector<std::uint64_t> &otherFailed = otherEntry.failedInstances;
        return other.isPart && !(other == part) && !otherEntry.isAnswered
               && std::includes(otherFailed.begin(), otherFailed.end(), failed.begin(),
                                failed.end())
               && std::find(parts.begin(), parts.end(), other) == parts.end();
    });
}

std::optional<RequestFingerprint>
Quarantine::findHeldPart(const std::vector<RequestFingerprint> &parts) const
{
    for (const RequestFingerprint &part : parts) {
        const auto it = m_entries.find(part);
        if (it != m_entries.end() && isHeld(it->second)
            && !hasCompanyOutside(part, it->second, parts))
            return part;
    }
    return std::nullopt;
}

bool Quarantine::isAnySuspect(const std::vector<RequestFingerprint> &parts) const
{
    return std::any_of(parts.begin(), parts.end(), [this](const RequestFingerprint &part) {
        const auto it = m_entries.find(part);
        return it != m_entries.end() && !it->second.isAnswered
               && it->second.failedInstances.size() >= m_limits.failuresToSuspect;
    });
}

std::optional<Duration> Quarantine::sinceLastFailure(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    if (it == m_entries.end() || it->second.isAnswered)
        return std::nullopt;
    return m_clock.now() - it->second.lastUpdate;
}

std::vector<std::uint64_t> Quarantine::failedInstancesOf(const RequestFingerprint &request) const
{
    const auto it = m_entries.find(request);
    return it == m_entries.end() ? std::vector<std::uint64_t>{} : it->second.failedInstances;
}

std::size_t Quarantine::heldRequests() const
{
    return static_cast<std::size_t>(std::count_if(
        m_entries.begin(), m_entries.end(), [this](const auto &it) { return isHeld(it.second); }));
}

Duration Quarantine::lifetime(const RequestFingerprint &request, const Entry &entry) const
{
    if (entry.isAnswered)
        return request.isPart ? m_limits.partAnswerValidFor : m_limits.answerValidFor;
    const bool wasHeld = entry.failedInstances.size() >= m_limits.failuresToHold;
    return request.isPart && !wasHeld ? m_limits.forgetPartAfter : m_limits.forgetAfter;
}

void Quarantine::tick()
{
    const TimePoint now = m_clock.now();
    std::erase_if(m_entries, [&](const auto &it) {
        return now - it.second.lastUpdate >= lifetime(it.first, it.second);
    });
}

} // namespace fordwood
