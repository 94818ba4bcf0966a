// SPDX-License-Identifier: MIT
// A belief whose age counts from the moment at which a node heard of it is too young wherever the
// word has waited. A node that stands still (a frozen VM, a process that gets no processor) finds
// what peers said meanwhile in its socket, takes it for news of now, and, as a relay, passes it on
// to nodes that ran all the time. For those the word of a peer that has died since is 3 s younger
// than it is: its load, the engines that it has load, when it last ordered one, until when its copy
// of the store was whole, how old weights are. A node that wakes after 3 s with one such message in
// its socket holds its sender for live (1 of 1) and passes the message on (1 of 1).
#include "node/peer_links.hpp"

#include <algorithm>
#include <atomic>
#include <functional>
#include <future>
#include <memory>

#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

#include "fordwood/manual_clock.hpp"
#include "node/context_store_watcher.hpp"
#include "node/node_state.hpp"
#include "node/order_words.hpp"
#include "node/quarantine_distributor.hpp"
#include "node/update_queue.hpp"
#include "process/platform_standins.hpp"
#include "standins/blocking_server.hpp"

using namespace fordwood;
using namespace fordwood::node;
using namespace std::chrono_literals;

namespace {

// A node whose work is done only when the test lets it.
class Node
{
public:
    Node(const ManualClock &clock, const std::string &name, const std::string &domain,
         const std::string &address)
        : m_name(name), m_domain(domain), m_address(address),
          m_links(m_context, clock, {name, domain, 0.0}, kTellsNobodyAlone,
                  [this](const Gossip &it) { m_heard.push_back(it.version.revision); })
    {
        ErrorCode ec;
        REQUIRE(m_links.open(address, ec));
    }

    void know(const Node &other)
    {
        m_links.setAddress(other.m_name, {other.m_address, other.m_address, other.m_domain, 0.0});
    }

    void say(std::int64_t revision)
    {
        Gossip message;
        message.node = m_name;
        message.failureDomain = m_domain;
        message.version.revision = revision;
        m_links.sendAll(message);
    }

    // All that is ready: datagrams on loopback have arrived when they are sent.
    void work()
    {
        while (m_context.poll() > 0) { }
        m_links.tick();
    }

    // Its timers may run before it reads its socket, or after.
    void tick() { m_links.tick(); }

    // The revisions in the messages heard since the last call.
    std::vector<std::int64_t> addFromPeer() { return std::exchange(m_heard, {}); }

    const PeerRoster &roster() const { return m_links.roster(); }

private:
    // Messages to another failure domain are passed on there, however few nodes there are.
    static constexpr std::size_t kTellsNobodyAlone = 0;

    const std::string m_name;
    const std::string m_domain;
    const std::string m_address;
    net::io_context m_context;
    std::vector<std::int64_t> m_heard;
    PeerLinks m_links;
};

// A sender in one failure domain; in another one a node that passes its messages on to a third.
class Line
{
public:
    Line()
    {
        for (Node *it : all()) {
            for (const Node *other : all()) {
                if (it != other)
                    it->know(*other);
            }
        }
        passer.say(1);
        workAll();
        for (Node *it : all())
            it->addFromPeer();
    }

    std::vector<Node *> all() { return {&sender, &passer, &last}; }

    void workAll()
    {
        for (int n = 0; n < 3; ++n) {
            for (Node *it : all())
                it->work();
        }
    }

    // In steps in which all nodes but the one in the middle work.
    void standStill(Duration time)
    {
        for (Duration gone{}; gone < time; gone += kStep) {
            clock.advance(kStep);
            sender.work();
            last.work();
        }
    }

    static constexpr Duration kStep = 100ms;

    ManualClock clock;
    const std::string net = "127.73." + std::to_string(static_cast<int>(getpid()) % 250 + 1) + ".";
    Node sender{clock, "a", "d0", net + "1:9000"};
    Node passer{clock, "b", "d1", net + "2:9000"};
    Node last{clock, "c", "d1", net + "3:9000"};
};

} // namespace

TEST_CASE("ages: what waited in the socket of a node that stood still is no news [standstill]")
{
    Line line;
    line.sender.say(5);
    line.standStill(3s);
    line.passer.work();
    CHECK(line.passer.addFromPeer().empty());
    CHECK(line.passer.roster().live().empty());
    // The other side: it hears at once what is said from now on.
    line.sender.say(6);
    line.passer.work();
    CHECK(line.passer.addFromPeer() == std::vector<std::int64_t>{6});
    CHECK(line.passer.roster().live() == std::vector<std::string>{"a"});
}

TEST_CASE("ages: a node that stood still passes on nothing that waited in its socket [standstill]")
{
    Line line;
    line.sender.say(5);
    line.standStill(3s);
    line.workAll();
    CHECK(line.last.addFromPeer().empty());
    line.sender.say(6);
    line.workAll();
    CHECK(line.last.addFromPeer() == std::vector<std::int64_t>{6});
}

