// SPDX-License-Identifier: MIT
// Until when parts of old weights may be fetched, and from when on they may be freed.
#include <doctest/doctest.h>

#include <algorithm>
#include <array>
#include <deque>
#include <random>
#include <string>
#include <vector>

#include "fordwood/context_directory.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/old_context_cleaner.hpp"
#include "fordwood/old_context_times.hpp"
#include "fordwood/replica_freshness.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

const TimePoint kNow{1h};
const std::string kSalt = contextSalt("m", 1, "");

std::vector<std::string> someParts()
{
    constexpr int kParts = 200;
    std::vector<std::string> parts;
    parts.reserve(kParts);
    for (int n = 0; n < kParts; ++n)
        parts.push_back("part-" + std::to_string(n));
    return parts;
}

} // namespace

TEST_CASE("old context: how long a part may be fetched depends on what a node knows [stores]")
{
    const std::string part = "p";
    const Duration use = OldContextTimes::useTimeOf(part);
    struct Case
    {
        const char *name;
        std::optional<EventTime> superseded;
        std::optional<TimePoint> completeAsOf;
        std::optional<TimePoint> until;
    };
    const std::vector<Case> cases{
        {"knows all weights up to now", std::nullopt, kNow, kNow + use},
        {"has known nothing for 5 s", std::nullopt, kNow - 5s, kNow - 5s + use},
        {"has just started", std::nullopt, std::nullopt, std::nullopt},
        {"saw the naming", EventTime::at(kNow - 1s), kNow, kNow - 1s + use},
        {"saw it, and is cut off since", EventTime::at(kNow - 1s), kNow - 1s, kNow - 1s + use},
        {"saw it, and the store was restored", EventTime::at(kNow - 1s), std::nullopt,
         kNow - 1s + use},
        {"knows bounds", EventTime{kNow - 4s, kNow - 1s}, kNow, kNow - 4s + use},
        {"does not know since when", EventTime{std::nullopt, kNow}, kNow, std::nullopt},
    };
    for (const Case &it : cases) {
        CAPTURE(it.name);
        CHECK(OldContextTimes::fetchUntil(part, it.superseded, it.completeAsOf) == it.until);
    }
}

TEST_CASE("old context: a part is freed from the latest time at which it may have been replaced "
          "[stores]")
{
    const Duration unused = OldContextTimes::unusedAfter("p");
    CHECK(OldContextTimes::freeFrom("p", EventTime::at(kNow)) == kNow + unused);
    CHECK(OldContextTimes::freeFrom("p", {kNow - 9s, kNow}) == kNow + unused);
    CHECK(OldContextTimes::freeFrom("p", {std::nullopt, kNow}) == kNow + unused);
}

// Guards against a change of one side's times alone.
TEST_CASE("old context: no fetch that nodes may start still runs when the part is freed [stores]")
{
    const TimePoint named = kNow;
    // What a node believes at most of weights that were named at that time.
    const TimePoint believed = named + OldContextTimes::kMaxAgeError;
    for (const std::string &it : someParts()) {
        const auto withoutNews = OldContextTimes::fetchUntil(it, std::nullopt, believed);
        const auto withNews = OldContextTimes::fetchUntil(it, EventTime::at(believed), believed);
        const TimePoint freed = OldContextTimes::freeFrom(it, EventTime::at(named));
        CHECK(*withoutNews + OldContextTimes::kMaxFetchTime + OldContextTimes::kMargin <= freed);
        CHECK(*withNews + OldContextTimes::kMaxFetchTime + OldContextTimes::kMargin <= freed);
        // Engines change to new weights within this time.
        CHECK(OldContextTimes::useTimeOf(it) >= 3500ms);
        CHECK(OldContextTimes::useTimeOf(it) <= 10s);
    }
}

// The same for the parts that use these times: a directory that fetches as long as it may, and a
// cleaner that frees as soon as it may.
TEST_CASE("old context: a directory without news stops fetching before the cleaner frees [stores]")
{
    for (const std::string part : {"a", "b", "c", "d", "e"}) {
        ManualClock clock;
        ContextDirectory directory(clock);
        OldContextCleaner cleaner(clock);
        ContextStore store;
        store.name = "s";
        store.address = "10.0.0.1:80";
        directory.setStores({store});
        ContextStoreUpdate update;
        update.store = "s";
        update.epoch = 1;
        update.changes = {{kSalt, part, true, 10}};
        cleaner.storeAnswered(update);
        directory.setReplicaCompleteAsOf(clock.now() + OldContextTimes::kMaxAgeError);
        WeightHistory history;
        history.record(2, {EventTime::at(clock.now()), 1});
        cleaner.setWeights("m", history);
        const FencedLock::Holding holding{1, {}, {}, TimePoint::max()};
        std::optional<TimePoint> lastFetch;
        while (cleaner.tick(holding).empty()) {
            directory.storeAnswered(update);
            if (!directory.holderOf(kSalt, part).address.empty())
                lastFetch = clock.now();
            clock.advance(10ms);
        }
        REQUIRE(lastFetch);
        CHECK(clock.now() - *lastFetch
              >= OldContextTimes::kMaxFetchTime + OldContextTimes::kMargin);
    }
}

