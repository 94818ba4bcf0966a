// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_HEALTH_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Tracks the health of upstreams by the results of this node's own requests. An upstream that
// failed is skipped for a pause that doubles with each consecutive failure, so that a dead one
// costs a request only now and then, and a recovered one is found soon.
class UpstreamHealth
{
public:
    struct Limits
    {
        Duration initialPause = std::chrono::milliseconds(500);
        Duration maxPause = std::chrono::seconds(4);
        double failureWeight = 0.2; // weight of the newest result in the failure rate
        // The failure rate halves in this time, which is longer than a pause so that an upstream
        // that keeps failing costs few requests. The decay also takes at least `turnsPerHalfLife`
        // missed turns, as each node of a large fleet has a request for a given upstream only now
        // and then.
        Duration halfLife = std::chrono::seconds(4);
        double turnsPerHalfLife = 12.0;
        // A lower rate counts as zero: if other upstreams are idle, even the smallest rate would
        // keep every request away from an upstream.
        double minFailureRate = 0.05;
        // An upstream with a pending answer that has sent nothing for this long may be gone.
        Duration silenceLimit = std::chrono::milliseconds(500);
    };

    explicit UpstreamHealth(const Clock &clock) : UpstreamHealth(clock, Limits{}) { }
    UpstreamHealth(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // A request was sent to the upstream, or has ended in any way.
    void sent(const std::string &instanceId);
    void ended(const std::string &instanceId);

    // The upstream has sent data.
    void dataReceived(const std::string &instanceId);

    // Whether the upstream has a pending answer and has sent nothing for `silenceLimit`.
    bool isSilent(const std::string &instanceId) const;

    void succeeded(const std::string &instanceId);

    // The upstream could not be reached, broke off, or stopped sending.
    void failed(const std::string &instanceId);

    // The upstream answered with an error of its own.
    void answeredWithError(const std::string &instanceId);

    // The upstream refused a request because it was full; it is skipped for `pause`.
    void refused(const std::string &instanceId, Duration pause);

    // The failures so far were not the upstream's own.
    void excuse(const std::string &instanceId);

    // Whether the upstream is skipped at the moment.
    bool isPaused(const std::string &instanceId) const;

    // Recent share of requests that failed, from 0 to 1.
    double failureRate(const std::string &instanceId) const;

    void forget(const std::string &instanceId) { m_entries.erase(instanceId); }

private:
    struct Entry
    {
        unsigned consecutiveFailures = 0;
        TimePoint pausedUntil{};
        double failureRate = 0.0; // as of updatedAt
        TimePoint updatedAt{};
        std::uint64_t sendsAtUpdate = 0; // value of m_sends at updatedAt
        std::size_t open = 0; // requests that wait for an answer
        TimePoint silentSince{}; // start of the open requests, or the last data received
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
