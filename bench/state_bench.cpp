// SPDX-License-Identifier: MIT
// Time and bytes that a node spends on the state of the fleet, over the number of upstreams.
#include <benchmark/benchmark.h>

#include <string>

#include "fordwood/manual_clock.hpp"
#include "fordwood/rendezvous.hpp"
#include "fordwood/store_replica.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/weight_rollout.hpp"
#include "node/packing.hpp"
#include "node/peer_messages.hpp"
#include "platform/documents.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;

// The size today, twice that, and the size to design for.
void sizes(benchmark::internal::Benchmark *benchmark)
{
    benchmark->Arg(1'000)->Arg(10'000)->Arg(20'000)->Arg(45'000);
}

std::string keyOf(std::int64_t n)
{
    return "servers/i-" + std::to_string(stableHash(std::to_string(n)) % 0xFFFFFFFFFF);
}

std::string recordText(std::int64_t n)
{
    return R"({"service":"models","address":"10.4.)" + std::to_string(n / 250) + "."
           + std::to_string(n % 250) + R"(:8769","zone":"hall-)" + std::to_string(n % 6)
           + R"(","version":"v1","slots":12,"state":"ready","cold-remaining-ms":0,"sequence":1,)"
             R"("born":1796000000000,"stage":"both","models":[{"name":"m","version":1}]})";
}

StoreChanges allRecords(std::int64_t upstreams)
{
    StoreChanges all{0, upstreams, {}};
    for (std::int64_t n = 1; n <= upstreams; ++n)
        all.items.push_back({keyOf(n), n, n, recordText(n)});
    return all;
}

void buildSnapshot(benchmark::State &state)
{
    StoreReplica replica;
    replica.merge(allRecords(state.range(0)));
    std::size_t plain = 0;
    std::size_t packed = 0;
    for (auto _ : state) {
        const std::string bytes = node::encodeReplicaPart({replica.changesSince({}), false});
        plain = bytes.size();
        packed = node::pack(bytes).size();
    }
    state.counters["bytes"] = static_cast<double>(plain);
    state.counters["packed"] = static_cast<double>(packed);
}
BENCHMARK(buildSnapshot)->Apply(sizes)->Unit(benchmark::kMillisecond);

void startFromSnapshot(benchmark::State &state)
{
    const std::string packed
        = node::pack(node::encodeReplicaPart({allRecords(state.range(0)), false}));
    const ManualClock clock;
    for (auto _ : state) {
        StoreReplica replica;
        UpstreamDirectory upstreams(clock, {});
        const auto part = node::decodeReplicaPart(*node::unpack(packed));
        const auto changed = replica.merge(part->changes);
        for (const StoredItem &it : *changed)
            upstreams.put(*platform::readUpstream(it.key, *it.value));
        benchmark::DoNotOptimize(upstreams.size());
    }
}
BENCHMARK(startFromSnapshot)->Apply(sizes)->Unit(benchmark::kMillisecond);

void applyChange(benchmark::State &state)
{
    ManualClock clock;
    StoreReplica replica;
    UpstreamDirectory upstreams(clock, {});
    WeightRollout rollout(clock);
    const StoreChanges all = allRecords(state.range(0));
    replica.merge(all);
    for (const StoredItem &it : all.items)
        upstreams.put(*platform::readUpstream(it.key, *it.value));
    rollout.update(upstreams);
    std::int64_t revision = state.range(0);
    for (auto _ : state) {
        revision += 1;
        const std::int64_t n = 1 + revision % state.range(0);
        replica.merge({revision - 1, revision, {{keyOf(n), revision, n, recordText(n)}}});
        const StoreChanges changes = replica.changesSince({0, revision - 1});
        for (const StoredItem &it : changes.items)
            upstreams.put(*platform::readUpstream(it.key, *it.value));
        upstreams.tick();
        rollout.update(upstreams);
    }
}
BENCHMARK(applyChange)->Apply(sizes)->Unit(benchmark::kMicrosecond);

void listUsable(benchmark::State &state)
{
    const ManualClock clock;
    UpstreamDirectory upstreams(clock, {});
    const StoreChanges all = allRecords(state.range(0));
    for (const StoredItem &it : all.items)
        upstreams.put(*platform::readUpstream(it.key, *it.value));
    for (auto _ : state)
        benchmark::DoNotOptimize(upstreams.usable("models").size());
}
BENCHMARK(listUsable)->Apply(sizes)->Unit(benchmark::kMicrosecond);

} // namespace

BENCHMARK_MAIN();