TEST_CASE("ages: it is the same where timers run first [standstill]")
{
    Line line;
    line.sender.say(5);
    line.standStill(3s);
    line.passer.tick();
    line.workAll();
    CHECK(line.passer.addFromPeer().empty());
    CHECK(line.last.addFromPeer().empty());
    line.sender.say(6);
    line.workAll();
    CHECK(line.passer.addFromPeer() == std::vector<std::int64_t>{6});
}

TEST_CASE("ages: a full socket is emptied at once when its node wakes [standstill]")
{
    Line line;
    for (int n = 0; n < 20; ++n) {
        line.sender.say(n);
        line.standStill(100ms);
    }
    line.passer.work();
    line.sender.say(100);
    line.passer.work();
    CHECK(line.passer.addFromPeer() == std::vector<std::int64_t>{100});
}

TEST_CASE("ages: a node that is slow but runs hears all that was said [standstill]")
{
    Line line;
    for (int n = 0; n < 10; ++n) {
        line.sender.say(n);
        line.standStill(800ms);
        line.workAll();
    }
    CHECK(line.passer.addFromPeer().size() == 10);
    CHECK(line.last.addFromPeer().size() == 10);
}

// What one node knows of requests that end upstreams, before the store's stand-in. A request was
// held by mistake (three upstreams crashed while a page that many ask for was there), and released
// by the first answer, on all nodes within milliseconds. Its key in the store went on saying that
// it is held, for the ten minutes of its lease: nodes that started meanwhile read it as news and
// refused the page for ten minutes from then on, with nobody to tell them better, since those that
// had seen the answer forget it after a minute. Started 5 s after the release: 1 of 1 nodes hold
// it.
namespace {

const RequestFingerprint kPage{1, 2};
const std::vector<QuarantineUpdate> kThreeEnds{{kPage, 1}, {kPage, 2}, {kPage, 3}};
const std::vector<QuarantineUpdate> kAnswered{{kPage, {}}};

class HoldingNode : private StoreListener
{
public:
    explicit HoldingNode(const std::string &store) : m_store(store) { m_link.start(); }

    // Until it holds, or for a while.
    bool work(const std::function<bool()> &holds)
    {
        constexpr int kTurns = 2'000;
        for (int n = 0; n < kTurns && !holds(); ++n)
            turn();
        return holds();
    }

    void workFor(Duration time)
    {
        for (const TimePoint end = m_clock.now() + time; m_clock.now() < end;)
            turn();
    }

    bool hasRead() const { return !m_replica.isEmpty(); }

    // Whether the requests of this node would be told to hold it, by what they hear from peers and
    // from the store.
    bool holds() const
    {
        Quarantine quarantine(m_clock);
        for (const QuarantineUpdate &it : m_told)
            quarantine.apply(it);
        return quarantine.isHeld(kPage);
    }

    QuarantineDistributor &duty() { return m_duty; }

private:
    void turn()
    {
        m_context.run_one_for(1ms);
        m_clock.advance(10ms);
        m_duty.tick();
    }

    void onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes & /*times*/) override
    {
        for (const StoredItem &it : m_replica.merge(changes).value_or(std::vector<StoredItem>{})) {
            const auto request = QuarantineDistributor::parseKey(it.key);
            const auto lives
                = it.value ? QuarantineDistributor::decodeInstances(*it.value) : std::nullopt;
            if (request && lives)
                m_duty.addStored(*request, *lives);
        }
    }
    void onReachabilityChange(bool /*reachable*/) override { }

    ManualClock m_clock;
    const std::string m_store;
    net::io_context m_context;
    HttpClient m_caller{m_context, m_clock};
    StoreReplica m_replica;
    StoreClient m_link{m_context, m_caller, m_clock, m_store, m_replica, *this};
    std::vector<QuarantineUpdate> m_told;
    QuarantineDistributor m_duty{m_clock, m_link, m_replica,
                                 [this](const std::vector<QuarantineUpdate> &it) {
                                     m_told.insert(m_told.end(), it.begin(), it.end());
                                 }};
};

struct HoldingFleet
{
    const std::string address
        = "127.74." + std::to_string(static_cast<int>(getpid()) % 250 + 1) + ".1:7000";
    process::KeyValueStandin store{address};

    bool hasKey() { return store.has("fordwood/quarantine/"); }

    bool isHeldByOneThatStartsNow()
    {
        HoldingNode late(address);
        REQUIRE(late.work([&] { return late.hasRead(); }));
        return late.holds();
    }
};

} // namespace

