// SPDX-License-Identifier: MIT
#include "fordwood/store_replica.hpp"

#include <doctest/doctest.h>

#include <map>
#include <random>

using namespace fordwood;

namespace {

StoredItem makeItem(const std::string &key, std::int64_t revision, const std::string &value)
{
    return {key, revision, revision, value};
}

StoredItem removedItem(const std::string &key, std::int64_t revision)
{
    return {key, revision, 0, std::nullopt};
}

} // namespace

TEST_CASE("replica: an older value never replaces a newer one [versions]")
{
    StoreReplica replica;
    REQUIRE(replica.merge({0, 10, {makeItem("config", 10, "new")}}));
    const auto changed = replica.merge({5, 9, {makeItem("config", 9, "old")}});
    REQUIRE(changed);
    CHECK(changed->empty());
    CHECK(replica.find("config")->value == "new");
    CHECK(replica.version().revision == 10);
}

TEST_CASE("replica: an older snapshot does not bring back a removed key [versions][leaving]")
{
    StoreReplica replica;
    REQUIRE(replica.merge({0, 10, {makeItem("upstream", 8, "ready")}}));
    REQUIRE(replica.merge({10, 12, {removedItem("upstream", 12)}}));
    const auto changed = replica.merge({0, 10, {makeItem("upstream", 8, "ready")}});
    REQUIRE(changed);
    CHECK(changed->empty());
    CHECK(replica.find("upstream") == nullptr);
}

TEST_CASE("replica: a snapshot shows which keys were removed in a gap [history]")
{
    StoreReplica replica;
    REQUIRE(replica.merge({0, 10, {makeItem("a", 8, "1"), makeItem("b", 9, "2")}}));
    const auto changed = replica.merge({0, 20, {makeItem("a", 8, "1"), makeItem("c", 15, "3")}});
    REQUIRE(changed);
    CHECK(changed->size() == 2);
    CHECK(replica.find("a") != nullptr);
    CHECK(replica.find("b") == nullptr);
    CHECK(replica.find("c") != nullptr);
    CHECK(replica.size() == 2);
}

TEST_CASE("replica: changes that would leave a gap are not merged [history]")
{
    StoreReplica replica;
    REQUIRE(replica.merge({0, 10, {}}));
    CHECK_FALSE(replica.merge({15, 20, {makeItem("a", 20, "1")}}));
    CHECK(replica.version().revision == 10);
}

TEST_CASE("replica: a lagging peer is sent the changes it does not have, including removals "
          "[peers]")
{
    StoreReplica ahead;
    REQUIRE(ahead.merge({0, 10, {makeItem("a", 8, "1"), makeItem("b", 9, "2")}}));
    StoreReplica behind;
    REQUIRE(behind.merge(ahead.changesSince({})));
    REQUIRE(ahead.merge({10, 12, {removedItem("a", 11), makeItem("b", 12, "3")}}));
    const StoreChanges changes = ahead.changesSince(behind.version());
    CHECK(changes.since == 10);
    REQUIRE(behind.merge(changes));
    CHECK(behind.find("a") == nullptr);
    CHECK(behind.find("b")->value == "3");
    CHECK(behind.version().revision == 12);
}

TEST_CASE("replica: a peer that lags further than removals are kept is sent a snapshot [peers]")
{
    constexpr int kKeys = 3'000;
    StoreReplica ahead;
    REQUIRE(ahead.merge({0, 1, {makeItem("kept", 1, "1")}}));
    StoreReplica behind;
    REQUIRE(behind.merge({0, 2, {makeItem("kept", 1, "1"), makeItem("key0", 2, "x")}}));
    std::int64_t revision = 1;
    for (int n = 0; n < kKeys; ++n) {
        const std::string key = "key" + std::to_string(n);
        REQUIRE(ahead.merge({revision, revision + 1, {makeItem(key, revision + 1, "x")}}));
        REQUIRE(ahead.merge({revision + 1, revision + 2, {removedItem(key, revision + 2)}}));
        revision += 2;
    }
    const StoreChanges changes = ahead.changesSince(behind.version());
    CHECK(changes.since == 0);
    REQUIRE(behind.merge(changes));
    CHECK(behind.find("key0") == nullptr);
    CHECK(behind.find("kept") != nullptr);
}

