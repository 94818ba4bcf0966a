// SPDX-License-Identifier: MIT
// Which nodes read the whole content of the platform's store when a fleet starts.
#include "fordwood/full_read_turn.hpp"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

std::string nodeName(std::size_t n)
{
    return "node-" + std::to_string(n);
}

// A fleet whose nodes all start at the same moment. The store's link carries the content to one
// reader after the other. A node that has read it passes it on to all others within a second,
// unless the nodes reach no peer.
class StartingFleet
{
public:
    static constexpr std::size_t kSources = 12;
    static constexpr double kLinkBytesPerSecond = 125e6;

    StartingFleet(std::size_t nodes, double contentBytes)
        : m_readTime(std::chrono::duration_cast<Duration>(
            std::chrono::duration<double>(contentBytes / kLinkBytesPerSecond)))
    {
        std::vector<ReplicaSource> sources;
        for (std::size_t n = 0; n < kSources; ++n)
            sources.push_back({nodeName(n), "d", "10.0.0.1:1", nodes});
        for (std::size_t n = 0; n < nodes; ++n) {
            m_nodes.push_back({std::make_unique<FullReadTurn>(m_clock, nodeName(n)), {}});
            m_nodes.back().turn->setSources(sources);
        }
    }

    void loseSources() { m_firstNode = kSources; }
    void cutPeers() { m_reachPeers = false; }

    // Runs until all nodes have the content. Returns when that was, at most `limit`.
    Duration runUntilComplete(Duration limit)
    {
        constexpr Duration kTick = 10ms;
        const TimePoint start = m_clock.now();
        while (m_clock.now() - start < limit && !isComplete()) {
            for (std::size_t n = m_firstNode; n < m_nodes.size(); ++n)
                tick(m_nodes[n]);
            m_clock.advance(kTick);
        }
        return m_clock.now() - start;
    }

    std::size_t readers() const { return m_readers; }
    Duration longestWait() const { return m_longestWait; }

private:
    struct Node
    {
        std::unique_ptr<FullReadTurn> turn;
        std::optional<TimePoint> readAt; // when the whole content has been read from the store
    };

    void tick(Node &node)
    {
        if (node.readAt || hasFromPeer() || !node.turn->isDue())
            return;
        m_readers += 1;
        m_linkFreeAt = std::max(m_linkFreeAt, m_clock.now()) + m_readTime;
        m_longestWait = std::max(m_longestWait, m_linkFreeAt - m_clock.now());
        node.readAt = m_linkFreeAt;
        m_firstRead = std::min(m_firstRead.value_or(m_linkFreeAt), m_linkFreeAt);
    }

    bool hasFromPeer() const
    {
        return m_reachPeers && m_firstRead && m_clock.now() >= *m_firstRead + 1s;
    }

    bool isComplete() const
    {
        return hasFromPeer()
               || std::all_of(
                   m_nodes.begin() + static_cast<std::ptrdiff_t>(m_firstNode), m_nodes.end(),
                   [this](const Node &it) { return it.readAt && m_clock.now() >= *it.readAt; });
    }

    ManualClock m_clock;
    const Duration m_readTime;
    std::vector<Node> m_nodes;
    std::size_t m_firstNode = 0;
    bool m_reachPeers = true;
    std::size_t m_readers = 0;
    TimePoint m_linkFreeAt{};
    std::optional<TimePoint> m_firstRead;
    Duration m_longestWait{};
};

// A call of the store may take this long.
constexpr Duration kCallTimeout = 1'500ms;

// Callers are promised to be served again within this time.
constexpr Duration kServedWithin = 18s;

} // namespace

// Guards against a fleet that does not come back: all nodes read the store at once.
TEST_CASE("full read turn: when a fleet starts, only the sources read the store [start]")
{
    for (const std::size_t nodes : {986U, 1'900U}) {
        CAPTURE(nodes);
        StartingFleet fleet(nodes, 5e6);
        CHECK(fleet.runUntilComplete(kServedWithin) <= 3s);
        CHECK(fleet.readers() == StartingFleet::kSources);
        CHECK(fleet.longestWait() < kCallTimeout);
    }
}

TEST_CASE("full read turn: when the sources do not come back, a few other nodes read [start]")
{
    for (const std::size_t nodes : {60U, 986U, 1'900U}) {
        CAPTURE(nodes);
        StartingFleet fleet(nodes, 5e6);
        fleet.loseSources();
        CHECK(fleet.runUntilComplete(kServedWithin) < 5s);
        CHECK(fleet.readers() < 8 * StartingFleet::kSources);
        CHECK(fleet.longestWait() < kCallTimeout);
    }
}

TEST_CASE("full read turn: nodes that reach no peer read one after the other [start]")
{
    StartingFleet fleet(200, 5e6);
    fleet.cutPeers();
    CHECK(fleet.runUntilComplete(kServedWithin) < kServedWithin);
    CHECK(fleet.readers() == 200);
}

TEST_CASE("full read turn: every node reads at once while the store names no source [start]")
{
    ManualClock clock;
    FullReadTurn turn(clock, "n");
    CHECK(turn.isDue());
    turn.setSources({{"other", "d", "10.0.0.1:1", 1'000}});
    CHECK_FALSE(turn.isDue());
    turn.setSources({});
    CHECK(turn.isDue());
}

// The turn must come although the number of nodes is far from what the sources wrote.
TEST_CASE("full read turn: every node's turn comes, whatever the sources wrote [start]")
{
    for (const std::size_t fleetSize : {0U, 1U, 100'000U}) {
        CAPTURE(fleetSize);
        ManualClock clock;
        FullReadTurn turn(clock, "n");
        turn.setSources({{"other", "d", "10.0.0.1:1", fleetSize}});
        clock.advance(kServedWithin);
        CHECK(turn.isDue());
    }
}
