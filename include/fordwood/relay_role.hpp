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

// Up to so many nodes, each follows the stores itself and tells each other one: changes are heard
// at once, and a store of kept context serves as many readers (12 where their limit is known).
constexpr std::size_t kSmallFleet = 12;

// A node that may work for others.
struct RelayCandidate
{
    std::string node;
    double strength = 0.0; // of its VM, compared with others; see vmStrength()
};

// How many of the others come before this node: the stronger ones first, equals by a hash of their
// names with the task's. All nodes order each other alike.
std::size_t strengthRank(std::string_view task, const RelayCandidate &self,
                         const std::vector<RelayCandidate> &others);

// Whether a node follows the platform's store and the stores of kept context itself, or hears of
// them from relays: two nodes of each failure domain, the strongest ones, equals by a hash of their
// names. Without relays each change wakes a waiting call of every node, and a store of kept context
// turns away readers beyond its limit, so that no node knows what it holds. Two nodes that both
// think they are relays cost a few calls and nothing else.
class RelayRole
{
public:
    struct Limits
    {
        // One may fail while the other goes on.
        std::size_t relaysPerDomain = 2;
        std::size_t smallFleet = kSmallFleet;
        // A relay that is not needed any more goes on for so long, as its successor may fail.
        Duration stepDownDelay = std::chrono::seconds(2);
        // A node that has just started is no relay before it can know the others; zero: it is one
        // at once.
        Duration discovery = Duration::zero();
        // Where a relay is missing, the nodes step in by their rank: the first ones at once, twice
        // as many one pause later, twice as many again after another. So few step in needlessly,
        // and some do within a second however many are gone.
        Duration takeoverStep = std::chrono::milliseconds(150);
        // Where no relay hears of the platform's store, one more node of the failure domain asks it
        // after each such pause: the store may answer some and not others.
        Duration fallbackStep = std::chrono::milliseconds(400);
    };

    // What a node knows of its peers; all live.
    struct Peers
    {
        std::size_t liveNodes = 1; // this one included
        std::vector<RelayCandidate> relaysReachingStore; // relays of its failure domain that the
                                                         // platform's store answers
        std::vector<RelayCandidate> relays; // of all failure domains
        // Nodes of its failure domain that rank before it, as far as they are known, live or not.
        std::size_t higherRanked = 0;
        // Whether a relay of its failure domain is answered by the platform's store, or hears of
        // one that is.
        bool relayReachesStore = true;
        bool relayGetsStoreChanges = true;
        bool reachesStore = true; // this node, as far as it has asked
    };

    RelayRole(const Clock &clock, RelayCandidate self) : RelayRole(clock, std::move(self), Limits{})
    { }
    RelayRole(const Clock &clock, RelayCandidate self, Limits limits)
        : m_clock(clock), m_self(std::move(self)), m_limits(limits), m_startedAt(clock.now()),
          m_isRelay(limits.discovery == Duration::zero()), m_followsContext(m_isRelay)
    { }

    // The readers that a store of kept context serves at once; fewer relays than that follow it.
    void setMaxReaders(std::size_t n) { m_maxReaders = n; }

    void update(const Peers &peers);

    bool isRelay() const { return m_isRelay; }

    // Whether this node follows the platform's store: as a relay, while it starts, or because the
    // relays are not answered.
    bool followsStore() const { return m_isRelay || m_isDiscovering || m_isFallbackReader; }

    // Whether this node also follows the stores of kept context.
    bool followsContext() const { return m_followsContext; }

private:
    bool isNeeded(const Peers &peers) const;
    Duration takeoverDelay(std::size_t rank) const;
    void updateRelay(const Peers &peers);
    void updateFallback(const Peers &peers);

    const Clock &m_clock;
    const RelayCandidate m_self;
    const Limits m_limits;
    std::size_t m_maxReaders = kSmallFleet; // until a configuration says
    const TimePoint m_startedAt;
    bool m_isDiscovering = true; // it has just started
    bool m_isRelay;
    bool m_followsContext;
    bool m_isFallbackReader = false; // beside relays that hear nothing of the store
    std::optional<TimePoint> m_neededSince;
    std::optional<TimePoint> m_notNeededSince;
    std::optional<TimePoint> m_noChangesSince; // no relay hears of the store
};

} // namespace fordwood

#endif // FORDWOOD_RELAY_ROLE_HPP_INCLUDED
