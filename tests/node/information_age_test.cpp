// SPDX-License-Identifier: MIT
// Ages of received information. If the age of a message counts from the time at which it was read,
// it is too low whenever the message has waited. A node that stalls (a frozen VM, a process without
// processor time) finds messages from the time of the stall in its socket, takes them for new and,
// as a relay, forwards them to nodes that did not stall. There the information of a peer that has
// died since appears 3 s too young: its load, the engines that it orders to load, the time of its
// last order, the time as of which its copy of the store was complete, the ages of weights. Before
// the fix, a node that resumed after 3 s with one such message in its socket counted the sender as
// live (1 of 1) and forwarded the message (1 of 1).
#include "node/peer_links.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "adapters/observe/metrics.hpp"
#include "fordwood/manual_clock.hpp"
#include "node/context_store_watcher.hpp"
#include "node/node_state.hpp"
#include "node/order_reports.hpp"
#include "node/quarantine_distributor.hpp"
#include "node/update_queue.hpp"
#include "process/platform_standins.hpp"
#include "standins/blocking_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A node that runs only when the test polls it.
class Node
{
public:
    Node(const ManualClock &clock, const std::string &name, const std::string &domain,
         const std::string &address)
        : m_name(name), m_domain(domain), m_address(address),
          m_links(m_context, clock, {name, domain, 0.0}, kAlwaysForward,
                  [this](const Gossip &it) { m_received.push_back(it.version.revision); })
    {
        ErrorCode ec;
        REQUIRE(m_links.open(address, ec));
    }

    void addPeer(const Node &other)
    {
        m_links.setAddress(other.m_name, {other.m_address, other.m_address, other.m_domain, 0.0});
    }

    void sendMessage(std::int64_t revision)
    {
        Gossip message;
        message.node = m_name;
        message.failureDomain = m_domain;
        message.version.revision = revision;
        m_links.sendAll(message);
    }

    // Runs all that is ready: datagrams on loopback arrive as soon as they are sent.
    void poll()
    {
        while (m_context.poll() > 0) { }
        m_links.tick();
    }

    // Runs the timers only, which may come before or after reading the socket.
    void tick() { m_links.tick(); }

    // The revisions in the messages received since the last call.
    std::vector<std::int64_t> takeReceived() { return std::exchange(m_received, {}); }

    const PeerRoster &roster() const { return m_links.roster(); }

private:
    // Messages to another failure domain are forwarded there, however few nodes there are.
    static constexpr std::size_t kAlwaysForward = 0;

    const std::string m_name;
    const std::string m_domain;
    const std::string m_address;
    net::io_context m_context;
    std::vector<std::int64_t> m_received;
    PeerLinks m_links;
};

// A sender in one failure domain, and in another one a node that forwards its messages to a third
// node.
class ForwardingChain
{
public:
    ForwardingChain()
    {
        for (Node *it : all()) {
            for (const Node *other : all()) {
                if (it != other)
                    it->addPeer(*other);
            }
        }
        forwarder.sendMessage(1);
        pollAll();
        for (Node *it : all())
            it->takeReceived();
    }

    std::vector<Node *> all() { return {&sender, &forwarder, &last}; }

    void pollAll()
    {
        for (int n = 0; n < 3; ++n) {
            for (Node *it : all())
                it->poll();
        }
    }

    // Advances the clock in steps in which all nodes but the forwarder run.
    void stallMiddle(Duration time)
    {
        for (Duration gone{}; gone < time; gone += kStep) {
            clock.advance(kStep);
            sender.poll();
            last.poll();
        }
    }

    static constexpr Duration kStep = 100ms;

    ManualClock clock;
    const std::string net = "127.73." + std::to_string(static_cast<int>(getpid()) % 250 + 1) + ".";
    Node sender{clock, "a", "d0", net + "1:9000"};
    Node forwarder{clock, "b", "d1", net + "2:9000"};
    Node last{clock, "c", "d1", net + "3:9000"};
};

} // namespace

