// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_NODE_REGISTRATION_HPP_INCLUDED
#define FORDWOOD_NODE_NODE_REGISTRATION_HPP_INCLUDED

#include <string>

#include "fordwood/clock.hpp"
#include "node/store_client.hpp"

namespace fordwood::node {

// Keeps this node's key in the platform's store under a lease. Peers find the node by this key.
class NodeRegistration
{
public:
    NodeRegistration(const Clock &clock, StoreClient &store, std::string key, std::string value);

    void tick();

    // Removes the key at a planned stop.
    void remove();

private:
    void grantLease();
    void putKey();
    void renewLease();
    void retryLater();
    bool isLeased() const { return m_lease.isValidIn(m_store.epoch()); }

    const Clock &m_clock;
    StoreClient &m_store;
    const std::string m_key;
    const std::string m_value;
    StoreLease m_lease;
    bool m_isWritten = false;
    bool m_isPending = false; // a call is in progress
    bool m_isRemoved = false;
    TimePoint m_nextAttempt{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NODE_REGISTRATION_HPP_INCLUDED
