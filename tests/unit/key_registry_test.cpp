// SPDX-License-Identifier: MIT
#include "fordwood/key_registry.hpp"

#include <doctest/doctest.h>

#include "fordwood/manual_clock.hpp"

using namespace fordwood;
using namespace std::chrono_literals;
using Decision = ClaimAnswer::Decision;

namespace {

const KeyHolder kSelf{"a", 1};
const KeyHolder kOther{"b", 1};

IdempotencyKey keyAt(const ManualClock &clock, Duration offset, const std::string &text = "k",
                     const std::string &team = "t")
{
    return {team, text,
            clock.wallNow() + std::chrono::duration_cast<std::chrono::milliseconds>(offset)};
}

struct Fixture
{
    ManualClock clock;
    KeyRegistry registry{kSelf, clock, KeyRegistry::Limits{}};

    // Sets the same chain for every partition.
    void setChains(const TenureChain &chain)
    {
        for (std::uint32_t it = 0; it < kKeyPartitions; ++it)
            registry.setChain(it, chain);
    }

    Tenure tenure(const KeyHolder &holder, Duration from, Duration until) const
    {
        return {holder, keyAt(clock, from).issued, keyAt(clock, until).issued};
    }
};

} // namespace

TEST_CASE("keys: the issue time is parsed from a version 7 UUID and from nothing else [keys]")
{
    const auto time = issueTimeOf("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    REQUIRE(time);
    CHECK(time->time_since_epoch().count() == 0x017f22e279b0);
    for (const char *it :
         {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
          "017f22e279b07cc398c4dc0c0c07398f----", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g"})
        CHECK_FALSE(issueTimeOf(it));
}

TEST_CASE("keys: a key runs once, and a repetition gets the stored response [keys][at-most-once]")
{
    Fixture fixture;
    fixture.setChains({fixture.tenure(kSelf, -10s, 10s)});
    const IdempotencyKey key = keyAt(fixture.clock, 0s);
    CHECK(fixture.registry.claim(1, key).decision == Decision::Run);
    const ClaimAnswer early = fixture.registry.claim(2, key);
    CHECK(early.decision == Decision::Refuse);
    CHECK(early.state == RunState::MayHaveRun);
    fixture.registry.finish(1, key, RunState::Ran, {200, "text/plain", "done"});
    const ClaimAnswer late = fixture.registry.claim(2, key);
    CHECK(late.decision == Decision::Answer);
    CHECK(late.answer.body == "done");
    // The same key text of another team is another key.
    CHECK(fixture.registry.claim(3, keyAt(fixture.clock, 0s, "k", "u")).decision == Decision::Run);
}

TEST_CASE("keys: a key may be claimed again if it did not run, but not if it may have run [keys]")
{
    Fixture fixture;
    fixture.setChains({fixture.tenure(kSelf, -10s, 10s)});
    const IdempotencyKey key = keyAt(fixture.clock, 0s);
    fixture.registry.claim(1, key);
    fixture.registry.finish(1, key, RunState::NotRun, {});
    CHECK(fixture.registry.claim(2, key).decision == Decision::Run);
    fixture.registry.dropClaimant(2); // the connection of the claimant is lost while the call runs
    const ClaimAnswer answer = fixture.registry.claim(3, key);
    CHECK(answer.decision == Decision::Refuse);
    CHECK(answer.state == RunState::MayHaveRun);
    // A late report of the lost claimant changes nothing.
    fixture.registry.finish(2, key, RunState::NotRun, {});
    CHECK(fixture.registry.claim(3, key).decision == Decision::Refuse);
}

TEST_CASE("keys: outside its own tenure a node grants nothing and never reports not-run [keys]")
{
    Fixture fixture;
    fixture.setChains({fixture.tenure(kOther, -20s, -5s), fixture.tenure(kSelf, -5s, 10s)});
    fixture.registry.setLiveMembers({{"a", 1}, {"b", 1}});
    const ClaimAnswer before = fixture.registry.claim(1, keyAt(fixture.clock, -6s));
    CHECK(before.decision == Decision::Redirect);
    CHECK(before.holder == "b");
    // The other process was restarted and has lost its keys.
    fixture.registry.setLiveMembers({{"a", 1}, {"b", 2}});
    CHECK(fixture.registry.claim(1, keyAt(fixture.clock, -6s)).reason == Reason::KeyHolderGone);
    CHECK(fixture.registry.claim(1, keyAt(fixture.clock, 11s)).reason == Reason::KeyTooNew);
    CHECK(fixture.registry.claim(1, keyAt(fixture.clock, -30s)).reason == Reason::KeyTooOld);
    for (const Duration offset : {Duration(-30s), Duration(-6s), Duration(11s)})
        CHECK(fixture.registry.claim(1, keyAt(fixture.clock, offset)).state
              == RunState::MayHaveRun);
}

TEST_CASE("keys: a key that may have been dropped is not granted again [keys][window]")
{
    ManualClock clock;
    KeyRegistry registry(kSelf, clock, {2, 1000, 10min});
    const TenureChain chain{{kSelf, keyAt(clock, -20s).issued, keyAt(clock, 1000s).issued}};
    for (std::uint32_t it = 0; it < kKeyPartitions; ++it)
        registry.setChain(it, chain);
    const IdempotencyKey first = keyAt(clock, 0s, "one");
    CHECK(registry.claim(1, first).decision == Decision::Run);
    registry.finish(1, first, RunState::Ran, {});
    CHECK(registry.claim(1, keyAt(clock, 1s, "two")).decision == Decision::Run);
    CHECK(registry.claim(1, keyAt(clock, 2s, "three")).decision == Decision::Run);
    CHECK(registry.keys() == 2);
    CHECK(registry.claim(1, first).reason == Reason::KeyTooOld);
}

TEST_CASE("tenures: never shortened and never overlapping, whichever process extends them "
          "[keys][tenures]")
{
    ManualClock clock;
    const TenureTimings limits;
    std::map<std::uint32_t, TenureChain> chains;
    std::uint64_t random = 7;
    for (int it = 0; it < 200; ++it) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        KeyHolder wanted{random % 3 == 0 ? "a" : "b", (random >> 20) % 2};
        const auto before = chains;
        // The clocks of two processes differ by up to five seconds in either direction.
        const auto skew
            = std::chrono::milliseconds(static_cast<int>((random >> 33) % 10'000) - 5000);
        chains = extendTenures(
            chains, 3, [&](std::uint32_t) { return wanted; }, clock.wallNow() + skew, limits);
        for (const auto &[partition, chain] : chains) {
            for (std::size_t n = 1; n < chain.size(); ++n)
                REQUIRE(chain[n - 1].until <= chain[n].from);
            const auto old = before.find(partition);
            if (old == before.end() || old->second.empty())
                continue;
            // The last previous tenure must be kept and not shortened.
            const Tenure &last = old->second.back();
            const auto kept = std::find_if(chain.begin(), chain.end(), [&](const Tenure &tenure) {
                return tenure.holder == last.holder && tenure.from == last.from;
            });
            REQUIRE(kept != chain.end());
            REQUIRE(kept->until >= last.until);
        }
        clock.advance(std::chrono::milliseconds((random >> 40) % 4000));
    }
}

TEST_CASE(
    "keys: a planned stop divides the keys among the successors of their partitions [keys][stop]")
{
    HandedKeys exported;
    exported.floor = WallTime(std::chrono::milliseconds(77));
    for (int n = 0; n < 50; ++n)
        exported.keys.push_back({{"team", "key-" + std::to_string(n), {}}, RunState::Ran, {}});
    const auto successorOf
        = [](std::uint32_t partition) { return static_cast<int>(partition % 3); };
    const auto groups = groupBySuccessor(exported, successorOf);
    REQUIRE(groups.size() == 3);
    std::size_t sum = 0;
    for (const auto &[index, keys] : groups) {
        CHECK(keys.floor == exported.floor);
        for (const HandedKey &it : keys.keys)
            CHECK(successorOf(keyPartition(it.key.team, it.key.text)) == index);
        sum += keys.keys.size();
    }
    CHECK(sum == exported.keys.size());
}
