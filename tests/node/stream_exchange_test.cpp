// SPDX-License-Identifier: MIT
// Nodes tell each other where streams began, over a network that a test can lose datagrams of.
#include "node/stream_exchange.hpp"

#include <cstdlib>
#include <deque>
#include <random>

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"
#include "node/node_state.hpp"
#include "node/upstream_choice.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr Duration kLifetime = 10s;

class Network;

// A node as far as streams concern it. A killed node has no process; a new one knows nothing.
class StreamNode
{
public:
    StreamNode(Network &network, net::io_context &context, const Clock &clock, int number);

    std::string address() const { return m_address; }
    bool isAlive() const { return m_exchange != nullptr; }
    StreamExchange &exchange() { return *m_exchange; }
    ServedVersions &versions() { return *m_versions; }

    void start(const std::vector<SchedulerNode> &nodes);
    // While the store cannot be reached, nothing tells whether the node lacks changes.
    void setReachesStore(bool reaches)
    {
        m_reachesStore = reaches;
        m_versions->setFollowing(reaches);
    }
    void kill()
    {
        m_exchange.reset();
        m_barrier.reset();
        m_versions.reset();
    }

    double metric(const std::string &name) const
    {
        const std::string text = "\n" + m_metrics.text();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size() + 2));
    }

private:
    Network &m_network;
    net::io_context &m_context;
    const Clock &m_clock;
    std::string m_address;
    adapters::Metrics m_metrics;
    std::unique_ptr<ServedVersions> m_versions;
    std::unique_ptr<ReadBarrier> m_barrier;
    std::unique_ptr<StreamExchange> m_exchange;
    bool m_reachesStore = true;
};

// Carries datagrams between the nodes of a fleet.
class Network
{
public:
    explicit Network(int n, unsigned seed = 1) : m_random(seed)
    {
        for (int it = 0; it < n; ++it) {
            nodes.emplace_back(*this, context, clock, it);
            m_list.push_back({"n" + std::to_string(it), nodes.back().address(), 1.0,
                              "z" + std::to_string(it % 4)});
        }
        for (StreamNode &it : nodes)
            it.start(m_list);
    }

    void start(StreamNode &node) { node.start(m_list); }

    void send(std::string bytes, const std::string &from, const udp::endpoint &to)
    {
        if (std::uniform_real_distribution<>(0, 1)(m_random) >= loss)
            m_datagrams.push_back({std::move(bytes), from, to});
    }

    // Delivers all datagrams, and lets the real time of timers pass.
    void runFor(Duration time)
    {
        constexpr Duration kStep = 2ms;
        for (Duration passed{}; passed < time; passed += kStep) {
            context.restart();
            context.run_for(kStep);
            deliver();
        }
    }

    // Where the node finds that the stream began; fails if the search does not end.
    std::optional<StreamOrigin> find(StreamNode &node, StreamKey key)
    {
        std::optional<std::optional<StreamOrigin>> found;
        node.exchange().find(key, "s", [&](const std::optional<StreamOrigin> &it) { found = it; });
        for (int n = 0; n < 5'000 && !found; ++n)
            runFor(2ms);
        REQUIRE(found);
        return *found;
    }

    KnownStream stream(StreamKey key, const std::string &version) const
    {
        return {key, {"s", version}, clock.now() + kLifetime};
    }

    net::io_context context;
    ManualClock clock;
    std::deque<StreamNode> nodes;
    double loss = 0.0;

private:
    struct Datagram
    {
        std::string bytes;
        std::string from;
        udp::endpoint to;
    };

    void deliver()
    {
        while (!m_datagrams.empty()) {
            const Datagram it = std::move(m_datagrams.front());
            m_datagrams.pop_front();
            for (StreamNode &node : nodes) {
                if (node.isAlive() && parseEndpoint<udp>(node.address()) == it.to)
                    node.exchange().onDatagram(it.bytes, *parseEndpoint<udp>(it.from));
            }
        }
    }

    std::mt19937 m_random;
    std::vector<SchedulerNode> m_list;
    std::deque<Datagram> m_datagrams;
};

StreamNode::StreamNode(Network &network, net::io_context &context, const Clock &clock, int number)
    : m_network(network), m_context(context), m_clock(clock),
      m_address("10.0.0." + std::to_string(number + 1) + ":80")
{ }

void StreamNode::start(const std::vector<SchedulerNode> &nodes)
{
    m_versions = std::make_unique<ServedVersions>(m_clock);
    m_versions->extendStreamLifetime(kLifetime);
    m_barrier = std::make_unique<ReadBarrier>(m_context, m_clock, m_metrics);
    m_barrier->onRequest([this](TimePoint) {
        m_barrier->checked({m_clock.now(), m_reachesStore});
    });
    m_exchange
        = std::make_unique<StreamExchange>(m_context, m_clock, m_metrics, *m_versions, *m_barrier,
                                           [this](std::string_view bytes, const udp::endpoint &to) {
                                               m_network.send(std::string(bytes), m_address, to);
                                           });
    m_exchange->setNodes(nodes, m_address);
}

// All nodes see the upstreams of the version begin or end.
void addVersion(Network &fleet, const std::string &version)
{
    for (StreamNode &it : fleet.nodes) {
        it.versions().add("s", version);
        it.exchange().onVersionsChanged("s");
    }
}

// A fleet that has had one version for longer than a stream lives.
void settle(Network &fleet)
{
    addVersion(fleet, "v1");
    fleet.clock.advance(kLifetime);
}

} // namespace

