// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_TESTS_NODE_WEIGHTS_FLEET_HPP_INCLUDED
#define FORDWOOD_TESTS_NODE_WEIGHTS_FLEET_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include "adapters/observe/metrics.hpp"
#include "config/node_settings.hpp"
#include "node/control_loop.hpp"
#include "node/node_state.hpp"
#include "process/platform_standins.hpp"
#include "support/counting_clock.hpp"

namespace fordwood::node {

// One process of a node: its real control thread, connected to the store's stand-in, and the state
// of the thread that serves requests, which the test itself updates.
class WeightsNode
{
public:
    explicit WeightsNode(config::OneProcessSettings settings);
    ~WeightsNode();
    WeightsNode(const WeightsNode &) = delete;
    WeightsNode &operator=(const WeightsNode &) = delete;

    CountingClock &clock() { return m_clock; }

    // The newest named weights known to the serving thread; zero: none.
    std::uint64_t newestWeights();

    // Whether the node would send a request to an engine with these weights.
    bool canStartOn(std::uint64_t weights);

    // The weights that an engine runs according to this node; zero: unknown.
    std::uint64_t weightsOf(const std::string &instanceId);

    // The number of live peers.
    std::size_t livePeerCount();

    // The serving thread's state, with all updates of the control thread applied.
    NodeState &state();

private:
    void applyUpdates();

    const config::OneProcessSettings m_settings;
    CountingClock m_clock;
    adapters::Metrics m_metrics;
    net::io_context m_context; // of the serving thread; never runs
    NodeState m_state;
    std::mutex m_mutex;
    std::vector<FleetUpdate> m_updates;
    std::size_t m_liveNodes = 1;
    ControlLoop m_control;
    std::thread m_thread;
};

// Nodes that start and die, with one store and clocks that advance together, by hand. There is one
// model, whose weights operators name.
class WeightsFleet
{
public:
    // Each node has a failure domain of its own. `named`: the weights named before the start; zero:
    // none.
    explicit WeightsFleet(int nodes, std::uint64_t named = 1);

    // Starts a process of the node. `storeAddress`: replaces the store's address for a node that
    // cannot reach the store.
    void start(int node, const std::string &storeAddress = "");
    void startAll();
    void kill(int node) { m_nodes.erase(node); }
    void killAll() { m_nodes.clear(); }
    WeightsNode &at(int node) { return *m_nodes.at(node); }
    process::KeyValueStandin &store() { return m_store; }

    // The address of a node's VM.
    std::string host(int node) const { return m_addressPrefix + std::to_string(10 + node); }

    // Sends a datagram to all live nodes, as from a node that is not one of them.
    void sendToAll(const Gossip &message);

    void nameWeights(std::uint64_t version);
    // Waits until every live node knows the version as the newest.
    bool waitForWeights(std::uint64_t version);
    // Waits until every live node counts all others as live.
    bool waitForPeers();
    // Waits until the predicate holds for the serving thread's state of every live node.
    bool waitForAll(const std::function<bool(NodeState &)> &predicate);

    // Waits until the engine runs these weights according to every live node.
    bool waitForEngine(const std::string &instanceId, std::uint64_t weights);

    // Advances the clocks in steps, each of which every node processes.
    void advance(Duration by);

    // The number of nodes that would send a request to an engine with these weights.
    int nodesThatUse(std::uint64_t weights);

private:
    // Advances the clocks by `stepSize` at a time until the predicate holds. Small steps suit waits
    // for messages, so that little time passes; large ones suit waits for leases and loads.
    bool waitFor(const std::function<bool()> &predicate, Duration stepSize);
    void step(Duration by);

    const int m_size;
    const std::string m_addressPrefix;
    process::KeyValueStandin m_store;
    std::map<int, std::unique_ptr<WeightsNode>> m_nodes;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_NODE_WEIGHTS_FLEET_HPP_INCLUDED
