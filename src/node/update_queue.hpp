// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPDATE_QUEUE_HPP_INCLUDED
#define FORDWOOD_NODE_UPDATE_QUEUE_HPP_INCLUDED

#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "node/fleet_update.hpp"

namespace fordwood::node {

// Updates that wait because the serving thread's mailbox is full. An update that says all there is
// to say about its subject takes the place of an older one that still waits; what a store of kept
// context tells, and what peers tell of requests, is added up; so the queue is bounded by what the
// fleet consists of, however long the serving thread is busy.
class UpdateQueue
{
public:
    void push(FleetUpdate update);

    // Hands over in order as long as `take` takes.
    void flush(const std::function<bool(const FleetUpdate &)> &tryTake);

    bool isEmpty() const { return m_updates.empty(); }
    std::size_t size() const { return m_updates.size(); }

private:
    struct Entry
    {
        std::string subject;
        FleetUpdate update;
    };

    void remove(const std::string &subject);

    std::list<Entry> m_updates;
    std::unordered_map<std::string, std::list<Entry>::iterator> m_bySubject;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_UPDATE_QUEUE_HPP_INCLUDED
