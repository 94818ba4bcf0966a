// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_RESTARTS_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_RESTARTS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Distinguishes successive instances of upstreams that restart under the same name without
// reporting it. All connections to an upstream that break within a moment broke with the same
// instance.
class UpstreamRestarts
{
public:
    explicit UpstreamRestarts(const Clock &clock) : m_clock(clock) { }

    // A connection to the upstream broke. Returns a name for the instance that has ended.
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
