// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RELAY_PACE_HPP_INCLUDED
#define FORDWOOD_RELAY_PACE_HPP_INCLUDED

#include <chrono>
#include <cstddef>

#include "fordwood/clock.hpp"

namespace fordwood {

// Decides when a relay sends, so that its messages take a bounded part of its link and none of them
// is a burst. There are two kinds, each with a budget of its own: short messages, which tell that
// the relay lives and which version of the store it has, and sums of loads, which grow with the
// number of upstreams.
//
// Load pattern: a failure domain of 160 nodes, sums of the loads of hundreds of upstreams, and a
// store that changes several times a second. If each round, or each change, sent a whole sum to all
// nodes at once, the link's queue would drop the last part. The nodes there would miss the changes,
// take the relay for dead and replace it, and the new relays would add to the load.
class RelayPace
{
public:
    struct Limits
    {
        double linkBytesPerSecond = 0.0;
        double messageShare = 0.1; // of the link
        double sumShare = 0.25;
        // Nodes receive sums from two relays, which halves the average age of the newest sum. It is
        // then less than the time to compute a long prompt.
        Duration regularPause = std::chrono::milliseconds(100);
        // Changes that come closer together than this are told at once.
        Duration minPause = std::chrono::milliseconds(50);
        // Sums that are sent at once are no more than the budget of this time. A link queues what a
        // few hundredths of a second carry and drops the rest.
        Duration maxBurst = std::chrono::milliseconds(40);
        // However weak its link is, a relay is heard twice before others take it for dead.
        Duration maxPause = std::chrono::milliseconds(400);
    };

    RelayPace(const Clock &clock, Limits limits);

    // Whether messages are due. `hasNews`: there is something that others should know at once.
    bool isMessageDue(bool hasNews) const;

    // Messages of `bytes` in total were sent.
    void messagesSent(std::size_t bytes);

    // Whether to compute a new sum.
    bool isSumDue() const;
    void sumComputed() { m_lastSum = m_clock.now(); }

    // Returns to how many of the receivers a sum can be sent now, and takes that from the budget.
    // Call it several times within maxBurst.
    std::size_t admitSums(std::size_t receivers, std::size_t bytesEach);

private:
    const Clock &m_clock;
    const Limits m_limits;
    TimePoint m_lastMessages;
    Duration m_pause{}; // between messages, as their bytes require
    TimePoint m_lastSum;
    TimePoint m_lastAdmission;
    double m_sumBudget = 0.0; // bytes
};

} // namespace fordwood

#endif // FORDWOOD_RELAY_PACE_HPP_INCLUDED
