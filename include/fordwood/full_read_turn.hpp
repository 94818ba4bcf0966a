// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_FULL_READ_TURN_HPP_INCLUDED
#define FORDWOOD_FULL_READ_TURN_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// A node from which nodes that start get the content of the platform's store. It has named itself
// there.
struct ReplicaSource
{
    std::string node;
    std::string failureDomain;
    std::string address; // of its replica
    std::size_t fleetSize = 0; // about how many nodes there were when it named itself

    bool operator==(const ReplicaSource &) const = default;
};

// Decides when a node that has no replica reads the whole content of the platform's store itself.
//
// Load pattern: all nodes of a fleet start in the same second, each with an empty replica. The
// content is megabytes, and the store's link carries it only for a few of them at a time. If all
// read it, no read ends. So the sources, which are few, read it at once, and the others get it from
// them. Where the sources do not deliver, a few nodes read it, and then more and more, as most of
// them find one that has it before their turn comes.
class FullReadTurn
{
public:
    struct Limits
    {
        // In this time sources usually have read the content and passed it on.
        Duration sourcesWithin = std::chrono::seconds(2);
        // After each step twice as many nodes may have read as before it.
        Duration step = std::chrono::milliseconds(500);
    };

    FullReadTurn(const Clock &clock, std::string node)
        : FullReadTurn(clock, std::move(node), {}) { }
    FullReadTurn(const Clock &clock, std::string node, Limits limits)
        : m_clock(clock), m_node(std::move(node)), m_limits(limits)
    { }

    // The sources that the store names at present. While it names none, it is the store of a small
    // or a new fleet, and every node may read it.
    void setSources(std::vector<ReplicaSource> sources);

    bool isDue() const;

private:
    Duration delay() const;

    const Clock &m_clock;
    const std::string m_node;
    const Limits m_limits;
    std::vector<ReplicaSource> m_sources;
    std::optional<TimePoint> m_sourcesSince; // when sources were first found
};

} // namespace fordwood

#endif // FORDWOOD_FULL_READ_TURN_HPP_INCLUDED