TEST_CASE("ages: messages that waited in the socket of a stalled node are dropped [standstill]")
{
    ForwardingChain chain;
    chain.sender.sendMessage(5);
    chain.stallMiddle(3s);
    chain.forwarder.poll();
    CHECK(chain.forwarder.takeReceived().empty());
    CHECK(chain.forwarder.roster().livePeers().empty());
    // Conversely, messages sent from now on are received at once.
    chain.sender.sendMessage(6);
    chain.forwarder.poll();
    CHECK(chain.forwarder.takeReceived() == std::vector<std::int64_t>{6});
    CHECK(chain.forwarder.roster().livePeers() == std::vector<std::string>{"a"});
}

TEST_CASE("ages: a stalled node forwards nothing that waited in its socket [standstill]")
{
    ForwardingChain chain;
    chain.sender.sendMessage(5);
    chain.stallMiddle(3s);
    chain.pollAll();
    CHECK(chain.last.takeReceived().empty());
    chain.sender.sendMessage(6);
    chain.pollAll();
    CHECK(chain.last.takeReceived() == std::vector<std::int64_t>{6});
}

TEST_CASE("ages: waiting messages are also dropped if timers run first [standstill]")
{
    ForwardingChain chain;
    chain.sender.sendMessage(5);
    chain.stallMiddle(3s);
    chain.forwarder.tick();
    chain.pollAll();
    CHECK(chain.forwarder.takeReceived().empty());
    CHECK(chain.last.takeReceived().empty());
    chain.sender.sendMessage(6);
    chain.pollAll();
    CHECK(chain.forwarder.takeReceived() == std::vector<std::int64_t>{6});
}

TEST_CASE("ages: a full socket is emptied at once when its node resumes [standstill]")
{
    ForwardingChain chain;
    for (int n = 0; n < 20; ++n) {
        chain.sender.sendMessage(n);
        chain.stallMiddle(100ms);
    }
    chain.forwarder.poll();
    chain.sender.sendMessage(100);
    chain.forwarder.poll();
    CHECK(chain.forwarder.takeReceived() == std::vector<std::int64_t>{100});
}

TEST_CASE("ages: a slow node that does not stall receives all messages [standstill]")
{
    ForwardingChain chain;
    for (int n = 0; n < 10; ++n) {
        chain.sender.sendMessage(n);
        chain.stallMiddle(800ms);
        chain.pollAll();
    }
    CHECK(chain.forwarder.takeReceived().size() == 10);
    CHECK(chain.last.takeReceived().size() == 10);
}

// A node's quarantine against the store's stand-in. The failure: a request was held by mistake
// (three upstreams crashed while a frequently requested page was running on them) and released by
// the first answer, on all nodes within milliseconds. Its key remained in the store for the ten
// minutes of its lease. Nodes that started meanwhile read the key as new and rejected the page for
// another ten minutes; no peer corrected them, since those that had seen the answer forget it after
// a minute. Of nodes started 5 s after the release, 1 of 1 held the request.
namespace {

const RequestFingerprint kPage{1, 2};
const std::vector<QuarantineUpdate> kThreeFailures{{kPage, 1}, {kPage, 2}, {kPage, 3}};
const std::vector<QuarantineUpdate> kAnswered{{kPage, {}}};

class QuarantineNode : private StoreListener
{
public:
    explicit QuarantineNode(const std::string &store) : m_store(store) { m_link.start(); }

    // Runs until the predicate holds, or for a limited number of steps.
    bool poll(const std::function<bool()> &holds)
    {
        constexpr int kMaxSteps = 2'000;
        for (int n = 0; n < kMaxSteps && !holds(); ++n)
            step();
        return holds();
    }

    void runFor(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;)
            step();
    }

    bool hasRead() const { return !m_replica.isEmpty(); }

    // Whether this node would hold the request, according to the updates from peers and the store.
    bool holds() const
    {
        Quarantine quarantine(m_clock);
        for (const QuarantineUpdate &it : m_published)
            quarantine.apply(it);
        return quarantine.isHeld(kPage);
    }

    QuarantineDistributor &quarantine() { return m_quarantine; }

private:
    void step()
    {
        m_context.run_one_for(1ms);
        m_clock.advance(10ms);
        m_quarantine.tick();
    }

