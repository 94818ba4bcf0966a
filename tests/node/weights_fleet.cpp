// SPDX-License-Identifier: MIT
#include "node/weights_fleet.hpp"

#include <algorithm>
#include <atomic>
#include <chrono>

#include <nlohmann/json.hpp>
#include <unistd.h>

namespace fordwood::node {

namespace {

using namespace std::chrono_literals;

constexpr const char *kModel = "m";
constexpr Duration kStep = 100ms; // shorter than any time that matters in the tests
constexpr Duration kMessageStep = 10ms;

// Prefix of loopback addresses that no other test uses at the same time.
std::string network()
{
    static std::atomic<int> next{0};
    return "127.7" + std::to_string(1 + next++ % 9) + "." + std::to_string(getpid() % 250 + 1)
           + ".";
}

} // namespace

WeightsNode::WeightsNode(config::OneProcessSettings settings)
    : m_settings(std::move(settings)), m_context(1),
      m_state(m_context, m_clock, m_settings, m_metrics),
      m_control(m_settings, m_clock, m_metrics, [this](FleetUpdate it) {
          const std::lock_guard lock(m_mutex);
          m_updates.push_back(std::move(it));
          return true;
      })
{
    if (!m_control.open())
        throw std::runtime_error("cannot open the listening addresses of a test node");
    m_thread = std::thread([this] { m_control.run(); });
}

WeightsNode::~WeightsNode()
{
    m_control.stop();
    m_thread.join();
}

void WeightsNode::applyUpdates()
{
    std::vector<FleetUpdate> updates;
    {
        const std::lock_guard lock(m_mutex);
        updates.swap(m_updates);
    }
    for (const FleetUpdate &it : updates) {
        m_state.handle(it);
        if (const auto *live = std::get_if<LiveNodeCount>(&it))
            m_liveNodes = live->n;
    }
}

NodeState &WeightsNode::state()
{
    applyUpdates();
    return m_state;
}

std::size_t WeightsNode::livePeerCount()
{
    applyUpdates();
    return m_liveNodes - 1;
}

std::uint64_t WeightsNode::weightsOf(const std::string &instanceId)
{
    applyUpdates();
    const UpstreamRecord *record = m_state.upstreams().find(instanceId);
    if (record == nullptr)
        return 0;
    const auto version = record->weightVersions.find(kModel);
    return version == record->weightVersions.end() ? 0 : version->second;
}

std::uint64_t WeightsNode::newestWeights()
{
    applyUpdates();
    return m_state.weights(kModel).newest();
}

bool WeightsNode::canStartOn(std::uint64_t weights)
{
    // A node that has read no version yet knows no engines either.
    if (newestWeights() == 0)
        return false;
    UpstreamRecord engine;
    engine.instanceId = "e";
    engine.weightVersions[kModel] = weights;
    const Prompt prompt{kModel, {{"context", 300}, {"own", 80}}, 380, 10};
    const EngineTraits traits;
    const EngineChooser::Query query{prompt, "", m_state.weights(kModel), traits, {}, {}};
    return m_state.engines()
        .choose(query, {&engine}, m_state.loads(), m_state.health(), m_state.contexts())
        .has_value();
}

WeightsFleet::WeightsFleet(int nodes, std::uint64_t named)
    : m_size(nodes), m_addressPrefix(network()), m_store(m_addressPrefix + "1:7000")
{
    if (named > 0)
        nameWeights(named);
}

void WeightsFleet::nameWeights(std::uint64_t version)
{
    m_store.put(std::string("op/version/") + kModel,
                nlohmann::json{{"model", kModel}, {"version", version}}.dump());
}

void WeightsFleet::start(int node, const std::string &storeAddress)
{
    config::OneProcessSettings settings;
    settings.node.name = "n" + std::to_string(node);
    settings.node.failureDomain = "domain-" + std::to_string(node);
    settings.callers.readyListen = host(node) + ":8081";
    settings.peers.listen = host(node) + ":8082";
    settings.peers.gossipListen = host(node) + ":8083";
    settings.peers.metricsListen = host(node) + ":8084";
    settings.peers.seeds = {host(0) + ":8082", host(1) + ":8082"};
    settings.store.address = storeAddress.empty() ? m_addressPrefix + "1:7000" : storeAddress;
    settings.bounds.weightsWithin = 10s;
    m_nodes[node] = std::make_unique<WeightsNode>(settings);
}

void WeightsFleet::startAll()
{
    for (int n = 0; n < m_size; ++n)
        start(n);
}

void WeightsFleet::sendToAll(const Gossip &message)
{
    constexpr char kDirect = 0; // the delivery byte that precedes the message
    const std::string bytes = kDirect + encodeGossip(message);
    net::io_context context;
    udp::socket socket(context, *parseEndpoint<udp>(host(m_size) + ":8083"));
    for (const auto &[n, node] : m_nodes)
        socket.send_to(net::buffer(bytes), *parseEndpoint<udp>(host(n) + ":8083"));
}

bool WeightsFleet::waitFor(const std::function<bool()> &predicate, Duration stepSize)
{
    // In real time; only a failure takes this long.
    const auto until = std::chrono::steady_clock::now() + 20s;
    while (!predicate()) {
        if (std::chrono::steady_clock::now() >= until)
            return false;
        step(stepSize);
    }
    return true;
}

bool WeightsFleet::waitForWeights(std::uint64_t version)
{
    return waitFor(
        [&] {
            for (const auto &[n, node] : m_nodes) {
                if (node->newestWeights() != version)
                    return false;
            }
            return true;
        },
        kMessageStep);
}

bool WeightsFleet::waitForEngine(const std::string &instanceId, std::uint64_t weights)
{
    return waitFor(
        [&] {
            for (const auto &[n, node] : m_nodes) {
                if (node->weightsOf(instanceId) != weights)
                    return false;
            }
            return true;
        },
        kStep);
}

bool WeightsFleet::waitForAll(const std::function<bool(NodeState &)> &predicate)
{
    return waitFor(
        [&] {
            return std::all_of(m_nodes.begin(), m_nodes.end(),
                               [&](const auto &it) { return predicate(it.second->state()); });
        },
        kMessageStep);
}

bool WeightsFleet::waitForPeers()
{
    return waitFor(
        [&] {
            for (const auto &[n, node] : m_nodes) {
                if (node->livePeerCount() + 1 != m_nodes.size())
                    return false;
            }
            return true;
        },
        kMessageStep);
}

void WeightsFleet::step(Duration by)
{
    std::map<int, std::uint64_t> reads;
    for (const auto &[n, node] : m_nodes) {
        node->clock().advance(by);
        reads[n] = node->clock().reads();
    }
    m_store.advanceTime(by);
    // An iteration of the node's loop reads the clock several times; the next starts within 20 ms.
    constexpr std::uint64_t kReadsPerIteration = 40;
    for (const auto &[n, node] : m_nodes) {
        while (node->clock().reads() < reads[n] + kReadsPerIteration)
            std::this_thread::sleep_for(1ms);
    }
}

void WeightsFleet::advance(Duration by)
{
    for (Duration left = by; left > Duration::zero(); left -= kStep)
        step(std::min(left, kStep));
}

int WeightsFleet::nodesThatUse(std::uint64_t weights)
{
    int n = 0;
    for (const auto &[name, node] : m_nodes)
        n += node->canStartOn(weights) ? 1 : 0;
    return n;
}

} // namespace fordwood::node
