// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WINDOW_BUDGET_HPP_INCLUDED
#define FORDWOOD_WINDOW_BUDGET_HPP_INCLUDED

#include <deque>

#include "fordwood/clock.hpp"

namespace fordwood {

// One node's part of a budget of repeated sends that is stated for the whole fleet: in each window
// of time a ratio of the requests, and a slack that all nodes share. Each node spends the ratio of
// its own requests and an equal part of the slack, so the sum holds without messages.
class WindowBudget
{
public:
    struct Limits
    {
        Duration window = std::chrono::seconds(10);
        double ratio = 0.2;
        double slack = 0.0; // of the whole fleet
        // The part of it that is spent: nodes may see different windows, and a node that starts
        // again has forgotten what it spent.
        double usableShare = 0.7;
    };

    WindowBudget(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void countRequest();

    // Takes one repeated send; false when none is left. `nodes`: those that share the slack.
    bool takeRepeat(std::size_t nodes);

private:
    void forgetOld();

    const Clock &m_clock;
    Limits m_limits;
    std::deque<TimePoint> m_requests;
    std::deque<TimePoint> m_repeats;
};

} // namespace fordwood

#endif // FORDWOOD_WINDOW_BUDGET_HPP_INCLUDED