TEST_CASE("stream exchange: with one version no message is sent, and streams go on there")
{
    Network fleet(3);
    settle(fleet);
    fleet.nodes[0].exchange().record(fleet.stream(1, "v1"));
    fleet.runFor(30ms);
    CHECK(fleet.nodes[0].metric("fordwood_stream_notices_sent_total") == 0);
    fleet.nodes[0].kill();
    CHECK(fleet.find(fleet.nodes[1], 1) == StreamOrigin{"s", "v1"});
}

TEST_CASE("stream exchange: a stream of a node that was killed is known to the others")
{
    Network fleet(8);
    settle(fleet);
    addVersion(fleet, "v2");
    fleet.nodes[0].exchange().record(fleet.stream(1, "v2"));
    fleet.runFor(30ms);
    for (std::size_t it = 0; it < 7; ++it)
        fleet.nodes[it].kill();
    CHECK(fleet.find(fleet.nodes[7], 1) == StreamOrigin{"s", "v2"});
    CHECK(!fleet.find(fleet.nodes[7], 2));
}

TEST_CASE("stream exchange: streams that began before the second version appeared stay known")
{
    Network fleet(3);
    settle(fleet);
    fleet.nodes[0].exchange().record(fleet.stream(1, "v1"));
    addVersion(fleet, "v2");
    fleet.runFor(30ms);
    fleet.nodes[0].kill();
    CHECK(fleet.find(fleet.nodes[1], 1) == StreamOrigin{"s", "v1"});
}

TEST_CASE("stream exchange: a node that has not seen a new version yet does not guess")
{
    Network fleet(3);
    settle(fleet);
    for (const std::size_t it : {0U, 2U}) {
        fleet.nodes[it].versions().add("s", "v2");
        fleet.nodes[it].exchange().onVersionsChanged("s");
    }
    fleet.nodes[0].exchange().record(fleet.stream(1, "v2"));
    fleet.runFor(30ms);
    fleet.nodes[0].kill();
    CHECK(fleet.find(fleet.nodes[1], 1) == StreamOrigin{"s", "v2"});
    CHECK(!fleet.find(fleet.nodes[1], 2));
}

// Guards against a node that takes the versions it knows for all while it gets no changes.
TEST_CASE("stream exchange: a node that cannot read the store relies on a peer that can")
{
    Network fleet(2);
    settle(fleet);
    fleet.nodes[1].setReachesStore(false);
    fleet.nodes[0].versions().add("s", "v2"); // the other node does not know of it
    CHECK(!fleet.find(fleet.nodes[1], 1));
    fleet.nodes[0].versions().remove("s", "v2");
    fleet.clock.advance(kLifetime);
    CHECK(fleet.find(fleet.nodes[1], 1) == StreamOrigin{"s", "v1"});
    fleet.nodes[0].kill();
    CHECK(!fleet.find(fleet.nodes[1], 1));
}