    void onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes & /*times*/) override
    {
        for (const StoredItem &it : m_replica.merge(changes).value_or(std::vector<StoredItem>{})) {
            const auto request = QuarantineDistributor::parseKey(it.key);
            const auto instances
                = it.value ? QuarantineDistributor::decodeInstances(*it.value) : std::nullopt;
            if (request && instances)
                m_quarantine.addStored(*request, *instances);
        }
    }
    void onReachabilityChange(bool /*reachable*/) override { }

    ManualClock m_clock;
    const std::string m_store;
    net::io_context m_context;
    HttpClient m_client{m_context, m_clock};
    StoreReplica m_replica;
    adapters::Metrics m_metrics;
    StoreClient m_link{m_context, m_client, m_clock, m_metrics, {m_store, "n"}, m_replica, *this};
    std::vector<QuarantineUpdate> m_published;
    QuarantineDistributor m_quarantine{
        m_clock, m_link, m_replica, [this](const std::vector<QuarantineUpdate> &it) {
            m_published.insert(m_published.end(), it.begin(), it.end());
        }};
};

struct QuarantineFixture
{
    const std::string address
        = "127.74." + std::to_string(static_cast<int>(getpid()) % 250 + 1) + ".1:7000";
    process::KeyValueStandin store{address};

    bool hasKey() { return store.has("fordwood/quarantine/"); }

    bool isHeldByNewNode()
    {
        QuarantineNode late(address);
        REQUIRE(late.poll([&] { return late.hasRead(); }));
        return late.holds();
    }
};

} // namespace

TEST_CASE("ages: a node that starts after a held request was released does not hold it "
          "[quarantine]")
{
    QuarantineFixture fleet;
    QuarantineNode node(fleet.address);
    node.quarantine().addOwn(kThreeFailures);
    REQUIRE(node.poll([&] { return fleet.hasKey(); }));
    node.quarantine().addOwn(kAnswered);
    node.runFor(5s);
    CHECK_FALSE(fleet.hasKey());
    CHECK_FALSE(fleet.isHeldByNewNode());
}

TEST_CASE("ages: a request that is released while its key is being written leaves no key "
          "[quarantine]")
{
    QuarantineFixture fleet;
    QuarantineNode node(fleet.address);
    REQUIRE(node.poll([&] { return node.hasRead(); }));
    node.quarantine().addOwn(kThreeFailures);
    node.quarantine().tick();
    node.quarantine().addFromPeer(kAnswered, false);
    node.runFor(5s);
    CHECK_FALSE(fleet.hasKey());
}

TEST_CASE("ages: two nodes that wrote a held request both remove its key [quarantine]")
{
    QuarantineFixture fleet;
    QuarantineNode first(fleet.address);
    QuarantineNode second(fleet.address);
    REQUIRE(first.poll([&] { return first.hasRead(); }));
    REQUIRE(second.poll([&] { return second.hasRead(); }));
    for (QuarantineNode *it : {&first, &second}) {
        it->quarantine().addOwn(kThreeFailures);
        it->quarantine().tick(); // neither has read the other's write yet
    }
    first.runFor(2s);
    second.runFor(2s);
    REQUIRE(fleet.hasKey());
    second.quarantine().addOwn(kAnswered);
    first.quarantine().addFromPeer(kAnswered, false);
    second.runFor(2s);
    first.runFor(2s);
    CHECK_FALSE(fleet.hasKey());
}

TEST_CASE("ages: a key that could not be removed is removed once the store answers [quarantine]")
{
    QuarantineFixture fleet;
    QuarantineNode node(fleet.address);
    node.quarantine().addOwn(kThreeFailures);
    REQUIRE(node.poll([&] { return fleet.hasKey(); }));
    fleet.store.setDown(true);
    node.quarantine().addOwn(kAnswered);
    node.runFor(10s);
    REQUIRE(fleet.hasKey());
    fleet.store.setDown(false);
    node.runFor(5s);
    CHECK_FALSE(fleet.hasKey());
}

