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

// What one life of a node knows: its control thread as it is, before the store's stand-in, and the
// state of the thread that serves requests, which the test itself keeps.
class WeightsNode
{
public:
    explicit WeightsNode(config::OneProcessSettings settings);
    ~WeightsNode();
    WeightsNode(const WeightsNode &) = delete;
    WeightsNode &operator=(const WeightsNode &) = delete;

    CountingClock &clock() { return m_clock; }

    // The newest weights that the serving thread knows of; zero: none.
    std::uint64_t newestWeights();

    // Whether the node would send a request to an engine that runs these weights.
    bool mayBeginOn(std::uint64_t weights);

    // The weights that the node takes an engine to run; zero: none are known.
    std::uint64_t weightsOf(const std::string &instanceId);

    // How many other nodes it hears.
    std::size_t peersHeard();

    // The serving thread's state, with all that the control thread has told it.
    NodeState &traffic();

private:
    void takeUpdates();

    const config::OneProcessSettings m_settings;
    CountingClock m_clock;
    adapters::Metrics m_metrics;
    net::io_context m_context; // of the serving thread; never runs
    NodeState m_traffic;
    std::mutex m_mutex;
    std::vector<FleetUpdate> m_updates;
    std::size_t m_live = 1;
    ControlLoop m_control;
    std::thread m_thread;
};

// Nodes that start and die before one store, over a paused clock that they all share. One model,
// weights named by the operators.
class WeightsFleet
{
public:
    // The nodes stand in failure domains of their own. `named`: the weights that have been named at
    // the start; zero: none ever.
    explicit WeightsFleet(int nodes, std::uint64_t named = 1);

    // Starts a life of the node. `storeAddress`: another one than the store's, for a node that is
    // cut off from it.
    void start(int node, const std::string &storeAddress = "");
    void startAll();
    void kill(int node) { m_nodes.erase(node); }
    void killAll() { m_nodes.clear(); }
    WeightsNode &at(int node) { return *m_nodes.at(node); }
    process::KeyValueStandin &store() { return m_store; }

    // The address of a node's VM.
    std::string host(int node) const { return m_net + std::to_string(10 + node); }

    // A datagram that reaches all live nodes as if from a node that is not one of them.
    void sendToAll(const Gossip &message);

    void nameWeights(std::uint64_t version);
    // Until every live node knows of them.
    bool waitForWeights(std::uint64_t version);
    // Until every live node hears all others.
    bool waitForPeers();
    // Until it holds for the state of every live node's serving thread.
    bool waitForAll(const std::function<bool(NodeState &)> &holds);

    // Until every live node takes the engine to run these.
    bool waitForEngine(const std::string &instanceId, std::uint64_t weights);

    // Moves the clocks in steps that every node takes part in.
    void advance(Duration by);

    // Nodes that would begin a request on these weights.
    int nodesThatUse(std::uint64_t weights);

private:
    // Moves the clocks by so much at a time until it holds. What takes only messages takes small
    // steps, so that little time passes; what a lease or a load bounds takes large ones.
    bool waitFor(const std::function<bool()> &holds, Duration stepSize);
    void step(Duration by);

    const int m_size;
    const std::string m_net;
    process::KeyValueStandin m_store;
    std::map<int, std::unique_ptr<WeightsNode>> m_nodes;
};

} // namespace fordwood::node

#endif // FORDWOOD_TESTS_NODE_WEIGHTS_FLEET_HPP_INCLUDED