TEST_CASE("stream exchange: nodes note each other's streams while the store is away")
{
    Network fleet(3);
    settle(fleet);
    fleet.nodes[0].exchange().record(fleet.stream(1, "v1"));
    for (StreamNode &it : fleet.nodes) {
        it.setReachesStore(false);
        it.exchange().tick();
    }
    fleet.nodes[0].exchange().record(fleet.stream(2, "v1"));
    fleet.runFor(30ms);
    fleet.nodes[0].kill();
    for (const StreamKey it : {1U, 2U})
        CHECK(fleet.find(fleet.nodes[1], it) == StreamOrigin{"s", "v1"});
    CHECK(!fleet.find(fleet.nodes[1], 3));
    // The store is back: what came and went meanwhile is not known for as long as a stream lives.
    for (const std::size_t it : {1U, 2U})
        fleet.nodes[it].setReachesStore(true);
    CHECK(!fleet.find(fleet.nodes[1], 3));
    fleet.clock.advance(kLifetime);
    CHECK(fleet.find(fleet.nodes[1], 3) == StreamOrigin{"s", "v1"});
}

TEST_CASE("stream exchange: all nodes are killed during a rollout: an origin is not guessed")
{
    Network fleet(3);
    settle(fleet);
    addVersion(fleet, "v2");
    fleet.nodes[0].exchange().record(fleet.stream(1, "v1"));
    fleet.runFor(30ms);
    for (StreamNode &it : fleet.nodes) {
        it.kill();
        fleet.start(it);
    }
    addVersion(fleet, "v2"); // the last upstream of v1 has left meanwhile
    CHECK(!fleet.find(fleet.nodes[1], 1));
    // New streams are known from the start.
    fleet.nodes[0].exchange().record(fleet.stream(2, "v2"));
    fleet.runFor(30ms);
    fleet.nodes[0].kill();
    CHECK(fleet.find(fleet.nodes[1], 2) == StreamOrigin{"s", "v2"});
}

