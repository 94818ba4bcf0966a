// SPDX-License-Identifier: MIT
// Time and memory of single decisions at the sizes of docs/CAPACITY.md.
#include <benchmark/benchmark.h>
#include <malloc.h>

#include <sstream>

#include "apps/entryd/snapshot_reader.hpp"
#include "apps/entryd/team_index.hpp"
#include "config/configuration_assembler.hpp"
#include "config/read_configuration.hpp"
#include "fordwood/allowance_allocator.hpp"
#include "fordwood/dispatcher.hpp"
#include "fordwood/fleet_view.hpp"
#include "fordwood/key_registry.hpp"
#include "fordwood/manual_clock.hpp"
#include "fordwood/old_context_cleaner.hpp"
#include "fordwood/permit_scheduler.hpp"
#include "fordwood/rendezvous.hpp"
#include "fordwood/stream_holders.hpp"
#include "fordwood/weight_load_planner.hpp"

namespace {

using namespace fordwood;
using namespace std::chrono_literals;

constexpr int kDomains = 30;
constexpr int kRegions = 8;
constexpr int kModels = 4;
constexpr int kNodes = 1900;
constexpr int kTeams = 1700;

std::string configurationText(int upstreams, int mark)
{
    std::ostringstream out;
    for (int it = 0; it < kModels; ++it)
        out << "[[model]]\nname = \"m" << it << "\"\nweight_version = \"v" << mark << "\"\n";
    for (int it = 0; it < kDomains; ++it)
        out << "[[failure_domain]]\nname = \"d" << it << "\"\nregion = \"r" << it % kRegions
            << "\"\n";
    for (int it = 0; it < kTeams; ++it)
        out << "[[team]]\nname = \"team-" << it << "\"\nkey_sha256 = [\""
            << config::sha256Hex(std::to_string(it)) << "\"]\n";
    for (int it = 0; it < upstreams; ++it)
        out << "[[upstream]]\nname = \"upstream-" << it
            << "\"\nkind = \"engine\"\nfailure_domain = \"d" << it % kDomains
            << "\"\naddress = \"10.0.0.1:8000\"\nmodels = [\"m" << it % kModels
            << "\"]\nslots = 8\n";
    return out.str();
}

std::vector<StoredPiece> piecesOf(int upstreams, int mark)
{
    config::ConfigErrors errors;
    std::vector<config::Document> documents;
    documents.push_back(*config::parseDocument("f", configurationText(upstreams, mark), errors));
    std::vector<StoredPiece> pieces;
    for (config::ConfigPiece &it : config::splitIntoPieces(documents)) {
        std::string digest = config::sha256Hex(it.text);
        pieces.push_back({std::move(it.name), std::move(digest), std::move(it.text)});
    }
    return pieces;
}

std::vector<Member> membersOf(int n)
{
    std::vector<Member> members;
    members.reserve(static_cast<std::size_t>(n));
    for (int it = 0; it < n; ++it)
        members.push_back({"node-" + std::to_string(it), "d" + std::to_string(it % kDomains),
                           "r" + std::to_string(it % kDomains % kRegions), "10.0.0.1:7100", false});
    return members;
}

std::shared_ptr<const FleetView> viewOf(int upstreams)
{
    config::ConfigErrors errors;
    config::ConfigurationAssembler assembler;
    const auto configuration = assembler.assemble(piecesOf(upstreams, 1), errors);
    return std::make_shared<const FleetView>(1, configuration, membersOf(kNodes),
                                             std::set<std::string>{}, "d3");
}

std::size_t heapBytes()
{
    return mallinfo2().uordblks;
}

// One change of one table: what controld and entryd each do for it.
void applyChange(benchmark::State &state)
{
    const int upstreams = static_cast<int>(state.range(0));
    const auto one = piecesOf(upstreams, 1);
    const auto two = piecesOf(upstreams, 2);
    const auto members = membersOf(kNodes);
    config::ConfigurationAssembler assembler;
    config::ConfigErrors errors;
    assembler.assemble(one, errors);
    bool odd = false;
    std::size_t owned = 0;
    for (auto _ : state) {
        odd = !odd;
        const auto configuration = assembler.assemble(odd ? two : one, errors);
        const FleetView view(1, configuration, members, {}, "d3");
        owned += view.ownedBy(members[3]).size();
        const apps::TeamIndex index(*configuration);
        benchmark::DoNotOptimize(index);
    }
    benchmark::DoNotOptimize(owned);
}
BENCHMARK(applyChange)->Arg(32)->Arg(1376)->Arg(11'000)->Unit(benchmark::kMillisecond);

void buildView(benchmark::State &state)
{
    config::ConfigurationAssembler assembler;
    config::ConfigErrors errors;
    const auto configuration
        = assembler.assemble(piecesOf(static_cast<int>(state.range(0)), 1), errors);
    const auto members = membersOf(kNodes);
    for (auto _ : state) {
        const FleetView view(1, configuration, members, {}, "d3");
        benchmark::DoNotOptimize(view);
    }
}
BENCHMARK(buildView)->Arg(11'000)->Unit(benchmark::kMillisecond);

void findOwned(benchmark::State &state)
{
    const auto view = viewOf(static_cast<int>(state.range(0)));
    std::size_t owned = 0;
    for (auto _ : state) {
        owned += view->ownedBy(view->members()[3]).size();
    }
    benchmark::DoNotOptimize(owned);
}
BENCHMARK(findOwned)->Arg(11'000)->Unit(benchmark::kMillisecond);

// The upstreams to try for one request, and the owner of the first.
void route(benchmark::State &state)
{
    const auto view = viewOf(static_cast<int>(state.range(0)));
    std::uint64_t prefix = 1;
    for (auto _ : state) {
        const auto found = view->engines("m1", prefix += 0x9e3779b97f4a7c15ULL, 3);
        benchmark::DoNotOptimize(found.empty() ? nullptr : view->owner(*found.front()));
    }
}
BENCHMARK(route)->Arg(32)->Arg(1376)->Arg(11'000);

// A whole call in the dispatcher: ask, grant, send, finish.
void dispatch(benchmark::State &state)
{
    ManualClock clock;
    DispatcherLimits limits;
    limits.direct = false;
    Dispatcher dispatcher(clock, limits);
    dispatcher.setView(viewOf(static_cast<int>(state.range(0))));
    CallId id = 0;
    for (auto _ : state) {
        CallRequest request;
        request.id = ++id;
        request.team = "team-1";
        request.target = "m1";
        request.prefixHash = id * 0x9e3779b97f4a7c15ULL;
        request.deadline = clock.now() + 30s;
        dispatcher.begin(request);
        for (const Action &action : dispatcher.takeActions()) {
            const auto *ask = std::get_if<RequestPermit>(&action);
            if (ask == nullptr)
                continue;
            PermitReply reply;
            reply.requestId = ask->requestId;
            reply.granted = true;
            reply.permitId = id;
            reply.sendWithin = 2s;
            dispatcher.permitAnswered(ask->owner, reply);
        }
        dispatcher.attemptFinished(id, 1, 1.0);
        dispatcher.takeActions();
    }
}
BENCHMARK(dispatch)->Arg(32)->Arg(11'000);

// An ask with so many teams waiting, and the release that lets it through.
void askAndRelease(benchmark::State &state)
{
    ManualClock clock;
    PermitScheduler book(clock, {2s, 1'000'000});
    book.setUpstreams({{"up", 1, false}});
    const int teams = static_cast<int>(state.range(0));
    std::uint64_t id = 0;
    const auto ask = [&] {
        PermitRequest it;
        it.holder = 1;
        it.requestId = ++id;
        it.upstream = "up";
        it.team = "team-" + std::to_string(id % static_cast<std::uint64_t>(teams));
        it.wait = std::chrono::hours(10);
        book.request(it);
    };
    for (int it = 0; it < teams * 4; ++it)
        ask();
    auto granted = book.takeAnswers();
    for (auto _ : state) {
        ask();
        book.release(1, granted.back().permitId, "up", 0.0);
        granted = book.takeAnswers();
    }
}
BENCHMARK(askAndRelease)->Arg(1)->Arg(100)->Arg(1700);

void claimKey(benchmark::State &state)
{
    ManualClock clock;
    KeyRegistry registry({"a", 1}, clock, {});
    const TenureChain chain{{{"a", 1}, clock.wallNow() - 10s, clock.wallNow() + 1000s}};
    for (std::uint32_t it = 0; it < kKeyPartitions; ++it)
        registry.setChain(it, chain);
    std::uint64_t n = 0;
    const std::size_t before = heapBytes();
    for (auto _ : state) {
        const IdempotencyKey key{"team-1", "017f22e2-79b0-7cc3-98c4-" + std::to_string(++n),
                                 clock.wallNow()};
        registry.claim(1, key);
        registry.finish(1, key, RunState::Ran, {});
    }
    state.counters["bytes_a_key"]
        = static_cast<double>(heapBytes() - before)
          / static_cast<double>(std::max<std::size_t>(1, registry.keys()));
}
BENCHMARK(claimKey)->Iterations(100'000);

// Heap of what one daemon holds of the fleet.
void viewMemory(benchmark::State &state)
{
    for (auto _ : state) {
        const std::size_t before = heapBytes();
        const auto view = viewOf(static_cast<int>(state.range(0)));
        state.counters["megabytes"] = static_cast<double>(heapBytes() - before) / (1 << 20);
        benchmark::DoNotOptimize(view);
    }
}
BENCHMARK(viewMemory)->Arg(32)->Arg(11'000)->Iterations(1)->Unit(benchmark::kMillisecond);

} // namespace

// An ask for a part of a team's ceiling, with so many nodes that use the team.
void askAllowance(benchmark::State &state)
{
    ManualClock clock;
    AllowanceAllocator book(clock, {});
    book.setPools({{"t", 2000}});
    clock.advance(3s);
    const auto holders = static_cast<std::uint64_t>(state.range(0));
    std::uint64_t n = 0;
    for (auto _ : state) {
        // Every holder asks again after half the life of what it has.
        if (++n % holders == 0)
            clock.advance(1500ms);
        benchmark::DoNotOptimize(book.allocate({n % holders, n, "t", 1, 2}));
    }
}
BENCHMARK(askAllowance)->Arg(8)->Arg(63)->Arg(1900);

// A load planner's turn when nothing is to be done, with so many engines.
void planLoads(benchmark::State &state)
{
    ManualClock clock;
    WeightLoadPlanner planner("n", 1, clock, {}, 1);
    std::vector<LoadTarget> targets;
    targets.reserve(static_cast<std::size_t>(state.range(0)));
    for (int it = 0; it < state.range(0); ++it)
        targets.push_back({"e" + std::to_string(it), "10.0.0.1:8000", "m", "v1"});
    planner.setTargets(targets, 1, 2, kNodes);
    for (auto _ : state) {
        clock.advance(200ms);
        planner.tick();
        for (const LoadAction &it : planner.takeActions())
            planner.engineRead(std::get<ReadEngine>(it).upstream,
                               EngineState{{{"m", "v1"}}, false});
    }
}
BENCHMARK(planLoads)->Arg(6);

// A tick of the cleaner when no context is old, with 17 stores of the given number of parts.
void keepStores(benchmark::State &state)
{
    constexpr int kStores = 17;
    ManualClock clock;
    OldContextCleaner cleaner(clock);
    WeightHistory history;
    history.record(1, {EventTime::at(clock.now()), 0});
    cleaner.setWeights("m", history);
    const std::string salt = contextSalt("m", 1, "");
    for (int store = 0; store < kStores; ++store) {
        ContextStoreUpdate update;
        update.store = "store-" + std::to_string(store);
        update.epoch = 1;
        for (int it = 0; it < state.range(0); ++it)
            update.changes.push_back({salt, std::to_string(it), true, 1'000});
        cleaner.storeAnswered(update);
    }
    const FencedLock::Holding holding{1, {}, {}, TimePoint::max()};
    for (auto _ : state)
        benchmark::DoNotOptimize(cleaner.tick(holding));
}
BENCHMARK(keepStores)->Arg(50)->Arg(400);

// The nodes that are told where a stream began, while several software versions serve.
void chooseStreamHolders(benchmark::State &state)
{
    std::vector<SchedulerNode> nodes;
    nodes.reserve(static_cast<std::size_t>(state.range(0)));
    for (int it = 0; it < state.range(0); ++it)
        nodes.push_back({"node-" + std::to_string(it), "10.0.0.1:80", 1.0,
                         "d" + std::to_string(it % kDomains)});
    StreamHolders holders;
    holders.setNodes(std::move(nodes));
    StreamKey key = 0;
    for (auto it : state)
        benchmark::DoNotOptimize(holders.holdersOf(rendezvousWeight(++key, 1)));
}
BENCHMARK(chooseStreamHolders)->Arg(8)->Arg(90)->Arg(986)->Arg(1900);

BENCHMARK_MAIN();