TEST_CASE("ages: a node that starts after a held request was released does not hold it "
          "[quarantine]")
{
    HoldingFleet fleet;
    HoldingNode node(fleet.address);
    node.duty().addOwn(kThreeEnds);
    REQUIRE(node.work([&] { return fleet.hasKey(); }));
    node.duty().addOwn(kAnswered);
    node.workFor(5s);
    CHECK_FALSE(fleet.hasKey());
    CHECK_FALSE(fleet.isHeldByOneThatStartsNow());
}

TEST_CASE("ages: a request that is released while it is written to the store leaves no key there "
          "[quarantine]")
{
    HoldingFleet fleet;
    HoldingNode node(fleet.address);
    REQUIRE(node.work([&] { return node.hasRead(); }));
    node.duty().addOwn(kThreeEnds);
    node.duty().tick();
    node.duty().addFromPeer(kAnswered, false);
    node.workFor(5s);
    CHECK_FALSE(fleet.hasKey());
}

TEST_CASE("ages: two nodes that wrote a held request both take it back [quarantine]")
{
    HoldingFleet fleet;
    HoldingNode first(fleet.address);
    HoldingNode second(fleet.address);
    REQUIRE(first.work([&] { return first.hasRead(); }));
    REQUIRE(second.work([&] { return second.hasRead(); }));
    for (HoldingNode *it : {&first, &second}) {
        it->duty().addOwn(kThreeEnds);
        it->duty().tick(); // neither has read yet that the other writes
    }
    first.workFor(2s);
    second.workFor(2s);
    REQUIRE(fleet.hasKey());
    second.duty().addOwn(kAnswered);
    first.duty().addFromPeer(kAnswered, false);
    second.workFor(2s);
    first.workFor(2s);
    CHECK_FALSE(fleet.hasKey());
}

TEST_CASE("ages: a key that could not be taken back goes once the store answers [quarantine]")
{
    HoldingFleet fleet;
    HoldingNode node(fleet.address);
    node.duty().addOwn(kThreeEnds);
    REQUIRE(node.work([&] { return fleet.hasKey(); }));
    fleet.store.setDown(true);
    node.duty().addOwn(kAnswered);
    node.workFor(10s);
    REQUIRE(fleet.hasKey());
    fleet.store.setDown(false);
    node.workFor(5s);
    CHECK_FALSE(fleet.hasKey());
}

// The other side: what ends upstreams stays held, also for those that start.
TEST_CASE("ages: a node that starts holds what is held [quarantine]")
{
    HoldingFleet fleet;
    HoldingNode node(fleet.address);
    node.duty().addOwn(kThreeEnds);
    REQUIRE(node.work([&] { return fleet.hasKey(); }));
    node.workFor(60s);
    CHECK(fleet.hasKey());
    CHECK(fleet.isHeldByOneThatStartsNow());
}

// A store of kept context lists what it holds where a node has missed some of its events. An answer
// that lay unread while the node stood still was taken for what the store holds now (events are
// asked for anew in that case, lists were not): 5 s old by this test, where a store's word holds
// for 1.5 s. The node then reads from parts that may have been freed meanwhile.
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
    std::atomic<int> lists{0};
    std::promise<void> mayList;

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
        if (++lists == 1)
            mayList.get_future().wait();
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
        watch.setStores({config});
    }
    ~ListReader() { watch.setStores({}); }

    void runUntil(const std::function<bool()> &holds)
    {
        constexpr int kTurns = 500;
        for (int n = 0; n < kTurns && !holds(); ++n)
            context.run_one_for(10ms);
        REQUIRE(holds());
    }

    net::io_context context;
    ManualClock clock;
    HttpClient caller{context, clock};
    std::vector<std::uint64_t> told; // numbers of next events
    ContextStoreWatcher watch{context, caller, clock, [this](const FleetUpdate &it) {
                                  if (const auto *news = std::get_if<ContextStoreTold>(&it))
                                      told.push_back(news->news.next);
                              }};
};

} // namespace

TEST_CASE("ages: a list of a store that lay unread is asked for anew [standstill][stores]")
{
    ListingStore store;
    ListReader reader(store.address);
    reader.runUntil([&] { return store.lists > 0; });
    reader.clock.advance(5s); // the node stands still while the answer comes
    store.mayList.set_value();
    reader.runUntil([&] { return store.lists > 1 || !reader.told.empty(); });
    CHECK(reader.told.empty());
    // The other side: the next one counts.
    reader.runUntil([&] { return !reader.told.empty(); });
    CHECK(reader.told.front() == 4);
}

TEST_CASE("ages: a list of a store that is read in time counts [stores]")
{
    ListingStore store;
    ListReader reader(store.address);
    reader.runUntil([&] { return store.lists > 0; });
    reader.clock.advance(1s); // slow, but running
    store.mayList.set_value();
    reader.runUntil([&] { return !reader.told.empty(); });
    CHECK(store.lists == 1);
}

