// SPDX-License-Identifier: MIT
#include "fordwood/replica_freshness.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Data that waited in the sockets of a stalled process is read within this time after it resumes.
constexpr Duration kResumeTime = std::chrono::milliseconds(500);

// Versions that the replica lacks and peers have reported, at most. A replica that lags reaches the
// newest ones at once.
constexpr std::size_t kMaxReports = 16;

void advance(std::optional<TimePoint> &moment, TimePoint to)
{
    moment = std::max(moment.value_or(to), to);
}

} // namespace

void ReplicaFreshness::storeRestored()
{
    m_completeAsOf.reset();
    m_confirmedByStore.reset();
    m_confirmedByReader.reset();
    m_reports.clear();
}

void ReplicaFreshness::storeAnswered(TimePoint sentAt)
{
    advance(m_confirmedByStore, sentAt);
    apply({sentAt, sentAt});
}

void ReplicaFreshness::storeHadNoChanges(TimePoint until)
{
    if (!hasJustResumed())
        storeAnswered(until);
}

void ReplicaFreshness::peerWasComplete(const StoreVersion &version, Duration age, Evidence evidence)
{
    if (hasJustResumed() || version.epoch < m_reached.epoch)
        return;
    Report report{m_clock.now() - age, std::nullopt};
    if (evidence == Evidence::Store)
        report.confirmedByReader = report.asOf;
    if (version <= m_reached) {
        apply(report);
        return;
    }
    Report &known = m_reports.try_emplace(version, report).first->second;
    known.asOf = std::max(known.asOf, report.asOf);
    if (report.confirmedByReader)
        advance(known.confirmedByReader, *report.confirmedByReader);
    if (m_reports.size() > kMaxReports)
        m_reports.erase(m_reports.begin());
}

void ReplicaFreshness::replicaReached(const StoreVersion &version)
{
    m_reached = version;
    const auto end = m_reports.upper_bound(version);
    for (auto it = m_reports.begin(); it != end; it = m_reports.erase(it)) {
        if (it->first.epoch == version.epoch)
            apply(it->second);
    }
}

void ReplicaFreshness::apply(const Report &report)
{
    advance(m_completeAsOf, report.asOf);
    if (report.confirmedByReader)
        advance(m_confirmedByReader, *report.confirmedByReader);
}

void ReplicaFreshness::checkStall()
{
    if (m_stallDetector.poll() > Duration::zero())
        m_resumedAt = m_clock.now();
}

bool ReplicaFreshness::hasJustResumed()
{
    checkStall();
    return m_resumedAt && m_clock.now() - *m_resumedAt < kResumeTime;
}

std::optional<Duration> ReplicaFreshness::ageFromStore() const
{
    return ageOf(m_confirmedByStore);
}

std::optional<Duration> ReplicaFreshness::ageFromReader() const
{
    return ageOf(m_confirmedByReader);
}

std::optional<Duration> ReplicaFreshness::ageOf(const std::optional<TimePoint> &moment) const
{
    return moment ? std::optional(m_clock.now() - *moment) : std::nullopt;
}

} // namespace fordwood
