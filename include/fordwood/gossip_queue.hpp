// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_GOSSIP_QUEUE_HPP_INCLUDED
#define FORDWOOD_GOSSIP_QUEUE_HPP_INCLUDED

#include <deque>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/quarantine.hpp"

namespace fordwood {

// Queue of quarantine updates to send to the peers. Messages can be lost and peers can be
// unreachable for a while, so each item is sent in the next messages and again a few times over the
// following seconds.
class GossipQueue
{
public:
    explicit GossipQueue(const Clock &clock) : m_clock(clock) { }

    // Adds an item to send.
    void add(const QuarantineUpdate &update);

    // The items to include in the message that is sent now.
    std::vector<QuarantineUpdate> takeDue();

    // Whether an item has not been sent at all.
    bool hasUnsent() const;

private:
    struct Item
    {
        QuarantineUpdate update;
        std::size_t timesSent = 0;
        TimePoint due{};
    };

    const Clock &m_clock;
    std::deque<Item> m_items;
};

} // namespace fordwood

#endif // FORDWOOD_GOSSIP_QUEUE_HPP_INCLUDED