// Conversely, a request that crashes upstreams stays held, also on nodes that start later.
TEST_CASE("ages: a node that starts holds requests that are still held [quarantine]")
{
    QuarantineFixture fleet;
    QuarantineNode node(fleet.address);
    node.quarantine().addOwn(kThreeFailures);
    REQUIRE(node.poll([&] { return fleet.hasKey(); }));
    node.runFor(60s);
    CHECK(fleet.hasKey());
    CHECK(fleet.isHeldByNewNode());
}

// A node that has missed events of a context store requests a list of its contents. A list that
// waited unread while the node was stalled was taken for the store's current contents (events are
// requested again in that case, lists were not). It is 5 s old in this test, while a store's answer
// is valid for 1.5 s. The node then fetches parts that may have been freed meanwhile.
namespace {

class ListingStore
{
public:
    ListingStore() : m_server(address, [this](const standins::Request &it) { return answer(it); })
    {
        REQUIRE(m_server.listening());
    }

    const std::string address
        = "127.75." + std::to_string(static_cast<int>(getpid()) % 250 + 1) + ".1:7100";
    std::atomic<int> listRequests{0};
    std::promise<void> releaseList;

private:
    standins::Answer answer(const standins::Request &request)
    {
        standins::Answer made;
        made.status = 200;
        if (request.path != "/api/kv-list") {
            made.body
                = R"({"epoch": 7, "next-token": 1, "clock_ms": 5, "lost": true, "events": []})";
            return made;
        }
        if (++listRequests == 1)
            releaseList.get_future().wait();
        made.body = R"({"epoch": 7, "next-token": 4, "clock_ms": 5, "held": []})";
        return made;
    }

    standins::BlockingServer m_server;
};

struct ListReader
{
    explicit ListReader(const std::string &address)
    {
        ContextStore config;
        config.name = "s";
        config.address = address;
        watcher.setStores({config});
    }
    ~ListReader() { watcher.setStores({}); }

    void runUntil(const std::function<bool()> &holds)
    {
        constexpr int kMaxSteps = 500;
        for (int n = 0; n < kMaxSteps && !holds(); ++n)
            context.run_one_for(10ms);
        REQUIRE(holds());
    }

    net::io_context context;
    ManualClock clock;
    HttpClient client{context, clock};
    std::vector<std::uint64_t> published; // numbers of next events
    ContextStoreWatcher watcher{context, client, clock, [this](const FleetUpdate &it) {
                                    if (const auto *updated = std::get_if<ContextStoreUpdated>(&it))
                                        published.push_back(updated->update.next);
                                }};
};

} // namespace

TEST_CASE("ages: a store's list that waited unread is requested again [standstill][stores]")
{
    ListingStore store;
    ListReader reader(store.address);
    reader.runUntil([&] { return store.listRequests > 0; });
    reader.clock.advance(5s); // the node is stalled while the answer arrives
    store.releaseList.set_value();
    reader.runUntil([&] { return store.listRequests > 1 || !reader.published.empty(); });
    CHECK(reader.published.empty());
    // Conversely, the next list is used.
    reader.runUntil([&] { return !reader.published.empty(); });
    CHECK(reader.published.front() == 4);
}

TEST_CASE("ages: a store's list that is read in time is used [stores]")
{
    ListingStore store;
    ListReader reader(store.address);
    reader.runUntil([&] { return store.listRequests > 0; });
    reader.clock.advance(1s); // slow, but running
    store.releaseList.set_value();
    reader.runUntil([&] { return !reader.published.empty(); });
    CHECK(store.listRequests == 1);
}

