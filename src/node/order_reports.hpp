// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ORDER_REPORTS_HPP_INCLUDED
#define FORDWOOD_NODE_ORDER_REPORTS_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// The last word of each node that has ordered engines of late. Relays pass it on, so that all nodes
// know which engines load, and a new holder of the lock when its predecessor sent its last order.
class OrderReports
{
public:
    explicit OrderReports(const Clock &clock) : m_clock(clock) { }

    // False: this word or a newer one of the node is known, or it has never said anything of
    // orders.
    bool record(const std::string &node, const OrderReport &report);

    // When the node sent its last order, as far as it has said.
    std::optional<TimePoint> lastOrder(const std::string &node) const;

    // When the node said its last word.
    std::optional<TimePoint> lastReportTime(const std::string &node) const;

    // Those that others should hear.
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

#endif // FORDWOOD_NODE_ORDER_WORDS_HPP_INCLUDED