TEST_CASE("stream exchange: nothing is remembered of streams that callers make up")
{
    Network fleet(3);
    settle(fleet);
    addVersion(fleet, "v2");
    std::size_t answers = 0;
    for (StreamKey key = 0; key < 10'000; ++key)
        fleet.nodes[0].exchange().find(key, "s", [&](const auto &it) {
            CHECK(!it);
            answers += 1;
        });
    for (int n = 0; n < 1'000 && answers < 10'000; ++n)
        fleet.runFor(10ms);
    CHECK(answers == 10'000);
    for (StreamNode &it : fleet.nodes) {
        it.exchange().tick();
        CHECK(it.metric("fordwood_stream_origins") == 0);
    }
}

TEST_CASE("stream exchange: a node without an address of its own sends nothing")
{
    Network fleet(2);
    settle(fleet);
    addVersion(fleet, "v2");
    fleet.nodes[0].exchange().setNodes({{"n1", fleet.nodes[1].address(), 1.0}}, "");
    fleet.nodes[0].exchange().record(fleet.stream(1, "v2"));
    fleet.runFor(30ms);
    CHECK(fleet.nodes[0].metric("fordwood_stream_notices_sent_total") == 0);
    CHECK(!fleet.find(fleet.nodes[0], 2));
}

TEST_CASE("stream exchange: a stream is bound to its version also if that one has left long ago")
{
    ManualClock clock;
    net::io_context context;
    adapters::Metrics metrics;
    const config::OneProcessSettings settings;
    NodeState state(context, clock, settings, metrics);
    const auto write = [&](const std::string &id, const std::string &version) {
        UpstreamRecord record;
        record.instanceId = id;
        record.service = "s";
        record.softwareVersion = version;
        state.handle(UpstreamRecordWritten{record});
    };
    const StreamOrigin old{"s", "v1"};
    CHECK(!isVersionGone(state, old)); // no upstream at all: one may come back
    write("a", "v1");
    CHECK(!isBoundToVersion(state, old));
    write("b", "v2");
    CHECK(isBoundToVersion(state, old));
    CHECK(!isVersionGone(state, old));
    state.handle(UpstreamRecordRemoved{"a"});
    clock.advance(1h);
    CHECK(isBoundToVersion(state, old));
    CHECK(isVersionGone(state, old));
    CHECK(!isBoundToVersion(state, std::nullopt));
}

TEST_CASE("stream exchange: a node does not claim to know all versions after a gap, or after a "
          "route has moved to another service")
{
    ManualClock clock;
    net::io_context context;
    adapters::Metrics metrics;
    const config::OneProcessSettings settings;
    NodeState state(context, clock, settings, metrics);
    const auto configure = [&](const std::string &service) {
        ServiceRoute route;
        route.pathPrefix = "/";
        route.streaming = true;
        route.resumable = true;
        route.timeout = 10s;
        route.targets = {{service, 1.0}};
        ServingConfig config;
        config.routes.push_back(route);
        state.handle(ConfigApplied{std::make_shared<const RouteTable>(config)});
    };
    const auto isComplete = [&] { return state.upstreams().versions().isComplete(); };
    configure("s");
    clock.advance(10s);
    CHECK(isComplete());
    configure("s");
    CHECK(isComplete());
    SUBCASE("the route has moved")
    {
        configure("t");
    }
    SUBCASE("changes were skipped")
    {
        state.handle(ChangesSkipped{});
    }
    SUBCASE("the store did not answer any node")
    {
        state.handle(StoreReachability{false});
        state.handle(StoreReachability{true});
    }
    CHECK(!isComplete());
    clock.advance(10s);
    CHECK(isComplete());
}

TEST_CASE("stream exchange: malformed messages change nothing")
{
    Network fleet(2);
    settle(fleet);
    const auto from = *parseEndpoint<udp>(fleet.nodes[1].address());
    std::mt19937 random(7);
    const std::string valid
        = encodeStreamMessage(StreamNotice{{"s", "v2"}, {{1, 5'000ms}, {2, 5'000ms}}});
    for (std::size_t n = 0; n < valid.size(); ++n)
        CHECK(!fleet.nodes[0].exchange().onDatagram(valid.substr(0, n), from));
    for (int n = 0; n < 20'000; ++n) {
        std::string bytes = valid;
        bytes[random() % bytes.size()] = static_cast<char>(random());
        fleet.nodes[0].exchange().onDatagram(bytes, from);
    }
    CHECK(!fleet.nodes[0].exchange().onDatagram("", from));
    const std::string forever = encodeStreamMessage(StreamNotice{{"s", "v3"}, {{3, 999h}}});
    CHECK(fleet.nodes[0].exchange().onDatagram(forever, from));
    fleet.clock.advance(601s);
    fleet.nodes[0].exchange().tick();
    CHECK(fleet.nodes[0].metric("fordwood_stream_origins") == 0);
}

// Kills, restarts and rollouts in series, with lost datagrams. FORDWOOD_SEED plays another series.
TEST_CASE("stream exchange: no stream is ever found at another version than its own")
{
    const char *seedText = std::getenv("FORDWOOD_SEED");
    const auto seed = static_cast<unsigned>(seedText == nullptr ? 1 : std::atoi(seedText));
    CAPTURE(seed);
    std::mt19937 random(seed);
    const auto pick = [&](std::size_t n) { return random() % n; };
    Network fleet(random() % 2 == 0 ? 6 : 20, seed);
    fleet.loss = 0.02;
    settle(fleet);
    std::vector<std::string> serving{"v1"};
    std::map<StreamKey, std::string> streams;
    int newest = 1;
    int taken = 0;
    int known = 0;
    for (std::size_t step = 0; step < 60; ++step) {
        if (pick(6) == 0 && serving.size() < 3) {
            serving.push_back("v" + std::to_string(++newest));
            addVersion(fleet, serving.back());
        }
        for (int n = 0; n < 8; ++n) {
            const StreamKey key = streams.size() + 1;
            const std::string &version = serving[pick(serving.size())];
            streams[key] = version;
            fleet.nodes[pick(fleet.nodes.size())].exchange().record(fleet.stream(key, version));
        }
        fleet.runFor(20ms);
        if (pick(5) == 0) {
            const std::size_t survivors = fleet.nodes.size() / 3;
            for (std::size_t n = survivors; n < fleet.nodes.size(); ++n) {
                StreamNode &node = fleet.nodes[(n + step) % fleet.nodes.size()];
                node.kill();
                fleet.start(node);
                for (const std::string &it : serving)
                    node.versions().add("s", it);
            }
        }
        for (int n = 0; n < 4; ++n) {
            const StreamKey key = streams.size() - pick(std::min<std::size_t>(30, streams.size()));
            const auto found = fleet.find(fleet.nodes[pick(fleet.nodes.size())], key);
            taken += 1;
            known += found ? 1 : 0;
            if (found)
                CHECK(found->version == streams[key]);
        }
        if (pick(6) == 0 && serving.size() > 1) {
            for (StreamNode &it : fleet.nodes)
                it.versions().remove("s", serving.front());
            serving.erase(serving.begin());
        }
        fleet.clock.advance(std::chrono::milliseconds(pick(1'500)));
        for (StreamNode &it : fleet.nodes)
            it.exchange().tick();
    }
    CAPTURE(known);
    CAPTURE(taken);
    CHECK(known * 2 >= taken);
}
