// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_LIMITS_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_LIMITS_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/limit_senders.hpp"

namespace fordwood {

// The limit of one upstream, as nodes exchange it.
struct LimitGossip
{
    std::uint64_t upstream = 0; // stable hash of its instance id
    std::uint64_t version = 0; // of the limit; the highest version wins
    double perSecond = 0.0; // requests per second; zero: the limit has been lifted
    Duration age{}; // since the response with this limit was read
    std::vector<SenderAnnouncement> senders; // nodes with requests; empty once lifted

    bool operator==(const LimitGossip &) const = default;
};

// A change of one upstream's limit, as recorded by this node.
struct LimitChange
{
    std::string instanceId;
    std::optional<double> before; // requests per second; empty: no limit
    std::optional<double> now;
    std::uint64_t version = 0;
    Duration age{}; // since the response was read, by this node or a peer
};

// Tracks the rate limits that upstreams advertise: the requests per second that an upstream accepts
// from all nodes together. An overloaded upstream advertises its limit in its responses, so only
// nodes that send to it learn the limit, although it applies to the sum over all nodes. It lifts
// the limit in the same way, when most nodes have stopped sending to it. Therefore nodes exchange
// the limits, ordered by a version that each change increments: an older update that arrives late,
// or is read after a pause of the process, never replaces a newer one.
class UpstreamLimits
{
public:
    explicit UpstreamLimits(const Clock &clock) : m_clock(clock) { }

    // Registers an upstream in service. Limits of other upstreams are ignored.
    void addUpstream(const std::string &instanceId);

    // Drops an upstream instance that has ended, with its limit.
    void forget(const std::string &instanceId);

    // Handles a response to a request that was sent at `sentAt`, with the advertised limit, if any.
    // Responses can overtake each other, so the limit changes only by a response to a request that
    // was sent after the current limit became known, and is relaxed only by one to a request that
    // was sent after the latest response that confirmed the limit.
    std::optional<LimitChange> onAnswer(const std::string &instanceId,
                                        std::optional<double> perSecond, TimePoint sentAt);

    // Merges limits received from a peer. Unknown upstreams are ignored.
    std::vector<LimitChange> applyUpdates(const std::vector<LimitGossip> &updates);

    // Requests per second that the upstream accepts from all nodes together; empty: no limit.
    std::optional<double> perSecond(const std::string &instanceId) const;

    std::optional<double> perSecond(std::uint64_t upstream) const;

    // The updates to send to peers: current limits and recently lifted ones, without senders.
    std::vector<LimitGossip> updates() const;

    // The number of upstreams with a limit, for the metrics.
    std::size_t limitedUpstreams() const { return m_limited; }

private:
    struct LimitState
    {
        std::string instanceId;
        std::uint64_t version = 0; // zero: never had a limit
        std::optional<double> perSecond;
        TimePoint changedAt{}; // when this node learned the current limit
        TimePoint confirmedAt{}; // the last response with the same limit, or `changedAt`
        TimePoint answeredAt{}; // when the response with the current limit was read, by any node
        TimePoint announceUntil{}; // end of the announcements that the limit is lifted
    };

    static bool mayChange(const LimitState &state, std::optional<double> perSecond,
                          TimePoint sentAt);
    LimitState *state(std::uint64_t upstream);
    LimitChange change(LimitState &state, std::uint64_t version, std::optional<double> perSecond,
                       TimePoint answeredAt);

    const Clock &m_clock;
    // By the hash of the instance id. Few upstreams ever advertise a limit: the lookups for each
    // upstream at each routing decision cost nothing while there is none.
    std::unordered_map<std::uint64_t, std::string> m_inService;
    std::map<std::uint64_t, LimitState> m_states;
    std::size_t m_limited = 0;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_LIMITS_HPP_INCLUDED
