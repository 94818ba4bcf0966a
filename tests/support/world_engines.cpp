// SPDX-License-Identifier: MIT
// The engines of a World: prompt computation, context caches and weight loading.
#include <algorithm>

#include "adapters/platform/load_table_codec.hpp"
#include "fordwood/rendezvous.hpp"
#include "support/world.hpp"

namespace fordwood::support {

namespace {

constexpr Duration kLoadTime = std::chrono::seconds(1);

} // namespace

// ---------------------------------------------------------------- engines that compute

void World::compute(Upstream &upstream, Run &run)
{
    const EngineModel &model = m_size.engineModel;
    WorldResult &result = m_results[run.request];
    result.uncachedTokens = takeUncached(upstream, result.request, model.cacheTokens);
    const std::chrono::duration<double> prefill(static_cast<double>(result.uncachedTokens)
                                                / model.prefillTokensPerSecond);
    upstream.prefillFree = std::max(upstream.prefillFree, fleet.clock.now())
                           + std::chrono::duration_cast<Duration>(prefill);
    result.firstToken = upstream.prefillFree + model.tokenTime;
    run.ends = upstream.prefillFree + model.tokenTime * static_cast<int>(result.request.newTokens);
}

// Returns the number of prompt tokens to compute, and caches the context in the engine.
std::size_t World::takeUncached(Upstream &upstream, const WorldRequest &request, std::size_t most)
{
    auto &cache = upstream.cache;
    const auto known = std::find_if(cache.begin(), cache.end(),
                                    [&](const auto &it) { return it.first == request.context; });
    if (known != cache.end()) {
        cache.splice(cache.begin(), cache, known);
        return request.questionTokens;
    }
    cache.emplace_front(request.context, request.contextTokens);
    upstream.cachedTokens += request.contextTokens;
    for (; upstream.cachedTokens > most; cache.pop_back())
        upstream.cachedTokens -= cache.back().second;
    return request.contextTokens + request.questionTokens;
}

void World::sendByBaseline(std::size_t number)
{
    Run run;
    run.request = number;
    run.baseline = true;
    run.place = placeOf(m_results[number].request.node);
    run.send.upstream = baselineEngine(m_results[number].request.context);
    run.arrives = fleet.clock.now() + kHop;
    ++m_upstreams.at(run.send.upstream).queued;
    m_runs.push_back(std::move(run));
}

std::string World::baselineEngine(std::uint64_t context)
{
    const auto engines = static_cast<std::size_t>(m_size.engines);
    const auto name = [](std::size_t it) { return "engine-" + std::to_string(it); };
    const auto less
        = [&](std::size_t a, std::size_t b) { return laggingLoad(name(a)) < laggingLoad(name(b)); };
    switch (m_size.routing) {
    case Routing::LeastLoaded: {
        std::size_t best = m_random() % engines; // ties are broken at random
        for (std::size_t it = 0; it < engines; ++it)
            best = less(it, best) ? it : best;
        return name(best);
    }
    case Routing::TwoChoices: {
        const std::size_t one = m_random() % engines;
        const std::size_t other = m_random() % engines;
        return name(less(other, one) ? other : one);
    }
    case Routing::PrefixHash:
        return name(stableHash(std::to_string(context)) % engines);
    default:
        return name(m_nextEngine++ % engines);
    }
}

// Only the baseline algorithms read the loads.
void World::sampleLoads()
{
    if (m_size.routing == Routing::Fordwood)
        return;
    for (auto &[name, it] : m_upstreams) {
        it.pastLoads.emplace_back(fleet.clock.now(), it.running + it.queued);
        while (it.pastLoads.front().first + m_size.engineModel.loadLag < fleet.clock.now())
            it.pastLoads.pop_front();
    }
}

std::size_t World::laggingLoad(const std::string &engine) const
{
    const auto &loads = m_upstreams.at(engine).pastLoads;
    return loads.empty() ? 0 : loads.front().second;
}

// ---------------------------------------------------------------- weights

void World::moveLoads(int index)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    node.loads->tick();
    for (auto actions = node.loads->takeActions(); !actions.empty();
         actions = node.loads->takeActions()) {
        for (const LoadAction &it : actions)
            carryOutLoad(index, it);
    }
}

void World::carryOutLoad(int index, const LoadAction &action)
{
    Node &node = m_nodes[static_cast<std::size_t>(index)];
    const bool reachable = fleet.canReachPlatform(index);
    if (const auto *read = std::get_if<ReadEngine>(&action)) {
        const std::string name = read->upstream;
        post(index, [this, name](Node &it) {
            const Upstream &upstream = m_upstreams.at(name);
            it.loads->engineRead(name,
                                 EngineState{{{"m", upstream.version}}, !upstream.loads.empty()});
        });
    } else if (std::get_if<ReadLoadTable>(&action) != nullptr) {
        ++m_loadReads;
        const auto stored = fleet.store.get(kLoadTableKey, kHop);
        if (!reachable || !stored)
            return node.loads->tableRead(std::nullopt);
        WeightLoadPlanner::StoredTable table;
        if (*stored)
            table = {adapters::decodeLoadTable((*stored)->value).value(), (*stored)->revision};
        const std::string self = fleet.member(index).name;
        if (m_size.mutation == Mutation::HidesSlots)
            std::erase_if(table.table.slots, [&](const LoadSlot &it) { return it.node != self; });
        node.loads->tableRead(table);
    } else if (const auto *swap = std::get_if<SwapLoadTable>(&action)) {
        if (!reachable)
            return node.loads->tableSwapped(false);
        ++m_loadWrites;
        const auto done = fleet.store.write(
            {{kLoadTableKey, swap->expectedRevision, adapters::encodeLoadTable(swap->table)}},
            kHop);
        node.loads->tableSwapped(done ? std::optional(*done) : std::nullopt);
    } else if (const auto *order = std::get_if<OrderLoad>(&action)) {
        if (fleet.clock.now() < order->sendBy)
            orderLoad(*order);
        const std::string name = order->upstream;
        postLater(index, kLoadTime + kHop, [name](Node &it) { it.loads->orderEnded(name); });
    } else if (const auto *hold = std::get_if<HoldEngine>(&action)) {
        node.book->setPaused(hold->upstream, hold->held);
    }
}

void World::orderLoad(const OrderLoad &order)
{
    Upstream &upstream = m_upstreams.at(order.upstream);
    if (upstream.checksFences && order.fence < upstream.fence)
        return;
    if (order.fence < upstream.fence)
        violate("an old order reached " + order.upstream);
    if (!upstream.loads.empty())
        violate("two orders at once at " + order.upstream);
    upstream.fence = order.fence;
    upstream.loads = order.weightVersion;
    upstream.loadedAt = fleet.clock.now() + kLoadTime;
    const auto loading = std::count_if(m_upstreams.begin(), m_upstreams.end(),
                                       [](const auto &it) { return !it.second.loads.empty(); });
    if (static_cast<std::size_t>(loading) > kMostLoads)
        violate("too many engines load at once");
}

void World::finishLoads()
{
    for (auto &[name, it] : m_upstreams) {
        if (!it.loads.empty() && it.loadedAt <= fleet.clock.now())
            it.version = std::exchange(it.loads, "");
    }
}

const std::string &World::versionOn(const std::string &upstream) const
{
    return m_upstreams.at(upstream).version;
}

} // namespace fordwood::support
