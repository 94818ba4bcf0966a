// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_SUPPORT_REPLICA_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_SUPPORT_REPLICA_FLEET_HPP_INCLUDED

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "adapters/platform/proto_head_codec.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/replicator.hpp"
#include "support/faulty_store.hpp"

namespace fordwood::support {

// Runs many replicators in one process with a manual clock. A store and a VM list simulate the
// platform. Tests control which nodes, links and services fail.
class ReplicaFleet
{
public:
    ReplicaFleet(int nodes, int domains, std::uint64_t seed = 1);

    // Submits a configuration of these pieces. Returns its version, or zero if it was not accepted.
    std::uint64_t submit(const std::map<std::string, std::string> &pieces);

    // Processes everything that is due without advancing the clock. run() calls it every 100 ms.
    void stepNow();

    // Advances the clock step by step.
    void run(Duration time);

    // Runs until every live node serves the version; false after `limit`. Stores the time in
    // `took`.
    bool runUntilServed(std::uint64_t version, Duration limit, Duration *took = nullptr);

    void kill(int node);
    void stop(int node); // announces the stop; runs until it is killed
    void restart(int node); // without its former state
    void setPaused(int node, bool paused); // processes nothing; its links remain
    void setDomainIsolated(const std::string &domain,
                           bool isolated); // from other domains and the platform
    void setPlatformDown(bool down);
    void setListLag(Duration lag) { m_listLag = lag; }
    Duration listLag() const { return m_listLag; }
    // Replaces the head by an older one, like a platform restored from a backup.
    void restoreOldHead(std::uint64_t version);
    void setLeavingUpstream(const std::string &name, bool leaving);
    void setUseSeeds(bool enabled) { m_useSeeds = enabled; }

    bool isAlive(int node) const
    {
        return m_nodes[static_cast<std::size_t>(node)].replicator != nullptr;
    }
    std::uint64_t version(int node) const;
    std::uint64_t firstServed(int node) const; // since its last start; zero: none yet
    std::string text(int node, const std::string &piece) const;
    const Replicator &replicator(int node) const;
    int nodes() const { return static_cast<int>(m_nodes.size()); }
    int relays() const;
    std::uint64_t alarms() const { return m_alarms; }
    // Whether a node ever served a lower version after a higher one.
    bool versionEverDecreased() const { return m_wentBack; }
    bool isPaused(int node) const { return m_nodes[static_cast<std::size_t>(node)].paused; }
    bool isPlatformDown() const { return m_platformDown; }
    bool canReach(int a, int b) const;
    bool canReachPlatform(int node) const;
    const Member &member(int node) const { return m_nodes[static_cast<std::size_t>(node)].member; }
    // Increases with every start of a node.
    std::uint64_t boot(int node) const { return m_nodes[static_cast<std::size_t>(node)].boot; }
    const std::map<std::string, std::string> &pieces(int node) const
    {
        return m_nodes[static_cast<std::size_t>(node)].pieces;
    }

    // Totals since the last resetCounters().
    void resetCounters();
    std::uint64_t messages() const { return m_messages; }
    std::uint64_t bytes() const { return m_bytes; }
    std::uint64_t maxNodeBytes() const;
    std::uint64_t platformCalls() const { return m_platformCalls; }

    ManualClock clock;
    FaultyStore store;
    adapters::ProtoHeadCodec codec;

private:
    struct Node
    {
        Member member;
        std::unique_ptr<Replicator> replicator; // null: dead
        std::set<std::string> dialledPeers;
        bool reading = false;
        bool paused = false;
        std::uint64_t boot = 0;
        std::uint64_t served = 0;
        std::uint64_t firstServed = 0;
        std::map<std::string, std::string> pieces;
        TimePoint nextListRead{};
        std::uint64_t bytes = 0;
    };
    struct Message
    {
        std::string from;
        std::string to;
        PeerUpdate update;
    };
    using Pair = std::pair<std::string, std::string>;

    void step();
    void executeActions(Node &node);
    void updateLinks();
    void deliver();
    void readPlatform(Node &node);
    bool reachable(const Node &a, const Node &b) const;
    bool platformReachable(const Node &node) const;
    VmList laggedList() const;
    void publishList();
    Node *find(const std::string &name);

    std::vector<Node> m_nodes;
    std::map<std::string, int> m_indices;
    std::set<Pair> m_linked; // node that opened the link, peer
    std::deque<Message> m_inFlight;
    std::vector<std::pair<TimePoint, VmList>> m_lists;
    VmList m_list;
    std::set<std::string> m_isolatedDomains;
    std::vector<ConfigHead> m_acceptedHeads;
    bool m_platformDown = false;
    bool m_useSeeds = false;
    Duration m_listLag{0};
    std::uint64_t m_submissions = 0;
    std::uint64_t m_alarms = 0;
    bool m_wentBack = false;
    std::uint64_t m_messages = 0;
    std::uint64_t m_bytes = 0;
    std::uint64_t m_platformCalls = 0;
    std::uint64_t m_boots = 1000;
    std::mt19937_64 m_random;
};

} // namespace fordwood::support

#endif // FORDWOOD_TESTS_SUPPORT_REPLICA_FLEET_HPP_INCLUDED
