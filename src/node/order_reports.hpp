// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ORDER_REPORTS_HPP_INCLUDED
#define FORDWOOD_NODE_ORDER_REPORTS_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// The last report of each node that has recently ordered engines to load weights. Relays forward
// the reports, so that all nodes learn which engines are loading, and a new lock holder learns when
// its predecessor sent its last order.
class OrderReports
{
public:
    explicit OrderReports(const Clock &clock) : m_clock(clock) { }

    // Returns false if this report or a newer one of the node is already recorded, or if the node
    // has never reported any orders.
    bool record(const std::string &node, const OrderReport &report);

    // The time of the node's last order, according to its reports.
    std::optional<TimePoint> lastOrder(const std::string &node) const;

    // The time at which the node made its last report.
    std::optional<TimePoint> lastReportTime(const std::string &node) const;

    // The reports to send on to other nodes.
    std::map<std::string, OrderReport> toForward() const;

private:
    struct Entry
    {
        OrderReport report;
        TimePoint reportedAt{};
        std::optional<TimePoint> lastOrder;
    };

    const Clock &m_clock;
    std::map<std::string, Entry> m_entries;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ORDER_REPORTS_HPP_INCLUDED
