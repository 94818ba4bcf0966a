// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_RELAY_ROLE_HPP_INCLUDED
#define FORDWOOD_RELAY_ROLE_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// Largest fleet in which every node watches the stores itself and sends to every other node.
// Changes then arrive without delay, and a context store can serve that many readers (12 where
// their limit is known).
constexpr std::size_t kSmallFleet = 12;

// A node that can become a relay.
struct RelayCandidate
{
    std::string node;
    double strength = 0.0; // relative capacity of its VM; see vmStrength()
};

// How many of the others rank before this node. Stronger nodes come first; ties are broken by a
// hash of the node's and the task's names. All nodes compute the same order.
std::size_t strengthRank(std::string_view task, const RelayCandidate &self,
                         const std::vector<RelayCandidate> &others);

// Decides whether a node watches the platform's store and the context stores itself, or gets their
// changes from relays. The relays are the two strongest nodes of each failure domain; ties are
// broken by a hash of the names. Without relays, each change would complete a waiting call of every
// node, and a context store would refuse readers beyond its limit, so that no node
// would know its content. More relays than necessary only cost a few additional calls.
class RelayRole
{
public:
    struct Limits
    {
        // Two, so that one can fail.
        std::size_t relaysPerDomain = 2;
        std::size_t smallFleet = kSmallFleet;
        // How long a relay continues after it is no longer needed, because its successor may fail.
        Duration stepDownDelay = std::chrono::seconds(2);
        // How long a node that has just got its first replica of the platform's store waits to
        // discover the others before it can become a relay; zero: it is one immediately.
        Duration discovery = Duration::zero();
        // When a relay is missing, nodes take over by rank: the first two immediately; each step
        // doubles the number of nodes that may take over. This way few nodes take over needlessly,
        // and some do within a second however many nodes have failed.
        Duration takeoverStep = std::chrono::milliseconds(150);
        // While no relay gets changes of the platform's store, one more node of the failure domain
        // starts to read it after each step, since the store may be reachable for some nodes only.
        Duration fallbackStep = std::chrono::milliseconds(400);
        // How long a node takes no role over after a stall. Its peers seem lost until their next
        // messages arrive, within two of the longest intervals at which relays send.
        Duration stallRecovery = std::chrono::seconds(1);
    };

    // What a node knows about its live peers.
    struct Peers
    {
        std::size_t liveNodes = 1; // this one included
        std::vector<RelayCandidate> relaysReachingStore; // relays of its failure domain that can
                                                         // read the platform's store
        std::vector<RelayCandidate> relays; // of all failure domains
        // Known nodes of its failure domain that rank before it, live or not.
        std::size_t higherRanked = 0;
        // Whether a relay of its failure domain can read the platform's store, or gets its changes
        // from a node that can.
        bool relayReachesStore = true;
        bool relayGetsStoreChanges = true;
        bool reachesStore = true; // whether the last read by this node succeeded, if any
        bool hasReplica = true; // whether this node has a replica of the platform's store
    };

    RelayRole(const Clock &clock, RelayCandidate self) : RelayRole(clock, std::move(self), Limits{})
    { }
    RelayRole(const Clock &clock, RelayCandidate self, Limits limits)
        : m_clock(clock), m_self(std::move(self)), m_limits(limits),
          m_discoveringSince(clock.now()), m_isRelay(limits.discovery == Duration::zero()),
          m_followsContext(m_isRelay)
    { }

    // Sets how many readers a context store serves at once; no more relays than that watch it.
    void setMaxReaders(std::size_t n) { m_maxReaders = n; }

    void update(const Peers &peers);

    // This process has been stalled, and messages that waited meanwhile were dropped.
    void recordStall() { m_stallEndedAt = m_clock.now(); }

    bool isRelay() const { return m_isRelay; }

    // Whether this node watches the platform's store: as a relay, during startup, or because the
    // relays cannot read the store.
    bool followsStore() const { return m_isRelay || m_isDiscovering || m_isFallbackReader; }

    // Whether this node also watches the context stores.
    bool followsContext() const { return m_followsContext; }

private:
    bool isNeeded(const Peers &peers) const;
    Duration takeoverDelay(std::size_t rank) const;
    bool isRecoveringFromStall() const;
    void updateRelay(const Peers &peers);
    void updateFallback(const Peers &peers);

    const Clock &m_clock;
    const RelayCandidate m_self;
    const Limits m_limits;
    std::size_t m_maxReaders = kSmallFleet; // until a configuration sets it
    TimePoint m_discoveringSince;
    bool m_isDiscovering = true; // until Limits::discovery has passed
    bool m_isRelay;
    bool m_followsContext;
    bool m_isFallbackReader = false; // reads the store because no relay gets its changes
    std::optional<TimePoint> m_stallEndedAt;
    std::optional<TimePoint> m_neededSince;
    std::optional<TimePoint> m_notNeededSince;
    std::optional<TimePoint> m_noChangesSince; // no relay gets the store's changes
};

} // namespace fordwood

#endif // FORDWOOD_RELAY_ROLE_HPP_INCLUDED