TEST_CASE("replica: a snapshot of a restored store replaces a replica with higher revisions "
          "[store][restored]")
{
    StoreReplica replica;
    REQUIRE(replica.merge({0, 90, {makeItem("a", 80, "x"), makeItem("b", 90, "x")}, 1}));
    CHECK_FALSE(replica.merge(
        {70, 71, {makeItem("c", 71, "x")}, 2})); // not a snapshot, so the other keys are unknown
    const auto changed = replica.merge({0, 60, {makeItem("a", 40, "w")}, 2});
    REQUIRE(changed);
    CHECK(replica.version() == StoreVersion{2, 60});
    CHECK(replica.find("b") == nullptr);
    REQUIRE(replica.merge({60, 61, {makeItem("a", 61, "y")}, 2}));
    CHECK(replica.find("a")->revision == 61);
    SUBCASE("changes of an earlier epoch are not merged")
    {
        CHECK(replica.merge({0, 99, {makeItem("a", 95, "z")}, 1})->empty());
        CHECK(replica.find("a")->revision == 61);
        CHECK(replica.changesSince({1, 61}).since == 0);
    }
    SUBCASE("the store is restored again")
    {
        REQUIRE(replica.merge({0, 50, {}, 4}));
        CHECK(replica.find("a") == nullptr);
        CHECK(replica.version() == StoreVersion{4, 50});
    }
}

TEST_CASE("replica: a key that a restored store showed and then lost is not accepted with the "
          "deferred states [store][restored]")
{
    const struct : RestorePolicy
    {
        bool isOlder(const StoredItem &held, const StoredItem &read) const override
        {
            return !held.value && read.value;
        }
    } policy;
    StoreReplica replica(policy);
    REQUIRE(replica.merge({0, 90, {makeItem("a", 80, "x")}, 1}));
    REQUIRE(replica.merge({90, 91, {removedItem("a", 91)}, 1}));
    REQUIRE(replica.merge({0, 85, {makeItem("a", 80, "x")}, 2}));
    CHECK(replica.find("a") == nullptr);
    REQUIRE(replica.merge({0, 95, {}, 2}));
    CHECK(replica.acceptDeferred().empty());
    CHECK(replica.find("a") == nullptr);
}

namespace {

// A replica of a store with many upstreams.
constexpr int kManyKeys = 10'000;

void fill(StoreReplica &replica)
{
    StoreChanges snapshot{0, kManyKeys, {}};
    for (int n = 0; n < kManyKeys; ++n)
        snapshot.items.push_back(makeItem("upstream-" + std::to_string(n), n + 1, "ready"));
    REQUIRE(replica.merge(snapshot));
}

} // namespace

// Guards against relays that are busy with reading all keys for each read of each of their peers.
TEST_CASE("replica: merging and reading a change costs the same however many keys there are [size]")
{
    StoreReplica replica;
    fill(replica);
    const std::uint64_t before = replica.itemsVisited();
    constexpr int kChanges = 100;
    for (int n = 0; n < kChanges; ++n) {
        const std::int64_t revision = kManyKeys + n + 1;
        REQUIRE(replica.merge({revision - 1, revision, {makeItem("upstream-7", revision, "x")}}));
        const StoreChanges changes = replica.changesSince({0, revision - 1});
        REQUIRE(changes.items.size() == 1);
        CHECK(changes.items.front().revision == revision);
    }
    CHECK(replica.itemsVisited() - before <= 2 * kChanges);
}

TEST_CASE(
    "replica: changes since any revision are those with a later one, through writes, removals "
    "and snapshots [size][history]")
{
    std::minstd_rand random(7);
    StoreReplica replica;
    std::map<std::string, StoredItem> expected;
    REQUIRE(replica.merge({0, 1, {makeItem("key-0", 1, "first")}}));
    expected["key-0"] = makeItem("key-0", 1, "first");
    for (std::int64_t revision = 2; revision < 400; ++revision) {
        const std::string key = "key-" + std::to_string(random() % 40);
        const StoredItem item = random() % 4 == 0
                                    ? removedItem(key, revision)
                                    : makeItem(key, revision, std::to_string(revision));
        REQUIRE(replica.merge({revision - 1, revision, {item}}));
        expected[key] = item;
        const std::int64_t since = 1 + static_cast<std::int64_t>(random()) % revision;
        std::size_t later = 0;
        for (const auto &[name, it] : expected)
            later += it.revision > since ? 1 : 0;
        const StoreChanges changes = replica.changesSince({0, since});
        CHECK(changes.items.size() == later);
        for (const StoredItem &it : changes.items)
            CHECK(it == expected.at(it.key));
    }
}
