// SPDX-License-Identifier: MIT
#include "node/order_reports.hpp"

namespace fordwood::node {

namespace {

// Forwarded reports carry their age and are dropped at this age. It is longer than the lifetime of
// the lock, and short enough that relays can't keep a report alive by echoing it to each other.
constexpr Duration kForwardFor = std::chrono::seconds(2);

// Reports with the same content whose times differ by less than this count as the same report: the
// age of a forwarded report does not include its transit time, so its computed time varies.
constexpr Duration kSameReportWithin = std::chrono::milliseconds(300);

std::chrono::milliseconds inMilliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration);
}

// A new report has a different time since the last order.
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
    // Most nodes never order anything; their empty reports are neither kept nor forwarded.
    if (known == m_entries.end() && report.isEmpty())
        return false;
    if (known != m_entries.end() && known->second.reportedAt > reportedAt)
        return false;
    // A report that relays forward again, possibly after the death of its node, must not keep
    // engines out of use.
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
