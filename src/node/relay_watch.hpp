// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_RELAY_WATCH_HPP_INCLUDED
#define FORDWOOD_NODE_RELAY_WATCH_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>

#include "fordwood/clock.hpp"
#include "node/peer_roster.hpp"

namespace fordwood::node {

// Logs which relays of this node's failure domain fall silent and are heard again, and whether
// their messages were lost or late.
class RelayWatch
{
public:
    explicit RelayWatch(const Clock &clock) : m_clock(clock) { }

    // Call for each message of a relay of this failure domain. `round`: the number of its sum;
    // zero: the message holds no numbered sum.
    void received(const std::string &relay, std::uint64_t round);

    // Call for a peer that leaves or is no relay any more.
    void forget(const std::string &peer) { m_relays.erase(peer); }

    // Call several times a second.
    void tick();

private:
    struct Relay
    {
        TimePoint lastReceived{};
        std::uint64_t lastRound = 0;
        bool isSilent = false;
    };

    const Clock &m_clock;
    std::map<std::string, Relay> m_relays;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_RELAY_WATCH_HPP_INCLUDED
