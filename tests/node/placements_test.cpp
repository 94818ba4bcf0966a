// SPDX-License-Identifier: MIT
// Requests for engines between nodes, over real sockets. Each node has an event loop and a clock of
// its own, so that a test decides which node runs.
#include "node/placements.hpp"

#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/node_state.hpp"
#include "support/placement_examples.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kEngines = 2;
constexpr Duration kLongTimeout = 30s; // in real time; a busy machine delays replies

std::string placementAddress(int host)
{
    return "127.76." + std::to_string(getpid() % 250 + 1) + "." + std::to_string(host) + ":8085";
}

std::shared_ptr<const RouteTable> routeTable()
{
    ServicePool pool;
    pool.name = "chat";
    pool.engine = EngineTraits{16, 45'447, {"m"}};
    ServiceRoute route;
    route.name = "r";
    route.host = "a.example";
    route.pathPrefix = "/";
    route.targets = {{pool.name, 1.0}};
    ServingConfig config;
    config.version = 1;
    config.routes = {route};
    config.services = {pool};
    return std::make_shared<RouteTable>(std::move(config));
}

// The serving part of one node, as far as placements need it.
class PlacementNode
{
public:
    PlacementNode(int host, Duration replyTimeout)
        : m_state(m_context, m_clock, m_settings, m_metrics), m_scheduler(m_state, m_clock),
          m_placements(m_context, m_clock, m_metrics, static_cast<std::uint64_t>(host), m_scheduler,
                       replyTimeout)
    {
        m_state.handle(ConfigApplied{routeTable()});
        for (std::size_t n = 0; n < kEngines; ++n) {
            UpstreamRecord record;
            record.instanceId = "e" + std::to_string(n);
            record.announcedId = record.instanceId;
            record.service = "chat";
            record.address = "10.0.0." + std::to_string(n + 1) + ":80";
            record.failureDomain = "z";
            record.weightVersions["m"] = 1;
            m_state.handle(UpstreamRecordWritten{record});
        }
        ErrorCode ec;
        REQUIRE(m_placements.open(placementAddress(host), ec));
    }

    // Runs all that is ready: datagrams on loopback arrive as soon as they are sent.
    void runReady()
    {
        m_context.restart();
        m_context.poll();
    }

    // Lets the real time of timers pass, and runs what is due by then.
    void runFor(Duration time)
    {
        m_context.restart();
        m_context.run_for(time);
        runReady();
    }

    void advance(Duration by)
    {
        m_clock.advance(by);
        m_placements.tick();
    }

    double metric(const std::string &name) const
    {
        const std::string text = "\n" + m_metrics.text();
        const std::size_t at = text.find("\n" + name + " ");
        return at == std::string::npos ? 0.0 : std::stod(text.substr(at + name.size() + 2));
    }

    ManualClock m_clock;
    net::io_context m_context;
    adapters::Metrics m_metrics;
    const config::OneProcessSettings m_settings;
    NodeState m_state;
    EngineScheduler m_scheduler;
    Placements m_placements;
};

// A node on a weak VM, and two candidates for its scheduler.
class PlacementFleet
{
public:
    explicit PlacementFleet(Duration replyTimeout = kLongTimeout)
        : m_node(1, replyTimeout), m_one(2, replyTimeout), m_other(3, replyTimeout)
    {
        std::vector<SchedulerNode> nodes{{"node", placementAddress(1), 0.1},
                                         {"one", placementAddress(2), 0.5},
                                         {"other", placementAddress(3), 0.5}};
        SchedulerRanking ranking(m_node.m_clock);
        ranking.setNodes(nodes);
        m_oneIsFirst = ranking.schedulerFor("chat", {})->name == "one";
        // Large enough to use a scheduler.
        for (int n = 4; n <= 13; ++n)
            nodes.push_back({"n" + std::to_string(n), placementAddress(n), 0.1});
        for (PlacementNode *it : {&m_node, &m_one, &m_other})
            it->m_placements.setNodes(nodes);
    }

    PlacementNode &first() { return m_oneIsFirst ? m_one : m_other; }
    PlacementNode &second() { return m_oneIsFirst ? m_other : m_one; }

    // Starts a request of the node.
    void request(PlacementRequest request = chatRequest())
    {
        m_node.m_placements.request(
            std::move(request),
            [this](const std::optional<PlacementReply> &reply, const PlacementHandle &handle) {
                m_replies.push_back(reply);
                m_handle = handle;
            });
    }

    static PlacementRequest chatRequest()
    {
        PlacementRequest it;
        it.service = "chat";
        it.prompt = {"m", {{"context", 7'520}, {"own", 1'670}}, 9'190, 9};
        it.remaining = 8s;
        return it;
    }

    // A request that only one engine may take.
    static PlacementRequest requestFor(const std::string &engine)
    {
        PlacementRequest it = chatRequest();
        for (std::size_t n = 0; n < kEngines; ++n) {
            const std::string id = "e" + std::to_string(n);
            if (id != engine)
                it.avoid.push_back(stableHash(id));
        }
        return it;
    }

    // Has the request answered by the scheduler.
    PlacementReply placeBy(PlacementNode &scheduler, PlacementRequest request = chatRequest())
    {
        const std::size_t before = m_replies.size();
        this->request(std::move(request));
        scheduler.runReady();
        m_node.runReady();
        REQUIRE(m_replies.size() == before + 1);
        REQUIRE(m_replies.back());
        return *m_replies.back();
    }

    // Starts a request and lets its time pass. No scheduler runs meanwhile.
    void missReply()
    {
        request();
        m_node.runFor(50ms);
    }

    // Has the node's progress sent and applied by the scheduler.
    void deliverProgress(PlacementNode &scheduler)
    {
        m_node.runFor(20ms);
        scheduler.runReady();
    }

    PlacementNode m_node;
    PlacementNode m_one;
    PlacementNode m_other;
    bool m_oneIsFirst = false;
    std::vector<std::optional<PlacementReply>> m_replies; // to the node's requests, in order
    PlacementHandle m_handle; // with the last reply
};

// A program that sends and receives datagrams as a node would.
class RawSocket
{
public:
    explicit RawSocket(int host) : m_socket(m_context, *parseEndpoint<udp>(placementAddress(host)))
    { }

    void send(const std::string &bytes, int toHost)
    {
        m_socket.send_to(net::buffer(bytes), *parseEndpoint<udp>(placementAddress(toHost)));
    }

    std::optional<PlacementMessage> receive()
    {
        m_socket.non_blocking(true);
        ErrorCode ec;
        std::string bytes(65'507, '\0');
        udp::endpoint from;
        bytes.resize(m_socket.receive_from(net::buffer(bytes), from, 0, ec));
        return ec ? std::nullopt : decodePlacement(bytes);
    }

private:
    net::io_context m_context;
    udp::socket m_socket;
};

} // namespace

TEST_CASE("placements: a node gets an engine, and its scheduler counts the request until it ends "
          "[placement]")
{
    PlacementFleet fleet;
    CHECK(fleet.m_node.m_placements.hasScheduler("chat", {}));
    PlacementNode &scheduler = fleet.first();
    const PlacementReply reply = fleet.placeBy(scheduler, PlacementFleet::requestFor("e1"));
    const PlacementHandle handle = fleet.m_handle;
    CHECK(reply.outcome == PlacementOutcome::Placed);
    CHECK(reply.instanceId == "e1");
    CHECK(reply.weightVersion == 1);
    CHECK(reply.loadBefore == UpstreamLoad{});
    CHECK(reply.tokensToCompute == 9'190);
    CHECK(scheduler.m_scheduler.openPlacements() == 1);
    CHECK(fleet.second().m_scheduler.openPlacements() == 0);
    CHECK(fleet.m_node.metric("fordwood_placements_scheduled_total") == 1);

    const auto loadOfEngine = [&] {
        const PlacementReply next = fleet.placeBy(scheduler, PlacementFleet::requestFor("e1"));
        fleet.m_node.m_placements.ended(fleet.m_handle);
        fleet.deliverProgress(scheduler);
        return next.loadBefore;
    };
    CHECK(loadOfEngine() == UpstreamLoad{1, 9'190, 9'199});
    fleet.m_node.m_placements.promptComputed(handle);
    fleet.deliverProgress(scheduler);
    CHECK(loadOfEngine() == UpstreamLoad{1, 0, 9'199});
    fleet.m_node.m_placements.ended(handle);
    fleet.deliverProgress(scheduler);
    CHECK(loadOfEngine() == UpstreamLoad{});
    CHECK(scheduler.m_scheduler.openPlacements() == 0);
}

TEST_CASE("placements: consecutive requests of a context's engine go to others while it is busy "
          "[placement]")
{
    PlacementFleet fleet;
    PlacementRequest request = PlacementFleet::chatRequest();
    request.prompt.parts[0].id = "one";
    const std::string engine = fleet.placeBy(fleet.first(), request).instanceId;
    request.prompt.parts[0].id = "two";
    CHECK(fleet.placeBy(fleet.first(), request).instanceId != engine);
}

TEST_CASE("placements: services and engines that the scheduler does not know are unavailable "
          "[placement]")
{
    PlacementFleet fleet;
    PlacementRequest request = PlacementFleet::chatRequest();
    request.avoid = {stableHash("e0"), stableHash("e1")};
    CHECK(fleet.placeBy(fleet.first(), request).outcome == PlacementOutcome::Unavailable);
    fleet.first().m_state.handle(ConfigApplied{std::make_shared<RouteTable>(ServingConfig{})});
    CHECK(fleet.placeBy(fleet.first()).outcome == PlacementOutcome::Unavailable);
    CHECK(fleet.m_node.metric("fordwood_placements_unavailable_total") == 2);
    CHECK(fleet.first().m_scheduler.openPlacements() == 0);
}

TEST_CASE("placements: a long prompt whose target cannot be met is rejected as busy [placement]")
{
    PlacementFleet fleet;
    PlacementRequest request = PlacementFleet::chatRequest();
    request.targetLatency = 200ms; // one prompt takes 184 ms at the assumed pace
    request.remaining = 400ms; // no time for a late answer either
    for (std::size_t n = 0; n < kEngines; ++n)
        CHECK(fleet.placeBy(fleet.first(), PlacementFleet::requestFor("e" + std::to_string(n)))
                  .outcome
              == PlacementOutcome::Placed);
    const PlacementReply reply = fleet.placeBy(fleet.first(), request);
    CHECK(reply.outcome == PlacementOutcome::Busy);
    CHECK(reply.retryAfter > 0ms);
    CHECK(fleet.first().m_scheduler.openPlacements() == kEngines);
    CHECK(fleet.m_node.metric("fordwood_placements_busy_total") == 1);
}

TEST_CASE("placements: a scheduler places its own requests without a datagram [placement]")
{
    PlacementFleet fleet;
    int replies = 0;
    fleet.first().m_placements.request(
        PlacementFleet::chatRequest(),
        [&](const std::optional<PlacementReply> &reply, const PlacementHandle &handle) {
            REQUIRE(reply);
            CHECK(reply->outcome == PlacementOutcome::Placed);
            CHECK(fleet.first().m_scheduler.openPlacements() == 1);
            fleet.first().m_placements.ended(handle);
            replies += 1;
        });
    CHECK(replies == 1);
    fleet.first().runFor(20ms);
    CHECK(fleet.first().m_scheduler.openPlacements() == 0);
}

TEST_CASE("placements: small fleets and nodes without an address have no scheduler [placement]")
{
    PlacementFleet fleet;
    std::vector<SchedulerNode> nodes;
    for (int n = 1; n <= 12; ++n)
        nodes.push_back({"n" + std::to_string(n), placementAddress(n), 0.5});
    fleet.m_node.m_placements.setNodes(nodes);
    CHECK_FALSE(fleet.m_node.m_placements.hasScheduler("chat", {}));
    nodes.push_back({"n13", "not an address", 0.5});
    fleet.m_node.m_placements.setNodes(nodes);
    CHECK_FALSE(fleet.m_node.m_placements.hasScheduler("chat", {}));
    nodes.back().address = placementAddress(13);
    fleet.m_node.m_placements.setNodes(nodes);
    CHECK(fleet.m_node.m_placements.hasScheduler("chat", {}));
    Placements closed(fleet.m_node.m_context, fleet.m_node.m_clock, fleet.m_node.m_metrics, 9,
                      fleet.m_node.m_scheduler);
    closed.setNodes(nodes);
    CHECK_FALSE(closed.hasScheduler("chat", {}));
}

// Guards against callers that wait for a scheduler that is gone.
TEST_CASE("placements: without a reply the request goes on once, after the timeout [placement]")
{
    PlacementFleet fleet(Placements::kReplyTimeout);
    const auto start = std::chrono::steady_clock::now();
    fleet.request();
    fleet.m_node.runReady();
    while (fleet.m_replies.empty() && std::chrono::steady_clock::now() - start < 20s)
        fleet.m_node.runFor(1ms);
    CHECK(std::chrono::steady_clock::now() - start >= Placements::kReplyTimeout);
    fleet.m_node.runFor(30ms);
    REQUIRE(fleet.m_replies.size() == 1);
    CHECK_FALSE(fleet.m_replies[0]);
    CHECK_FALSE(fleet.m_handle.scheduler);
    CHECK(fleet.m_node.metric("fordwood_placements_missed_total") == 1);
}

TEST_CASE("placements: after three misses the second candidate is asked for a second [placement]")
{
    PlacementFleet fleet(500ms);
    const auto waitForMiss = [&] {
        const std::size_t before = fleet.m_replies.size();
        fleet.request();
        fleet.m_node.runFor(600ms);
        REQUIRE(fleet.m_replies.size() == before + 1);
        CHECK_FALSE(fleet.m_replies.back());
    };
    waitForMiss();
    waitForMiss();
    waitForMiss();
    CHECK(fleet.placeBy(fleet.second()).outcome == PlacementOutcome::Placed);
    fleet.m_node.advance(999ms);
    fleet.placeBy(fleet.second());
    CHECK(fleet.second().m_scheduler.openPlacements() == 2);
    fleet.m_node.advance(1ms);
    fleet.first().runReady(); // what it missed
    CHECK(fleet.placeBy(fleet.first()).outcome == PlacementOutcome::Placed);
}

// Guards against two failures at once: the callback comes at once, and no timer is left.
TEST_CASE("placements: while both candidates are silent there is no scheduler [placement]")
{
    PlacementFleet fleet(Placements::kReplyTimeout);
    for (int n = 0; n < 6; ++n)
        fleet.missReply();
    CHECK(fleet.m_node.metric("fordwood_placements_missed_total") == 6);
    CHECK_FALSE(fleet.m_node.m_placements.hasScheduler("chat", {}));
    fleet.request();
    REQUIRE(fleet.m_replies.size() == 7);
    CHECK_FALSE(fleet.m_replies.back());
    CHECK_FALSE(fleet.m_node.m_placements.recordLocal("chat", {}, {}).scheduler);
    fleet.m_node.advance(1s);
    CHECK(fleet.m_node.m_placements.hasScheduler("chat", {}));
}

// Guards against engines that seem busy until the deadline of a request that went elsewhere.
TEST_CASE("placements: a request without a reply in time is released at the scheduler "
          "[placement]")
{
    PlacementFleet fleet(Placements::kReplyTimeout);
    fleet.missReply();
    fleet.first().runReady(); // also the report that the request ended, should its reply be lost
    CHECK(fleet.first().m_scheduler.openPlacements() == 0);
    fleet.m_node.runFor(20ms); // the late reply
    REQUIRE(fleet.m_replies.size() == 1);
    fleet.first().runReady();
    CHECK(fleet.first().m_scheduler.openPlacements() == 0);
}

TEST_CASE("placements: a late reply is answered with the end of the request [placement]")
{
    PlacementNode node(1, kLongTimeout);
    RawSocket scheduler(4);
    PlacementReply reply = exampleReply();
    reply.number = 77; // not waited for
    scheduler.send(encodePlacement(reply), 1);
    reply.outcome = PlacementOutcome::Busy; // nothing to release
    reply.number = 78;
    scheduler.send(encodePlacement(reply), 1);
    node.runFor(50ms);
    const auto message = scheduler.receive();
    REQUIRE(message);
    const auto *progress = std::get_if<PlacementProgress>(&*message);
    REQUIRE(progress != nullptr);
    CHECK(progress->process == 1);
    CHECK(progress->ended == std::vector<std::uint64_t>{77});
    CHECK_FALSE(scheduler.receive());
}

TEST_CASE("placements: a request that the node placed itself counts at the scheduler "
          "[placement]")
{
    PlacementFleet fleet;
    PlacementProgress::Local local;
    local.instanceId = "e1";
    local.load = {1'670, 9'199};
    local.remaining = 8s;
    const PlacementHandle handle = fleet.m_node.m_placements.recordLocal("chat", {}, local);
    REQUIRE(handle.scheduler);
    fleet.deliverProgress(fleet.first());
    CHECK(fleet.first().m_scheduler.openPlacements() == 1);
    const PlacementReply reply = fleet.placeBy(fleet.first(), PlacementFleet::requestFor("e1"));
    CHECK(reply.loadBefore == UpstreamLoad{1, 1'670, 9'199});
    fleet.m_node.m_placements.ended(fleet.m_handle);
    fleet.m_node.m_placements.promptComputed(handle);
    fleet.m_node.m_placements.ended(handle);
    fleet.deliverProgress(fleet.first());
    CHECK(fleet.first().m_scheduler.openPlacements() == 0);
    CHECK(fleet.m_node.metric("fordwood_placements_local_total") == 1);
}

TEST_CASE("placements: unreadable datagrams are counted and dropped [placement][bad-input]")
{
    PlacementFleet fleet;
    RawSocket stranger(4);
    stranger.send("not a message", 1);
    stranger.send(std::string(60'000, '\x81'), 1);
    std::string later = encodePlacement(exampleRequest());
    later[1] = 2; // its version
    stranger.send(later, 1);
    fleet.m_node.runReady();
    CHECK(fleet.m_node.metric("fordwood_placement_messages_unreadable_total") == 3);
    CHECK_FALSE(stranger.receive());
    CHECK(fleet.placeBy(fleet.first()).outcome == PlacementOutcome::Placed);
}

// Guards against a scheduler that is blamed for what the node cannot send: two such prompts would
// make every prompt of the node go to the second candidate.
TEST_CASE("placements: a request that is too long for a datagram is not a miss [placement]")
{
    PlacementFleet fleet;
    PlacementRequest request = PlacementFleet::chatRequest();
    request.prompt.parts.assign(10'000, {"a part of the prompt", 1});
    fleet.request(request);
    REQUIRE(fleet.m_replies.size() == 1);
    CHECK_FALSE(fleet.m_replies[0]);
    CHECK(fleet.m_node.metric("fordwood_placements_missed_total") == 0);
}

// Guards against old requests that are placed after the scheduler's VM was suspended: their nodes
// have sent them elsewhere.
TEST_CASE("placements: a scheduler that was suspended drops what waited [placement]")
{
    PlacementFleet fleet(Placements::kReplyTimeout);
    fleet.m_node.m_placements.recordLocal("chat", {}, {});
    fleet.missReply();
    fleet.first().m_clock.advance(2s);
    fleet.first().runReady();
    CHECK(fleet.first().m_scheduler.openPlacements() == 0);
    fleet.m_node.runFor(30ms);
    CHECK_FALSE(fleet.m_replies[0]);
    CHECK(fleet.m_node.metric("fordwood_placements_scheduled_total") == 0);
    // New requests are placed.
    RawSocket node(4);
    PlacementRequest request = PlacementFleet::chatRequest();
    request.id = {4, 1};
    node.send(encodePlacement(request), fleet.m_oneIsFirst ? 2 : 3);
    fleet.first().runReady();
    CHECK(fleet.first().m_scheduler.openPlacements() == 1);
    CHECK(node.receive());
}

// Guards against placements that stay open at a node that no longer schedules.
TEST_CASE("placements: placements without reports expire without further requests [placement]")
{
    PlacementFleet fleet;
    fleet.placeBy(fleet.first());
    fleet.first().advance(4s);
    CHECK(fleet.first().metric("fordwood_placements_open") == 1);
    fleet.first().advance(4s);
    CHECK(fleet.first().metric("fordwood_placements_open") == 0);
}

TEST_CASE("placements: a scheduler that has just taken over also counts the exchanged loads "
          "[placement]")
{
    PlacementFleet fleet;
    fleet.first().m_state.loads().setPeerLoads("peers", {{"e1", {3, 20'000, 30'000}}});
    CHECK(fleet.placeBy(fleet.first(), PlacementFleet::requestFor("e1")).loadBefore
          == UpstreamLoad{3, 20'000, 30'000});
    // Complete once it has placed the requests of two seconds.
    for (int n = 0; n < 4; ++n) {
        fleet.first().advance(500ms);
        fleet.placeBy(fleet.first(), PlacementFleet::requestFor("e0"));
    }
    fleet.first().m_state.loads().setPeerLoads("peers", {{"e1", {3, 20'000, 30'000}}});
    CHECK(fleet.placeBy(fleet.first(), PlacementFleet::requestFor("e1")).loadBefore
          == UpstreamLoad{1, 9'190, 9'199});
}