// Updates between the threads of a node wait in a ring buffer: for milliseconds, longer if it is
// full, and for the length of a stall. The age of a context store's update counted from the time at
// which it was taken out. In this test it is 3 s old; the node took it for an update received after
// the stall and fetched according to it.
namespace {

// The serving thread's state, with one store of kept context in its configuration.
struct ServingState
{
    ServingState()
    {
        ContextStore store;
        store.name = "s";
        store.address = "127.0.0.1:1";
        store.capacityTokens = 1'000'000;
        ServingConfig config;
        config.stores.push_back(store);
        state.handle(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
    }

    // The update as the other thread puts it into the ring buffer.
    FleetUpdate onStoreChanges() const
    {
        ContextStoreUpdate update;
        update.store = "s";
        update.epoch = 1;
        return ContextStoreUpdated{update, clock.now()};
    }

    net::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    NodeState state{context, clock, settings, metrics};
};

} // namespace

TEST_CASE("ages: a context store update that waited between threads does not end the recovery "
          "[standstill][stores]")
{
    ServingState serving;
    const FleetUpdate queued = serving.onStoreChanges();
    serving.clock.advance(3s);
    serving.state.handle(queued);
    CHECK(serving.state.isRecoveringFromStall());
    // Conversely, the next update ends the recovery.
    serving.state.handle(serving.onStoreChanges());
    CHECK_FALSE(serving.state.isRecoveringFromStall());
}

TEST_CASE("ages: queued updates of a store that are merged have the age of the last [stores]")
{
    const auto updateAt = [](Duration time, std::chrono::milliseconds age) {
        ContextStoreUpdate update;
        update.store = "s";
        update.age = age;
        return ContextStoreUpdated{update, TimePoint{} + time};
    };
    UpdateQueue queue;
    queue.push(updateAt(1s, 300ms));
    queue.push(updateAt(2s, 20ms));
    std::vector<FleetUpdate> taken;
    queue.flush([&](const FleetUpdate &it) {
        taken.push_back(it);
        return true;
    });
    REQUIRE(taken.size() == 1);
    CHECK(std::get<ContextStoreUpdated>(taken.front()).receivedAt == TimePoint{} + 2s);
    CHECK(std::get<ContextStoreUpdated>(taken.front()).update.age == 20ms);
}

// Nodes do not send to engines that are loading according to the node that orders them, for a
// second after each of its reports. Relays forward the last report of a node for two seconds, also
// after its death, and each copy counted as a new report: 10 of 10 in this test. The engines were
// idle for 3 s after the death of the node that had ordered them, instead of 1 s.
TEST_CASE("ages: the last report of a node that ordered engines is accepted only once [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    OrderReports reports(clock);
    OrderReport last{0ms, 40ms, {"e"}, {}};
    REQUIRE(reports.record("a", last));
    const TimePoint entry = clock.now();
    int acceptedCount = 0;
    for (int n = 1; n <= 10; ++n) {
        clock.advance(200ms);
        last.age += 198ms; // the age does not include the transit time
        acceptedCount += reports.record("a", last) ? 1 : 0;
    }
    CHECK(acceptedCount == 0);
    CHECK(reports.lastReportTime("a") == entry);
}

TEST_CASE("ages: each new report of a node that orders engines is accepted [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    OrderReports reports(clock);
    std::chrono::milliseconds lastOrder = 40ms;
    REQUIRE(reports.record("a", {0ms, lastOrder, {"e"}, {}}));
    for (int n = 0; n < 10; ++n) { // the same engine is still loading
        clock.advance(200ms);
        lastOrder += 200ms;
        CHECK(reports.record("a", {30ms, lastOrder, {"e"}, {}}));
    }
    clock.advance(10ms);
    CHECK(reports.record("a", {0ms, lastOrder + 40ms, {}, {{"e", {{"m", {2, 0ms}}}}}}));
    clock.advance(10ms);
    CHECK(reports.record("a", {0ms, 0ms, {"f"}, {{"e", {{"m", {2, 0ms}}}}}}));
}

TEST_CASE("ages: unchanged reports before the first order are accepted often enough [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    OrderReports reports(clock);
    const OrderReport unchanged{0ms, std::nullopt, {"e"}, {}};
    REQUIRE(reports.record("a", unchanged));
    TimePoint lastNew = clock.now();
    Duration maxGap{};
    for (int n = 0; n < 20; ++n) {
        clock.advance(200ms);
        if (!reports.record("a", unchanged))
            continue;
        maxGap = std::max(maxGap, clock.now() - lastNew);
        lastNew = clock.now();
    }
    CHECK(maxGap == 400ms); // engines are used again a second after a report
}
