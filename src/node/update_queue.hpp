// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_UPDATE_QUEUE_HPP_INCLUDED
#define FORDWOOD_NODE_UPDATE_QUEUE_HPP_INCLUDED

#include <functional>
#include <list>
#include <string>
#include <unordered_map>

#include "node/fleet_update.hpp"

namespace fordwood::node {

// Holds updates while the serving thread's mailbox is full. An update that fully describes its
// subject replaces a queued older one; updates of context stores and quarantine updates are merged.
// This bounds the queue by the size of the fleet, however long the serving thread is busy.
class UpdateQueue
{
public:
    void push(FleetUpdate update);

    // Passes the updates to `tryTake` in order until it returns false.
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
