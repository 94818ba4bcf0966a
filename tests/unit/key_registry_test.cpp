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

struct Bench
{
    ManualClock clock;
    KeyRegistry registry{kSelf, clock, KeyRegistry::Limits{}};

    // Gives every partition one chain.
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

TEST_CASE("keys: the issue time of a version 7 UUID, and of nothing else [keys]")
{
    const auto time = issueTimeOf("017f22e2-79b0-7cc3-98c4-dc0c0c07398f");
    REQUIRE(time);
    CHECK(time->time_since_epoch().count() == 0x017f22e279b0);
    for (const char *it :
         {"", "017f22e2-79b0-4cc3-98c4-dc0c0c07398f", "017f22e2-79b0-7cc3-18c4-dc0c0c07398f",
          "017f22e279b07cc398c4dc0c0c07398f----", "017f22e2-79b0-7cc3-98c4-dc0c0c07398g"})
        CHECK_FALSE(issueTimeOf(it));
}

TEST_CASE("keys: a key runs once; sent again it gets the answer that was kept [keys][at-most-once]")
{
    Bench bench;
    bench.setChains({bench.tenure(kSelf, -10s, 10s)});
    const IdempotencyKey key = keyAt(bench.clock, 0s);
    CHECK(bench.registry.claim(1, key).decision == Decision::Run);
    const ClaimAnswer early = bench.registry.claim(2, key);
    CHECK(early.decision == Decision::Refuse);
    CHECK(early.state == RunState::MayHaveRun);
    bench.registry.finish(1, key, RunState::Ran, {200, "text/plain", "done"});
    const ClaimAnswer late = bench.registry.claim(2, key);
    CHECK(late.decision == Decision::Answer);
    CHECK(late.answer.body == "done");
    // The same key of another team is another key.
    CHECK(bench.registry.claim(3, keyAt(bench.clock, 0s, "k", "u")).decision == Decision::Run);
}

TEST_CASE("keys: what did not run may be claimed again, what may have run may not [keys]")
{
    Bench bench;
    bench.setChains({bench.tenure(kSelf, -10s, 10s)});
    const IdempotencyKey key = keyAt(bench.clock, 0s);
    bench.registry.claim(1, key);
    bench.registry.finish(1, key, RunState::NotRun, {});
    CHECK(bench.registry.claim(2, key).decision == Decision::Run);
    bench.registry.dropClaimant(2); // it dies in the middle
    const ClaimAnswer answer = bench.registry.claim(3, key);
    CHECK(answer.decision == Decision::Refuse);
    CHECK(answer.state == RunState::MayHaveRun);
    // A late word of the dead claimant changes nothing.
    bench.registry.finish(2, key, RunState::NotRun, {});
    CHECK(bench.registry.claim(3, key).decision == Decision::Refuse);
}

TEST_CASE("keys: outside its own tenure a node runs nothing and says not-run of nothing [keys]")
{
    Bench bench;
    bench.setChains({bench.tenure(kOther, -20s, -5s), bench.tenure(kSelf, -5s, 10s)});
    bench.registry.setAlive({{"a", 1}, {"b", 1}});
    const ClaimAnswer before = bench.registry.claim(1, keyAt(bench.clock, -6s));
    CHECK(before.decision == Decision::Redirect);
    CHECK(before.holder == "b");
    // The other process was started again: it has forgotten.
    bench.registry.setAlive({{"a", 1}, {"b", 2}});
    CHECK(bench.registry.claim(1, keyAt(bench.clock, -6s)).reason == Reason::KeyHolderGone);
    CHECK(bench.registry.claim(1, keyAt(bench.clock, 11s)).reason == Reason::KeyTooNew);
    CHECK(bench.registry.claim(1, keyAt(bench.clock, -30s)).reason == Reason::KeyTooOld);
    for (const Duration offset : {Duration(-30s), Duration(-6s), Duration(11s)})
        CHECK(bench.registry.claim(1, keyAt(bench.clock, offset)).state == RunState::MayHaveRun);
}

TEST_CASE("keys: a key that may have been forgotten is not run again [keys][window]")
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

TEST_CASE("tenures: never shortened, never overlapping, whoever extends them [keys][tenures]")
{
    ManualClock clock;
    const TenureTimings limits;
    std::map<std::uint32_t, TenureChain> chains;
    std::uint64_t random = 7;
    for (int it = 0; it < 200; ++it) {
        random = random * 6364136223846793005ULL + 1442695040888963407ULL;
        KeyHolder wanted{random % 3 == 0 ? "a" : "b", (random >> 20) % 2};
        const auto before = chains;
        // Clocks of two keepers differ by up to five seconds either way.
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
            // The last tenure known before is still there, and not shorter.
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
    "keys: a planned stop divides its keys among the successors of their partitions [keys][stop]")
{
    HandedKeys handed;
    handed.floor = WallTime(std::chrono::milliseconds(77));
    for (int n = 0; n < 50; ++n)
        handed.keys.push_back({{"team", "key-" + std::to_string(n), {}}, RunState::Ran, {}});
    const auto successorOf
        = [](std::uint32_t partition) { return static_cast<int>(partition % 3); };
    const auto groups = groupBySuccessor(handed, successorOf);
    REQUIRE(groups.size() == 3);
    std::size_t sum = 0;
    for (const auto &[index, keys] : groups) {
        CHECK(keys.floor == handed.floor);
        for (const HandedKey &it : keys.keys)
            CHECK(successorOf(keyPartition(it.key.team, it.key.text)) == index);
        sum += keys.keys.size();
    }
    CHECK(sum == handed.keys.size());
}
