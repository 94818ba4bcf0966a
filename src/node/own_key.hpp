// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_OWN_KEY_HPP_INCLUDED
#define FORDWOOD_NODE_OWN_KEY_HPP_INCLUDED

#include <string>

#include "fordwood/clock.hpp"
#include "node/store_link.hpp"

namespace fordwood::node {

// Keeps this node's key in the platform's store, by which its peers find it, under a lease.
class OwnKey
{
public:
    OwnKey(const Clock &clock, StoreLink &store, std::string key, std::string value);

    void tick();

    // Takes the key away, at a planned stop.
    void remove();

private:
    void grant();
    void put();
    void keep();
    void retry();
    bool isLeased() const { return m_lease.isValidIn(m_store.epoch()); }

    const Clock &m_clock;
    StoreLink &m_store;
    const std::string m_key;
    const std::string m_value;
    StoreLease m_lease;
    bool m_isPut = false;
    bool m_isBusy = false; // a call is on its way
    bool m_isRemoved = false;
    TimePoint m_next{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_OWN_KEY_HPP_INCLUDED
