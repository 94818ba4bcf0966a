// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED

#include <cstdint>
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
        Duration initialPause = std::chrono::milliseconds(500);
        Duration maxPause = std::chrono::seconds(4);
        double failureWeight = 0.2; // of the newest outcome in the failure rate
        // Half of the failure rate is forgotten in this time, longer than a pause, so that one that
        // goes on failing costs few requests; but not before the upstream has missed so many of
        // its turns, since in a large fleet each node has a request for it only now and then.
        Duration halfLife = std::chrono::seconds(4);
        double turnsPerHalfLife = 12.0;
        // Less than this is none: where the others are idle, the least rate would keep every
        // request away from an upstream.
        double minFailureRate = 0.05;
        // An upstream that owes an answer for so long and has said nothing since may be gone.
        Duration silenceLimit = std::chrono::milliseconds(500);
    };

    explicit UpstreamHealth(const Clock &clock) : UpstreamHealth(clock, Limits{}) { }
    UpstreamHealth(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // A request has gone to it, and has ended in whatever way.
    void sent(const std::string &instanceId);
    void ended(const std::string &instanceId);

    // It has sent something.
    void dataReceived(const std::string &instanceId);

    // Whether it has owed an answer for long and said nothing.
    bool isSilent(const std::string &instanceId) const;

    void succeeded(const std::string &instanceId);

    // It could not be reached, broke off, or fell silent.
    void failed(const std::string &instanceId);

    // It answered, but with a failure of its own.
    void answeredWithError(const std::string &instanceId);

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
        unsigned consecutiveFailures = 0;
        TimePoint pausedUntil{};
        double failureRate = 0.0; // when it was weighed
        TimePoint updatedAt{};
        std::uint64_t sendsAtUpdate = 0; // of this node to all upstreams
        std::size_t open = 0; // requests that it owes an answer to
        TimePoint silentSince{}; // or heard last
    };

    void updateFailureRate(Entry &entry, bool failure) const;
    double failureRate(const Entry &entry) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::uint64_t m_sends = 0; // to all upstreams
    std::map<std::string, Entry> m_entries;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED
