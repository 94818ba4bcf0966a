// SPDX-License-Identifier: MIT
// Which nodes become relays, and which store changes a relay sends.
#include <algorithm>

#include <doctest/doctest.h>

#include "fordwood/context_store_log.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/relay_role.hpp"
#include "fordwood/rendezvous.hpp"

using namespace fordwood;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t kNodes = 30;

// Every third node has a strong VM.
RelayCandidate candidate(std::size_t n)
{
    return {"node-" + std::to_string(n), n % 3 == 0 ? 50.0 : 12.0};
}

// Nodes of one failure domain that see each other; the platform's store can be unreachable for
// some.
class Domain
{
public:
    Domain()
    {
        for (std::size_t n = 0; n < kNodes; ++n)
            m_roles.emplace_back(m_clock, candidate(n));
        m_reachesStore.assign(kNodes, true);
    }

    void update(std::size_t liveNodes = kNodes)
    {
        std::vector<RelayCandidate> reaching;
        std::vector<RelayCandidate> relays;
        for (std::size_t n = 0; n < kNodes; ++n) {
            if (m_roles[n].isRelay())
                relays.push_back(candidate(n));
            if (m_roles[n].isRelay() && m_reachesStore[n])
                reaching.push_back(candidate(n));
        }
        for (std::size_t n = 0; n < kNodes; ++n) {
            RelayRole::Peers peers{liveNodes, reaching, relays};
            const auto isSelf
                = [n](const RelayCandidate &it) { return it.node == candidate(n).node; };
            std::erase_if(peers.relaysReachingStore, isSelf);
            std::erase_if(peers.relays, isSelf);
            m_roles[n].update(peers);
        }
    }

    void settle(std::size_t liveNodes = kNodes)
    {
        for (int n = 0; n < 10; ++n) {
            update(liveNodes);
            m_clock.advance(1s);
        }
    }

    std::vector<std::size_t> relays() const
    {
        std::vector<std::size_t> found;
        for (std::size_t n = 0; n < kNodes; ++n) {
            if (m_roles[n].isRelay())
                found.push_back(n);
        }
        return found;
    }

    ManualClock m_clock;
    std::vector<RelayRole> m_roles;
    std::vector<bool> m_reachesStore;
};

ContextStoreUpdate makeUpdate(std::uint64_t next, std::vector<StorePartChange> changes)
{
    ContextStoreUpdate update;
    update.store = "s";
    update.epoch = 7;
    update.next = next;
    update.changes = std::move(changes);
    return update;
}

ContextStorePosition position(std::uint64_t next, std::uint64_t epoch = 7)
{
    return {stableHash("s"), epoch, next};
}

} // namespace

// Guards against a fleet that does not come back: while no node had a replica, all became relays.
TEST_CASE("relays: a node takes the role only after it has got a replica and heard of the others "
          "[start]")
{
    ManualClock clock;
    RelayRole::Limits limits;
    limits.discovery = 750ms;
    RelayRole role(clock, candidate(1), limits);
    RelayRole::Peers peers;
    peers.hasReplica = false;
    const auto updateFor = [&](Duration time) {
        for (Duration n{}; n < time; n += 50ms) {
            clock.advance(50ms);
            role.update(peers);
        }
    };
    updateFor(10s);
    CHECK_FALSE(role.isRelay());
    CHECK(role.followsStore());
    peers.hasReplica = true;
    SUBCASE("others are relays")
    {
        peers.liveNodes = kNodes;
        peers.relaysReachingStore = {candidate(0), candidate(3)};
        updateFor(3s);
        CHECK_FALSE(role.isRelay());
        CHECK_FALSE(role.followsStore());
    }
    SUBCASE("no other node is there")
    {
        updateFor(600ms);
        CHECK_FALSE(role.isRelay());
        updateFor(300ms);
        CHECK(role.isRelay());
    }
}

// Guards against weak nodes that become relays after a stall, although no relay was lost.
TEST_CASE("relays: a node that was stalled takes no role over before its peers' messages arrive "
          "[stall]")
{
    ManualClock clock;
    RelayRole::Limits limits;
    limits.discovery = 1s;
    RelayRole role(clock, candidate(1), limits);
    const RelayRole::Peers known{
        kNodes, {candidate(0), candidate(3)}, {candidate(0), candidate(3)}};
    RelayRole::Peers unknown{kNodes, {}, {}};
    unknown.relayGetsStoreChanges = false;
    const auto updateFor = [&](Duration time, const RelayRole::Peers &peers) {
        for (Duration n{}; n < time; n += 100ms) {
            clock.advance(100ms);
            role.update(peers);
        }
    };
    updateFor(3s, known);
    REQUIRE_FALSE(role.isRelay());
    clock.advance(4s); // a stall
    role.recordStall();
    updateFor(900ms, unknown);
    CHECK_FALSE(role.isRelay());
    CHECK_FALSE(role.followsStore());
    SUBCASE("the relays send again")
    {
        updateFor(3s, known);
        CHECK_FALSE(role.isRelay());
    }
    SUBCASE("the relays are lost")
    {
        updateFor(1s, unknown);
        CHECK(role.isRelay());
    }
}

