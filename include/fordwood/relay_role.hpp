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
// turns away readers beyond its limit, so that no node knows what it holds: with 82 nodes 8,000
// calls of the platform's store and 137,000 of the stores of kept context in 34 s. Two nodes that
// both think they are relays cost a few calls and nothing else.
class RelayRole
{
public:
    struct Limits
    {
        // One may fail while the other goes on.
        std::size_t relaysPerDomain = 2;
        std::size_t smallFleet = kSmallFleet;
        // A relay that is not needed any more goes on for so long, as its successor may fail.
        Duration stepDown = std::chrono::seconds(2);
    };

    // What a node knows of its peers; all live.
    struct Peers
    {
        std::size_t liveNodes = 1; // this one included
        std::vector<RelayCandidate> reachingInDomain; // relays of its failure domain that the
                                                      // platform's store answers
        std::vector<RelayCandidate> relays; // of all failure domains
    };

    RelayRole(const Clock &clock, RelayCandidate self) : RelayRole(clock, std::move(self), Limits{})
    { }
    RelayRole(const Clock &clock, RelayCandidate self, Limits limits)
        : m_clock(clock), m_self(std::move(self)), m_limits(limits)
    { }

    // The readers that a store of kept context serves at once; fewer relays than that follow it.
    void setMostReaders(std::size_t n) { m_mostReaders = n; }

    void update(const Peers &peers);

    bool isRelay() const { return m_isRelay; }

    // Whether this node also follows the stores of kept context.
    bool followsContext() const { return m_followsContext; }

private:
    bool isNeeded(const Peers &peers) const;

    const Clock &m_clock;
    const RelayCandidate m_self;
    const Limits m_limits;
    std::size_t m_mostReaders = kSmallFleet; // until a configuration says
    bool m_isRelay = true;
    bool m_followsContext = true;
    std::optional<TimePoint> m_notNeededSince;
};

} // namespace fordwood

#endif // FORDWOOD_RELAY_ROLE_HPP_INCLUDED
