// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_LEASED_KEY_HPP_INCLUDED
#define FORDWOOD_NODE_LEASED_KEY_HPP_INCLUDED

#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "node/store_client.hpp"

namespace fordwood::node {

// Keeps a key that only this node writes in the platform's store, under a lease.
class LeasedKey
{
public:
    struct Limits
    {
        Duration ttl;
        Duration renewInterval; // some renewals may fail within the TTL
        Duration retryPause;
    };

    LeasedKey(const Clock &clock, StoreClient &store, std::string key, Limits limits);

    // The value that the key has from now on; nothing: the key is removed.
    void setValue(std::optional<std::string> value);

    // Call regularly.
    void tick();

private:
    void grantLease();
    void putKey();
    void renewLease();
    void tryAgainIn(Duration pause);
    bool isLeased() const { return m_lease.isValidIn(m_store.epoch()); }

    const Clock &m_clock;
    StoreClient &m_store;
    const std::string m_key;
    const Limits m_limits;
    std::optional<std::string> m_value;
    std::optional<std::string> m_written; // the value that the key has
    StoreLease m_lease;
    bool m_isPending = false; // a call is in progress
    TimePoint m_nextAttempt{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_LEASED_KEY_HPP_INCLUDED
