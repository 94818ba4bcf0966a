// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED

#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Judges upstreams by what this node's own requests showed. An upstream that failed is passed over
// for a span that doubles with each failure in a row, so that one that is down costs a request now
// and then, and one that is well again is found soon.
class UpstreamHealth
{
public:
    struct Limits
    {
        Duration firstPause = std::chrono::milliseconds(500);
        Duration longestPause = std::chrono::seconds(4);
        double failureWeight = 0.2; // of the newest outcome in the failure rate
    };

    explicit UpstreamHealth(const Clock &clock) : UpstreamHealth(clock, Limits{}) { }
    UpstreamHealth(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    void succeeded(const std::string &instanceId);

    // It could not be reached, broke off, or fell silent.
    void failed(const std::string &instanceId);

    // It answered, but with a failure of its own.
    void answeredFailure(const std::string &instanceId);

    // It refused for want of room: it is passed over for `pause`.
    void refused(const std::string &instanceId, Duration pause);

    // Whether it is passed over now.
    bool isPaused(const std::string &instanceId) const;

    // The recent part of requests that failed, 0 to 1.
    double failureRate(const std::string &instanceId) const;

    void forget(const std::string &instanceId) { m_entries.erase(instanceId); }

private:
    struct Entry
    {
        unsigned failuresInARow = 0;
        TimePoint pausedUntil{};
        double failureRate = 0.0;
    };

    void weigh(Entry &entry, bool failure) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Entry> m_entries;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED
