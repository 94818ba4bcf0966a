// SPDX-License-Identifier: MIT
#include "node/relay_watch.hpp"

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

// A relay that stays away this long has ended; later it counts as a new one.
constexpr Duration kForgetAfter = std::chrono::seconds(30);

} // namespace

void RelayWatch::received(const std::string &relay, std::uint64_t round)
{
    const TimePoint now = m_clock.now();
    const auto [it, isNew] = m_relays.try_emplace(relay, Relay{now, round, false});
    Relay &known = it->second;
    if (known.isSilent) {
        const std::uint64_t missed
            = round > known.lastRound + 1 && known.lastRound > 0 ? round - known.lastRound - 1 : 0;
        logEvent(
            Event::RelayHeard,
            {{"relay", relay}, {"silent_ms", now - known.lastReceived}, {"rounds_missed", missed}});
    }
    known.isSilent = false;
    known.lastReceived = now;
    if (round > 0)
        known.lastRound = round;
}

void RelayWatch::tick()
{
    const TimePoint now = m_clock.now();
    for (auto &[name, relay] : m_relays) {
        if (relay.isSilent || now - relay.lastReceived < PeerRoster::kRelayTimeout)
            continue;
        relay.isSilent = true;
        logEvent(Event::RelaySilent, {{"relay", name}, {"silent_ms", now - relay.lastReceived}});
    }
    std::erase_if(m_relays,
                  [&](const auto &it) { return now - it.second.lastReceived > kForgetAfter; });
}

} // namespace fordwood::node
