// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_GOSSIP_QUEUE_HPP_INCLUDED
#define FORDWOOD_GOSSIP_QUEUE_HPP_INCLUDED

#include <deque>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/quarantine.hpp"

namespace fordwood {

// When a node tells its peers what it knows of requests. Messages may be lost, and peers may be cut
// off for a while, so each piece of news goes out in the next messages and a few times more over
// the seconds that follow.
class GossipQueue
{
public:
    explicit GossipQueue(const Clock &clock) : m_clock(clock) { }

    // Peers should hear this.
    void add(const RequestNews &news);

    // What goes into the message that is sent now.
    std::vector<RequestNews> takeDue();

    // Whether something has not been told yet at all.
    bool hasUnsent() const;

private:
    struct Item
    {
        RequestNews news;
        std::size_t timesSent = 0; // times
        TimePoint due{};
    };

    const Clock &m_clock;
    std::deque<Item> m_items;
};

} // namespace fordwood

#endif // FORDWOOD_NEWS_SPREADER_HPP_INCLUDED