// What one thread of a node tells the other waits in a ring: for milliseconds, longer where the
// ring is full, and as long as the node stands still. The word of a store of kept context counted
// from when it was taken out: 3 s old by this test, and the node took it for a word since it woke
// and fetched by it.
namespace {

// The serving thread's state, with one store of kept context in its configuration.
struct ServingThread
{
    ServingThread()
    {
        ContextStore store;
        store.name = "s";
        store.address = "127.0.0.1:1";
        store.capacityTokens = 1'000'000;
        ServingConfig config;
        config.stores.push_back(store);
        traffic.handle(ConfigInForce{std::make_shared<const RouteTable>(std::move(config))});
    }

    // As the other thread puts it into the ring.
    FleetUpdate onStoreChanges() const
    {
        ContextStoreUpdate news;
        news.store = "s";
        news.epoch = 1;
        return ContextStoreTold{news, clock.now()};
    }

    net::io_context context;
    ManualClock clock;
    config::OneProcessSettings settings;
    adapters::Metrics metrics;
    NodeState traffic{context, clock, settings, metrics};
};

} // namespace

TEST_CASE("ages: word of kept context that waited between threads is no word since waking "
          "[standstill][stores]")
{
    ServingThread serving;
    const FleetUpdate waiting = serving.onStoreChanges();
    serving.clock.advance(3s);
    serving.traffic.handle(waiting);
    CHECK(serving.traffic.isRecoveringFromStall());
    // The other side: the next word ends the wait.
    serving.traffic.handle(serving.onStoreChanges());
    CHECK_FALSE(serving.traffic.isRecoveringFromStall());
}

TEST_CASE("ages: words of a store that wait together are as old as the last [stores]")
{
    const auto wordAt = [](Duration time, std::chrono::milliseconds age) {
        ContextStoreUpdate news;
        news.store = "s";
        news.age = age;
        return ContextStoreTold{news, TimePoint{} + time};
    };
    UpdateQueue queue;
    queue.push(wordAt(1s, 300ms));
    queue.push(wordAt(2s, 20ms));
    std::vector<FleetUpdate> taken;
    queue.flush([&](const FleetUpdate &it) {
        taken.push_back(it);
        return true;
    });
    REQUIRE(taken.size() == 1);
    CHECK(std::get<ContextStoreTold>(taken.front()).heard == TimePoint{} + 2s);
    CHECK(std::get<ContextStoreTold>(taken.front()).news.age == 20ms);
}

// Nodes do not send to engines that load by the word of the node that orders them, for a second
// from each word. Relays pass on the last word of a node for two seconds, also after its death, and
// each time it counted as a word of that moment: 10 of 10 in this test, so that the engines stood
// idle for 3 s after the death of who had ordered them, where 1 s is meant.
TEST_CASE("ages: the last word of a node that ordered engines is news once only [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    OrderWords words(clock);
    OrderWord last{0ms, 40ms, {"e"}, {}};
    REQUIRE(words.note("a", last));
    const TimePoint said = clock.now();
    int news = 0;
    for (int n = 1; n <= 10; ++n) {
        clock.advance(200ms);
        last.age += 198ms; // what it takes on its way is lost each time
        news += words.note("a", last) ? 1 : 0;
    }
    CHECK(news == 0);
    CHECK(words.lastSaid("a") == said);
}

TEST_CASE("ages: each new word of a node that orders engines is news [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    OrderWords words(clock);
    std::chrono::milliseconds lastOrder = 40ms;
    REQUIRE(words.note("a", {0ms, lastOrder, {"e"}, {}}));
    for (int n = 0; n < 10; ++n) { // the same engine loads on
        clock.advance(200ms);
        lastOrder += 200ms;
        CHECK(words.note("a", {30ms, lastOrder, {"e"}, {}}));
    }
    clock.advance(10ms);
    CHECK(words.note("a", {0ms, lastOrder + 40ms, {}, {{"e", {{"m", {2, 0ms}}}}}}));
    clock.advance(10ms);
    CHECK(words.note("a", {0ms, 0ms, {"f"}, {{"e", {{"m", {2, 0ms}}}}}}));
}

TEST_CASE("ages: a node that waits before its first order is heard often enough [relays]")
{
    ManualClock clock;
    clock.advance(1h);
    OrderWords words(clock);
    const OrderWord waits{0ms, std::nullopt, {"e"}, {}};
    REQUIRE(words.note("a", waits));
    TimePoint lastNews = clock.now();
    Duration longest{};
    for (int n = 0; n < 20; ++n) {
        clock.advance(200ms);
        if (!words.note("a", waits))
            continue;
        longest = std::max(longest, clock.now() - lastNews);
        lastNews = clock.now();
    }
    CHECK(longest == 400ms); // a second after a word its engines are used again
}