// Guards against fetches without a deadline, which could still run when their part is freed.
TEST_CASE("old context: nothing is fetched from a managed store whose clock is not known "
          "[stores]")
{
    ManualClock clock;
    ContextDirectory directory(clock);
    ContextStore store;
    store.name = "s";
    store.address = "10.0.0.1:80";
    store.managed = true;
    directory.setStores({store});
    directory.setReplicaCompleteAsOf(clock.now());
    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 1;
    update.changes = {{kSalt, "p", true, 10}};
    directory.storeAnswered(update);
    CHECK(directory.holderOf(kSalt, "p").address.empty());
    update.clock = 5s;
    directory.storeAnswered(update);
    CHECK(directory.holderOf(kSalt, "p").address == store.address);
}

TEST_CASE("old context: a cut-off node saves what it may still fetch, whatever comes [stores]")
{
    ManualClock clock;
    ContextDirectory directory(clock);
    ContextStore store;
    store.name = "s";
    store.address = "10.0.0.1:80";
    store.capacityTokens = 100'000;
    directory.setStores({store});
    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 1;
    const PromptPart part{"p", 5'000};
    const auto target = [&] {
        directory.storeAnswered(update);
        return directory.storeForSave(kSalt, part, part.tokens, "");
    };
    directory.setReplicaCompleteAsOf(clock.now());
    clock.advance(OldContextTimes::useTimeOf(part.id) - 1ms);
    CHECK(target() == store.address);
    clock.advance(1ms);
    CHECK(target().empty());
}

namespace {

// Nodes that tell each other how complete their replicas of the store are. Cuts divide them into
// groups, and only some nodes read the store.
class CutFleet
{
public:
    explicit CutFleet(std::uint64_t seed) : m_random(seed)
    {
        for (std::size_t n = 0; n < kNodes; ++n)
            m_nodes.emplace_back(m_clock);
    }

    // Runs for 100 ms. Returns how much younger than it is some node takes the oldest weights that
    // it does not know, at most.
    Duration step()
    {
        m_clock.advance(100ms);
        if (chance(0.02))
            divide();
        if (chance(0.02)) {
            m_storeVersion.revision += 1;
            m_named[m_storeVersion] = m_clock.now();
        }
        for (std::size_t n = 0; n < kNodes; ++n)
            act(n);
        deliver();
        Duration error{};
        for (const Node &it : m_nodes)
            error = std::max(error, errorOf(it));
        return error;
    }

private:
    static constexpr std::size_t kNodes = 7;
    static constexpr std::size_t kReaders = 3; // the other nodes never read the store

    struct Node
    {
        explicit Node(const Clock &clock) : freshness(clock) { }

        StoreVersion version{1, 0};
        ReplicaFreshness freshness;
        int group = 0;
    };
    struct Message
    {
        std::size_t to = 0;
        TimePoint arrives{};
        StoreVersion version;
        Duration age{};
        ReplicaFreshness::Evidence evidence{};
    };

    bool chance(double p) { return std::uniform_real_distribution<>()(m_random) < p; }

    // Group 0 reaches the store.
    void divide()
    {
        for (Node &it : m_nodes)
            it.group = chance(0.5) ? 0 : 1;
    }

    void act(std::size_t n)
    {
        Node &node = m_nodes[n];
        node.freshness.tick();
        if (n < kReaders && node.group == 0 && chance(0.2)) {
            reach(node, m_storeVersion);
            node.freshness.storeAnswered(m_clock.now());
        }
        for (std::size_t to = 0; to < kNodes; ++to) {
            if (to == n || m_nodes[to].group != node.group)
                continue;
            if (const auto age = node.freshness.ageFromStore())
                send(to, node.version, *age, ReplicaFreshness::Evidence::Store);
            if (const auto age = node.freshness.ageFromReader())
                send(to, node.version, *age, ReplicaFreshness::Evidence::Peer);
        }
    }

    // A message may wait for almost as long as a stall that is noticed.
    void send(std::size_t to, const StoreVersion &version, Duration age,
              ReplicaFreshness::Evidence evidence)
    {
        const auto delay = std::uniform_int_distribution<>(0, 900)(m_random);
        m_messages.push_back(
            {to, m_clock.now() + std::chrono::milliseconds(delay), version, age, evidence});
    }

    void deliver()
    {
        std::erase_if(m_messages, [this](const Message &it) {
            if (it.arrives > m_clock.now())
                return false;
            Node &node = m_nodes[it.to];
            node.freshness.peerWasComplete(it.version, it.age, it.evidence);
            if (it.version > node.version && chance(0.3)) // changes are fetched with some delay
                reach(node, it.version);
            return true;
        });
    }

    static void reach(Node &node, const StoreVersion &version)
    {
        node.version = std::max(node.version, version);
        node.freshness.replicaReached(node.version);
    }

    Duration errorOf(const Node &node) const
    {
        const auto completeAsOf = node.freshness.completeAsOf();
        const auto unknown = m_named.upper_bound(node.version);
        if (!completeAsOf || unknown == m_named.end())
            return Duration::zero();
        return *completeAsOf - unknown->second;
    }

    std::mt19937_64 m_random;
    ManualClock m_clock;
    std::deque<Node> m_nodes;
    std::vector<Message> m_messages;
    StoreVersion m_storeVersion{1, 0};
    std::map<StoreVersion, TimePoint> m_named; // when each version of the store was written
};

} // namespace

// Guards against nodes that keep each other's belief alive that no new weights have been named.
TEST_CASE("old context: nodes that hear each other, but not the store, do not take their knowledge "
          "for current [stores][random]")
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        CutFleet fleet(seed);
        Duration worst{};
        for (int n = 0; n < 3'000; ++n)
            worst = std::max(worst, fleet.step());
        CAPTURE(seed);
        CHECK(worst <= OldContextTimes::kMaxAgeError);
    }
}
