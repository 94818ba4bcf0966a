// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_RESTARTS_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_RESTARTS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Tells the lives of upstreams apart that come back under their name without saying so: all that
// breaks off at one within a moment broke off with the same life.
class UpstreamRestarts
{
public:
    explicit UpstreamRestarts(const Clock &clock) : m_clock(clock) { }

    // The upstream has broken off. Returns a name for the life that has ended.
    std::string onDisconnect(const std::string &upstream);

private:
    struct Entry
    {
        std::uint64_t instances = 0;
        TimePoint lastBreak{};
    };

    const Clock &m_clock;
    std::map<std::string, Entry> m_entries;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_RESTARTS_HPP_INCLUDED
