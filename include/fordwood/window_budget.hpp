// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WINDOW_BUDGET_HPP_INCLUDED
#define FORDWOOD_WINDOW_BUDGET_HPP_INCLUDED

#include <deque>

#include "fordwood/clock.hpp"

namespace fordwood {

// One node's share of a retry budget for the whole fleet: in each time window, a ratio of the
// requests plus a slack that all nodes share. Each node spends the ratio of its own requests and an
// equal share of the slack, so that the sum is kept without messages.
class WindowBudget
{
public:
    struct Limits
    {
        Duration window = std::chrono::seconds(10);
        double ratio = 0.2;
        double slack = 0.0; // of the whole fleet
        // Share of the budget that is spent: the windows of the nodes may differ, and a restarted
        // node has forgotten what it spent.
        double usableShare = 0.7;
    };

    WindowBudget(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void countRequest();

    // Takes one retry; false if none is left. `nodes`: number of nodes that share the slack.
    bool takeRetry(std::size_t nodes);

private:
    void forgetOld();

    const Clock &m_clock;
    Limits m_limits;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_retries;
};

} // namespace fordwood

#endif // FORDWOOD_WINDOW_BUDGET_HPP_INCLUDED
