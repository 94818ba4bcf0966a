// SPDX-License-Identifier: MIT
// Who follows the stores for others, and what a relay tells.
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

// A third of the nodes have strong VMs.
RelayCandidate candidate(std::size_t n)
{
    return {"node-" + std::to_string(n), n % 3 == 0 ? 50.0 : 12.0};
}

// Nodes of one failure domain that see each other, and whether the platform's store answers them.
class Domain
{
public:
    Domain()
    {
        for (std::size_t n = 0; n < kNodes; ++n)
            m_roles.emplace_back(m_clock, candidate(n));
        m_isAnswered.assign(kNodes, true);
    }

    void update(std::size_t liveNodes = kNodes)
    {
        std::vector<RelayCandidate> reaching;
        std::vector<RelayCandidate> relays;
        for (std::size_t n = 0; n < kNodes; ++n) {
            if (m_roles[n].isRelay())
                relays.push_back(candidate(n));
            if (m_roles[n].isRelay() && m_isAnswered[n])
                reaching.push_back(candidate(n));
        }
        for (std::size_t n = 0; n < kNodes; ++n) {
            RelayRole::Peers peers{liveNodes, reaching, relays};
            const auto isSelf
                = [n](const RelayCandidate &it) { return it.node == candidate(n).node; };
            std::erase_if(peers.reachingInDomain, isSelf);
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
    std::vector<bool> m_isAnswered;
};

StoreNews news(std::uint64_t next, std::vector<StorePartChange> changes)
{
    StoreNews told;
    told.store = "s";
    told.epoch = 7;
    told.next = next;
    told.changes = std::move(changes);
    return told;
}

ContextStorePosition position(std::uint64_t next, std::uint64_t epoch = 7)
{
    return {stableHash("s"), epoch, next};
}

} // namespace

TEST_CASE("relays: two nodes of a large failure domain follow the stores [relays]")
{
    Domain domain;
    domain.update();
    CHECK(domain.relays().size() == kNodes); // none steps down before others have proved themselves
    domain.settle();
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relays: weak VMs leave the work to strong ones [relays]")
{
    Domain domain;
    domain.settle();
    for (const std::size_t it : domain.relays())
        CHECK(candidate(it).strength == 50.0);
}

TEST_CASE("relays: in a small fleet every node follows the stores itself [relays]")
{
    Domain domain;
    domain.settle(8);
    CHECK(domain.relays().size() == kNodes);
}

TEST_CASE("relays: one that the store does not answer is replaced, and steps in again [relays]")
{
    Domain domain;
    domain.settle();
    const std::vector<std::size_t> before = domain.relays();
    domain.m_isAnswered[before.front()] = false;
    domain.settle();
    CHECK(domain.relays().size() == 3); // it goes on trying
    domain.m_isAnswered[before.front()] = true;
    domain.settle();
    CHECK(domain.relays() == before);
}

TEST_CASE("relays: a node that hears no relay becomes one at once [relays]")
{
    Domain domain;
    domain.settle();
    RelayRole &role = domain.m_roles[domain.relays().front() == 0 ? 1 : 0];
    role.update({kNodes, {}, {}});
    CHECK(role.isRelay());
    CHECK(role.followsContext());
}

TEST_CASE("relays: no more of them follow the stores of kept context than those serve [relays]")
{
    Domain domain;
    for (RelayRole &it : domain.m_roles)
        it.setMostReaders(1);
    domain.settle();
    const auto followers = std::count_if(domain.m_roles.begin(), domain.m_roles.end(),
                                         [](const RelayRole &it) { return it.followsContext(); });
    CHECK(domain.relays().size() == 2);
    CHECK(followers == 1);
}

TEST_CASE("relays: a reader is told what it lacks, and all when that is not known [relays][stores]")
{
    ManualClock clock;
    ContextStoreLog log(clock, {3});
    log.storeAnswered(news(10, {}));
    log.storeAnswered(news(12, {{"salt", "a", true, 100}, {"salt", "b", true, 200}}));
    log.storeAnswered(news(13, {{"salt", "a", false, 0}}));
    clock.advance(300ms);

    const auto lacking = log.updatesSince({position(12)});
    REQUIRE(lacking.size() == 1);
    CHECK_FALSE(lacking[0].restated);
    REQUIRE(lacking[0].changes.size() == 1);
    CHECK(lacking[0].changes[0].partId == "a");
    CHECK_FALSE(lacking[0].changes[0].held);
    CHECK(lacking[0].next == 13);
    CHECK(lacking[0].age == 300ms); // the store's word is as old as it is for the relay

    CHECK(log.updatesSince({position(13)})[0].changes.empty());
    for (const ContextStorePosition &unknown : {position(9), position(13, 6)}) {
        const auto whole = log.updatesSince({unknown});
        CHECK(whole[0].restated);
        REQUIRE(whole[0].changes.size() == 1);
        CHECK(whole[0].changes[0].partId == "b");
    }
    CHECK(log.updatesSince({})[0].restated);

    log.storeAnswered(news(15, {{"salt", "c", true, 1}, {"salt", "d", true, 1}}));
    CHECK(log.updatesSince({position(10)})[0].restated); // the oldest changes are no longer known
    CHECK_FALSE(log.updatesSince({position(13)})[0].restated);
}

TEST_CASE("relays: a reader that is ahead is not set back; a silent store is not told of "
          "[relays][stores]")
{
    ManualClock clock;
    ContextStoreLog log(clock);
    log.storeAnswered(news(10, {}));
    const auto told = log.updatesSince({position(14)});
    REQUIRE(told.size() == 1);
    CHECK(told[0].next == 14);
    CHECK(told[0].changes.empty());
    log.storeFailed("s");
    CHECK(log.updatesSince({position(10)}).empty());
}

TEST_CASE("relays: a relay's word of a store is no fresher than the store's own [relays][stores]")
{
    ManualClock clock;
    clock.advance(10s);
    ContextDirectory contexts(clock);
    ContextStore store;
    store.name = "s";
    store.address = "10.0.0.1:80";
    contexts.setStores({store});
    StoreNews told = news(1, {{"salt", "a", true, 100}});
    told.age = 1'400ms;
    contexts.storeAnswered(told);
    CHECK(contexts.hasWord());
    clock.advance(200ms);
    CHECK_FALSE(contexts.hasWord());
}

namespace {

// The nodes of a failure domain as they see each other in a large fleet: each knows all by their
// keys, and hears the relays that live.
class QuietDomain
{
public:
    QuietDomain()
    {
        RelayRole::Limits limits;
        limits.learning = 750ms;
        for (std::size_t n = 0; n < kNodes; ++n)
            m_roles.emplace_back(m_clock, candidate(n), limits);
        m_isLive.assign(kNodes, true);
        m_isAnswered.assign(kNodes, true);
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
    std::vector<bool> m_isAnswered; // by the platform's store

private:
    std::size_t knownBefore(std::size_t n) const
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
        bool hears = false;
        for (std::size_t n = 0; n < kNodes; ++n)
            hears = hears || (m_isLive[n] && m_roles[n].followsStore() && m_isAnswered[n]);
        for (std::size_t n = 0; n < kNodes; ++n) {
            if (!m_isLive[n])
                continue;
            RelayRole::Peers peers;
            peers.liveNodes = kNodes;
            peers.relayAnswered = false;
            peers.relayHears = !live.empty() && hears;
            for (const std::size_t it : live) {
                if (it == n)
                    continue;
                peers.reachingInDomain.push_back(candidate(it));
                peers.relays.push_back(candidate(it));
                peers.relayAnswered = peers.relayAnswered || m_isAnswered[it];
            }
            peers.knownBefore = knownBefore(n);
            peers.isAnswered = m_isAnswered[n];
            m_roles[n].update(peers);
        }
    }
};

} // namespace

TEST_CASE("relays: of a large fleet that starts at once only two nodes of a domain become relays "
          "[relays][sums]")
{
    QuietDomain domain;
    domain.run(700ms);
    CHECK(domain.relays().empty());
    CHECK(domain.followers() == kNodes); // each reads the store once
    domain.run(100ms);
    CHECK(domain.relays().size() == 2);
    domain.run(2s);
    CHECK(domain.relays().size() == 2);
    CHECK(domain.followers() == 2);
}

TEST_CASE("relays: few stand in for a relay that is gone, and at once [relays][sums]")
{
    QuietDomain domain;
    domain.run(3s);
    domain.stop({domain.relays().front()});
    domain.run(400ms);
    CHECK(domain.relays().size() >= 2);
    CHECK(domain.relays().size() <= 4);
    domain.run(3s);
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relays: however many of a domain are gone, others stand in within a second "
          "[relays][sums]")
{
    QuietDomain domain;
    domain.run(3s);
    std::vector<std::size_t> gone;
    for (std::size_t n = 0; n < kNodes; ++n) {
        if (candidate(n).strength > 20.0 || n % 2 == 0)
            gone.push_back(n); // all strong ones, and half of the others
    }
    domain.stop(gone);
    domain.run(1s);
    CHECK(domain.relays().size() >= 2);
    CHECK(domain.relays().size() <= 8);
    domain.run(3s);
    CHECK(domain.relays().size() == 2);
}

TEST_CASE("relays: where the store answers only others, a node that it answers asks it too "
          "[relays][sums]")
{
    QuietDomain domain;
    domain.run(3s);
    domain.m_isAnswered.assign(kNodes, false);
    domain.run(200ms);
    const auto relays = domain.relays();
    for (std::size_t n = 0; n < kNodes; ++n)
        domain.m_isAnswered[n] = std::find(relays.begin(), relays.end(), n) == relays.end();
    domain.run(2s);
    const std::size_t asking = domain.followers();
    CHECK(asking >= 3);
    CHECK(asking <= 6); // not all of them
    domain.run(3s);
    CHECK(domain.followers() == asking); // it goes on while the relays are not answered
    domain.m_isAnswered.assign(kNodes, true);
    domain.run(1s);
    CHECK(domain.followers() == 2);
    CHECK(domain.relays().size() == 2);
}
