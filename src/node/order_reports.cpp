// SPDX-License-Identifier: MIT
#include "node/order_reports.hpp"

namespace fordwood::node {

namespace {

// A word that is passed on says how old it is; after this it is in nobody's interest. Longer than
// the life of the lock, shorter than an echo between relays could keep it going.
constexpr Duration kForwardFor = std::chrono::seconds(2);

// Two that say the same are one word if they seem to be no further apart: what a word takes on its
// way is lost from its age.
constexpr Duration kSameReportWithin = std::chrono::milliseconds(300);

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// A new word names another time since the last order.
bool hasSameContent(const OrderReport &a, const OrderReport &b)
{
    return a.lastOrder == b.lastOrder && a.enginesLoading == b.enginesLoading
           && a.observedVersions == b.observedVersions;
}

} // namespace

bool OrderReports::record(const std::string &node, const OrderReport &report)
{
    const TimePoint now = m_clock.now();
    const TimePoint reportedAt = now - report.age;
    const auto known = m_entries.find(node);
    // Nearly all nodes never order anything: what they say is not worth keeping and passing on.
    if (known == m_entries.end() && report.isEmpty())
        return false;
    if (known != m_entries.end() && known->second.reportedAt > reportedAt)
        return false;
    // One that relays pass on again, perhaps after its node's death, keeps no engine out of use.
    if (known != m_entries.end() && reportedAt - known->second.reportedAt < kSameReportWithin
        && hasSameContent(known->second.report, report))
        return false;
    Entry entry;
    entry.report = report;
    entry.reportedAt = reportedAt;
    if (report.lastOrder)
        entry.lastOrder = reportedAt - *report.lastOrder;
    m_entries[node] = std::move(entry);
    return true;
}

std::optional<TimePoint> OrderReports::lastOrder(const std::string &node) const
{
    const auto it = m_entries.find(node);
    return it == m_entries.end() ? std::nullopt : it->second.lastOrder;
}

std::optional<TimePoint> OrderReports::lastReportTime(const std::string &node) const
{
    const auto it = m_entries.find(node);
    return it == m_entries.end() ? std::nullopt : std::optional(it->second.reportedAt);
}

std::map<std::string, OrderReport> OrderReports::toForward() const
{
    std::map<std::string, OrderReport> reports;
    for (const auto &[node, entry] : m_entries) {
        const Duration age = m_clock.now() - entry.reportedAt;
        if (age > kForwardFor || entry.report.isEmpty())
            continue;
        OrderReport report = entry.report;
        report.age = inMilliseconds(age);
        reports[node] = std::move(report);
    }
    return reports;
}

} // namespace fordwood::node