TEST_CASE("relays: two nodes of a large failure domain watch the stores [relays]")
{
    Domain domain;
    domain.update();
    CHECK(domain.relays().size() == kNodes); // none steps down before stepDownDelay has passed
    domain.settle();
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relays: strong VMs are preferred over weak ones [relays]")
{
    Domain domain;
    domain.settle();
    for (const std::size_t it : domain.relays())
        CHECK(candidate(it).strength == 50.0);
}

TEST_CASE("relays: in a small fleet every node watches the stores itself [relays]")
{
    Domain domain;
    domain.settle(8);
    CHECK(domain.relays().size() == kNodes);
}

TEST_CASE("relays: one that cannot reach the store is replaced until it can again [relays]")
{
    Domain domain;
    domain.settle();
    const std::vector<std::size_t> before = domain.relays();
    domain.m_reachesStore[before.front()] = false;
    domain.settle();
    CHECK(domain.relays().size() == 3); // it continues to try
    domain.m_reachesStore[before.front()] = true;
    domain.settle();
    CHECK(domain.relays() == before);
}

TEST_CASE("relays: a node without a relay becomes one at once [relays]")
{
    Domain domain;
    domain.settle();
    RelayRole &role = domain.m_roles[domain.relays().front() == 0 ? 1 : 0];
    role.update({kNodes, {}, {}});
    CHECK(role.isRelay());
    CHECK(role.followsContext());
}

TEST_CASE("relays: no more of them watch the context stores than those can serve [relays]")
{
    Domain domain;
    for (RelayRole &it : domain.m_roles)
        it.setMaxReaders(1);
    domain.settle();
    const auto followers = std::count_if(domain.m_roles.begin(), domain.m_roles.end(),
                                         [](const RelayRole &it) { return it.followsContext(); });
    CHECK(domain.relays().size() == 2);
    CHECK(followers == 1);
}

TEST_CASE(
    "relays: a reader gets the changes it lacks, or all if these are unknown [relays][stores]")
{
    ManualClock clock;
    ContextStoreLog log(clock, {3});
    log.storeAnswered(makeUpdate(10, {}));
    log.storeAnswered(makeUpdate(12, {{"salt", "a", true, 100}, {"salt", "b", true, 200}}));
    log.storeAnswered(makeUpdate(13, {{"salt", "a", false, 0}}));
    clock.advance(300ms);

    const auto lacking = log.updatesSince({position(12)});
    REQUIRE(lacking.size() == 1);
    CHECK_FALSE(lacking[0].isSnapshot);
    REQUIRE(lacking[0].changes.size() == 1);
    CHECK(lacking[0].changes[0].partId == "a");
    CHECK_FALSE(lacking[0].changes[0].held);
    CHECK(lacking[0].next == 13);
    CHECK(lacking[0].age == 300ms); // includes the time since the relay received it

    CHECK(log.updatesSince({position(13)})[0].changes.empty());
    for (const ContextStorePosition &unknown : {position(9), position(13, 6)}) {
        const auto whole = log.updatesSince({unknown});
        CHECK(whole[0].isSnapshot);
        REQUIRE(whole[0].changes.size() == 1);
        CHECK(whole[0].changes[0].partId == "b");
    }
    CHECK(log.updatesSince({})[0].isSnapshot);

    log.storeAnswered(makeUpdate(15, {{"salt", "c", true, 1}, {"salt", "d", true, 1}}));
    CHECK(log.updatesSince({position(10)})[0].isSnapshot); // the oldest changes were dropped
    CHECK_FALSE(log.updatesSince({position(13)})[0].isSnapshot);
}

TEST_CASE("relays: a reader that is ahead is not reset; a silent store is not included "
          "[relays][stores]")
{
    ManualClock clock;
    ContextStoreLog log(clock);
    log.storeAnswered(makeUpdate(10, {}));
    const auto updates = log.updatesSince({position(14)});
    REQUIRE(updates.size() == 1);
    CHECK(updates[0].next == 14);
    CHECK(updates[0].changes.empty());
    log.storeFailed("s");
    CHECK(log.updatesSince({position(10)}).empty());
}

TEST_CASE("relays: the age of a store's data includes its time at the relay [relays][stores]")
{
    ManualClock clock;
    clock.advance(10s);
    ContextDirectory contexts(clock);
    ContextStore store;
    store.name = "s";
    store.address = "10.0.0.1:80";
    contexts.setStores({store});
    ContextStoreUpdate update = makeUpdate(1, {{"salt", "a", true, 100}});
    update.age = 1'400ms;
    contexts.storeAnswered(update);
    CHECK(contexts.hasCurrentStore());
    clock.advance(200ms);
    CHECK_FALSE(contexts.hasCurrentStore());
}

namespace {

// The nodes of a failure domain in a large fleet: each node knows all others by their keys in the
// store, and receives messages of the live relays.
class LargeDomain
{
public:
    LargeDomain()
    {
        RelayRole::Limits limits;
        limits.discovery = 750ms;
        for (std::size_t n = 0; n < kNodes; ++n)
            m_roles.emplace_back(m_clock, candidate(n), limits);
        m_isLive.assign(kNodes, true);
        m_reachesStore.assign(kNodes, true);
    }

    void run(Duration time)
    {
        constexpr Duration kStep = 50ms;
        for (Duration passed{}; passed < time; passed += kStep) {
            m_clock.advance(kStep);
            update();
        }
    }

    std::vector<std::size_t> relays() const
    {
        std::vector<std::size_t> found;
        for (std::size_t n = 0; n < kNodes; ++n) {
            if (m_isLive[n] && m_roles[n].isRelay())
                found.push_back(n);
        }
        return found;
    }

    std::size_t followers() const
    {
        std::size_t count = 0;
        for (std::size_t n = 0; n < kNodes; ++n)
            count += m_isLive[n] && m_roles[n].followsStore() ? 1 : 0;
        return count;
    }

    void stop(const std::vector<std::size_t> &nodes)
    {
        for (const std::size_t it : nodes)
            m_isLive[it] = false;
    }

    ManualClock m_clock;
    std::vector<RelayRole> m_roles;
    std::vector<bool> m_isLive;
    std::vector<bool> m_reachesStore; // by the platform's store

private:
    std::size_t higherRanked(std::size_t n) const
    {
        std::vector<RelayCandidate> others;
        for (std::size_t it = 0; it < kNodes; ++it) {
            if (it != n)
                others.push_back(candidate(it));
        }
        return strengthRank("relay", candidate(n), others);
    }

    void update()
    {
        const auto live = relays();
        bool storeReached = false;
        for (std::size_t n = 0; n < kNodes; ++n)
            storeReached
                = storeReached || (m_isLive[n] && m_roles[n].followsStore() && m_reachesStore[n]);
        for (std::size_t n = 0; n < kNodes; ++n) {
            if (!m_isLive[n])
                continue;
            RelayRole::Peers peers;
            peers.liveNodes = kNodes;
            peers.relayReachesStore = false;
            peers.relayGetsStoreChanges = !live.empty() && storeReached;
            for (const std::size_t it : live) {
                if (it == n)
                    continue;
                peers.relaysReachingStore.push_back(candidate(it));
                peers.relays.push_back(candidate(it));
                peers.relayReachesStore = peers.relayReachesStore || m_reachesStore[it];
            }
            peers.higherRanked = higherRanked(n);
            peers.reachesStore = m_reachesStore[n];
            m_roles[n].update(peers);
        }
    }
};

} // namespace

TEST_CASE("relays: if all nodes of a large fleet start at once, two per domain become relays "
          "[relays][sums]")
{
    LargeDomain domain;
    domain.run(700ms);
    CHECK(domain.relays().empty());
    CHECK(domain.followers() == kNodes); // until they have discovered each other
    domain.run(100ms);
    CHECK(domain.relays().size() == 2);
    domain.run(2s);
    CHECK(domain.relays().size() == 2);
    CHECK(domain.followers() == 2);
}

TEST_CASE("relays: a failed relay is replaced by few nodes, and quickly [relays][sums]")
{
    LargeDomain domain;
    domain.run(3s);
    domain.stop({domain.relays().front()});
    domain.run(400ms);
    CHECK(domain.relays().size() >= 2);
    CHECK(domain.relays().size() <= 4);
    domain.run(3s);
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relays: others take over within a second even if most of a domain failed "
          "[relays][sums]")
{
    LargeDomain domain;
    domain.run(3s);
    std::vector<std::size_t> failed;
    for (std::size_t n = 0; n < kNodes; ++n) {
        if (candidate(n).strength > 20.0 || n % 2 == 0)
            failed.push_back(n); // all strong ones and half of the others
    }
    domain.stop(failed);
    domain.run(1s);
    CHECK(domain.relays().size() >= 2);
    CHECK(domain.relays().size() <= 8);
    domain.run(3s);
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relays: if the relays cannot reach the store, some nodes that can read it too "
          "[relays][sums]")
{
    LargeDomain domain;
    domain.run(3s);
    domain.m_reachesStore.assign(kNodes, false);
    domain.run(200ms);
    const auto relays = domain.relays();
    for (std::size_t n = 0; n < kNodes; ++n)
        domain.m_reachesStore[n] = std::find(relays.begin(), relays.end(), n) == relays.end();
    domain.run(2s);
    const std::size_t asking = domain.followers();
    CHECK(asking >= 3);
    CHECK(asking <= 6); // not all of them
    domain.run(3s);
    CHECK(domain.followers() == asking); // as long as the relays cannot reach it
    domain.m_reachesStore.assign(kNodes, true);
    domain.run(1s);
    CHECK(domain.followers() == 2);
    CHECK(domain.relays().size() == 2);
}
