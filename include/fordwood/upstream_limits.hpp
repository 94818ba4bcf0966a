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

// What nodes tell each other of one upstream's limit.
struct LimitGossip
{
    std::uint64_t upstream = 0; // its life, by the stable hash of its instance id
    std::uint64_t version = 0; // of what is believed of it; the highest one holds
    double perSecond = 0.0; // requests a second; zero: the upstream names no limit any more
    Duration age{}; // since the answer that brought it about was read
    std::vector<SenderAnnouncement>
        senders; // nodes that have requests for it; none once it is lifted

    bool operator==(const LimitGossip &) const = default;
};

// What a node believes of one upstream's limit has changed.
struct LimitChange
{
    std::string instanceId;
    std::optional<double> before; // requests a second; nothing: no limit
    std::optional<double> now;
    std::uint64_t version = 0;
    Duration age{}; // since the answer that brought it about was read, by this node or a peer
};

// Which upstreams name a limit: the requests a second that they take from all nodes together.
//
// The load pattern that it answers: an overloaded upstream names its limit in its answers, so that
// only nodes that send there are told, while the limit holds for the sum of what all nodes send;
// and it lifts the limit in the same way, when most nodes send it nothing any more. So nodes tell
// each other, and order what they hear by a version that each change raises: an older word that
// arrives late, or that a node reads after standing still, never replaces a newer one.
class UpstreamLimits
{
public:
    explicit UpstreamLimits(const Clock &clock) : m_clock(clock) { }

    // The upstream is in service: only of such ones is anything kept.
    void addUpstream(const std::string &instanceId);

    // The upstream's life is over, and its limit with it.
    void forget(const std::string &instanceId);

    // An answer of the upstream to a request that was sent at `sent` names so many requests a
    // second, or none. Answers overtake each other: what is believed changes only by an answer to a
    // request that was sent after it came to be believed, and is eased only by one to a request
    // that was sent after the last answer that bore it out.
    std::optional<LimitChange> onAnswer(const std::string &instanceId,
                                        std::optional<double> perSecond, TimePoint sent);

    // What a peer has told. Words about upstreams that this node does not know are passed over.
    std::vector<LimitChange> applyUpdates(const std::vector<LimitGossip> &updates);

    // Requests a second that the upstream takes from all nodes together; nothing: any number.
    std::optional<double> perSecond(const std::string &instanceId) const;

    std::optional<double> perSecond(std::uint64_t upstream) const;

    // What peers should hear: limits that stand, and of late lifted ones. Without senders.
    std::vector<LimitGossip> updates() const;

    // Upstreams that name a limit now, for the metrics.
    std::size_t limitedUpstreams() const { return m_limited; }

private:
    struct LimitState
    {
        std::string instanceId;
        std::uint64_t version = 0; // zero: nothing is believed yet
        std::optional<double> perSecond;
        TimePoint changedAt{}; // when this node came to believe it
        TimePoint confirmedAt{}; // the last answer that said the same, or `learnt`
        TimePoint answered{}; // when the answer that brought it about was read, by any node
        TimePoint announceUntil{}; // that it has been lifted
    };

    static bool mayChange(const LimitState &state, std::optional<double> perSecond, TimePoint sent);
    LimitState *state(std::uint64_t upstream);
    LimitChange change(LimitState &state, std::uint64_t version, std::optional<double> perSecond,
                       TimePoint answered);

    const Clock &m_clock;
    // By the hash of the instance id. Few of the upstreams in service ever name a limit: what is
    // asked for each of them at each choice costs nothing while none does.
    std::unordered_map<std::uint64_t, std::string> m_inService;
    std::map<std::uint64_t, LimitState> m_states;
    std::size_t m_limited = 0;
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_LIMITS_HPP_INCLUDED
