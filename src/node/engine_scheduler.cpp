// SPDX-License-Identifier: MIT
#include "node/engine_scheduler.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"
#include "node/node_state.hpp"

namespace fordwood::node {

namespace {

// A scheduler that took over knows all but the longest requests after this time.
constexpr Duration kTakeoverTime = std::chrono::seconds(2);

// A scheduler without requests for this long has been replaced by another one meanwhile.
constexpr Duration kMaxIdleTime = std::chrono::seconds(1);

// A prompt without progress for this long after the estimated time counts as computed: its node may
// have ended, and an engine would seem busy until the caller's deadline.
constexpr Duration kOverdueMargin = std::chrono::seconds(1);

// Engines with a longer expected delay, in target latencies, are used only if there is no other:
// the estimate may be wrong by the work of one more prompt.
constexpr double kMaxWait = 0.7;

// Callers prefer a late answer to none, as long as the engines can make up for it.
constexpr double kMaxLateShare = 0.5;

Duration maxDelay(const PlacementRequest &request)
{
    return std::chrono::duration_cast<Duration>(
        kMaxWait * std::chrono::duration<double, std::milli>(request.targetLatency));
}

// Estimated time to the first token at the engine with the least work. Engines without a free slot
// are not considered, except the chosen one.
Duration leastLoadedDelay(const PlacementRequest &request, const EngineChoice &choice,
                          const ServicePool &pool, NodeState &state, const LoadView &loads)
{
    const PrefillPace &pace = state.pace(pool.name);
    Duration least = choice.expectedDelay;
    for (const UpstreamRecord *it : state.schedulableEngines(pool)) {
        const UpstreamLoad load = loads.total(it->instanceId);
        if (load.running >= pool.engine->slots
            || !request.shard.contains(stableHash(it->instanceId)))
            continue;
        const auto tokens = static_cast<double>(load.tokensToCompute + request.prompt.tokensIn);
        least = std::min(least, pace.timeFor(tokens));
    }
    return least;
}

PlacementAdmission::Request admissionRequest(const PlacementRequest &request,
                                             const EngineChoice &choice, const ServicePool &pool,
                                             NodeState &state, const LoadView &loads)
{
    PlacementAdmission::Request result;
    result.team = request.team;
    result.fingerprint = request.fingerprint;
    result.targetLatency = request.targetLatency;
    result.remaining = request.remaining;
    result.delay = choice.expectedDelay;
    // Prompts with a shorter delay are placed in any case.
    const bool mayBeRejected
        = result.targetLatency > Duration::zero() && result.delay > result.targetLatency / 2;
    result.leastLoadedDelay
        = mayBeRejected ? leastLoadedDelay(request, choice, pool, state, loads) : result.delay;
    return result;
}

} // namespace

UpstreamLoad EngineScheduler::Loads::total(const std::string &instanceId) const
{
    UpstreamLoad load = m_scheduler.m_ledger.total(instanceId);
    if (m_scheduler.isLedgerComplete())
        return load;
    const UpstreamLoad exchanged = m_scheduler.m_state.loads().total(instanceId);
    load.running = std::max(load.running, exchanged.running);
    load.tokensToCompute = std::max(load.tokensToCompute, exchanged.tokensToCompute);
    load.tokensHeld = std::max(load.tokensHeld, exchanged.tokensHeld);
    return load;
}

EngineScheduler::EngineScheduler(NodeState &state, const Clock &clock)
    : m_state(state), m_clock(clock), m_ledger(clock), m_loads(*this)
{ }

void EngineScheduler::recordActivity()
{
    const TimePoint now = m_clock.now();
    if (!m_activeSince || now - m_lastRequest > kMaxIdleTime)
        m_activeSince = now;
    m_lastRequest = now;
}

bool EngineScheduler::isLedgerComplete() const
{
    return m_activeSince && m_clock.now() - *m_activeSince >= kTakeoverTime;
}

PlacementReply EngineScheduler::place(const PlacementRequest &request)
{
    recordActivity();
    m_ledger.removeExpired();
    PlacementReply reply;
    reply.number = request.id.number;
    const ServicePool *pool
        = m_state.table() ? m_state.table()->findService(request.service) : nullptr;
    if (pool == nullptr || !pool->engine)
        return reply;
    const auto choice = choose(request, *pool);
    if (!choice)
        return reply;
    reply.firstTokenDelay
        = std::chrono::duration_cast<std::chrono::milliseconds>(choice->firstTokenDelay);
    reply.expectedDelay
        = std::chrono::duration_cast<std::chrono::milliseconds>(choice->expectedDelay);
    if (!choice->isShort) {
        PlacementAdmission &admission
            = m_admissions
                  .try_emplace(request.service, m_clock, PlacementAdmission::Limits{kMaxLateShare})
                  .first->second;
        const PlacementAdmission::Decision decision
            = admission.decide(admissionRequest(request, *choice, *pool, m_state, m_loads));
        if (decision.isReturning)
            m_state.metrics().count("fordwood_placements_returned_total");
        if (decision.isOverShare)
            m_state.metrics().count("fordwood_placements_over_share_total");
        if (!decision.isPlaced) {
            reply.outcome = PlacementOutcome::Busy;
            reply.retryAfter = decision.retryAfter;
            return reply;
        }
    }
    reply.outcome = PlacementOutcome::Placed;
    reply.instanceId = choice->instanceId;
    reply.weightVersion = choice->weightVersion;
    reply.loadBefore = choice->loadBefore;
    reply.tokensToCompute = choice->load.tokensToCompute;
    reply.saveTo = choice->saveTo;
    reply.sourceEngine = choice->sourceEngine;
    record(request, *choice);
    return reply;
}

std::optional<EngineChoice> EngineScheduler::choose(const PlacementRequest &request,
                                                    const ServicePool &pool)
{
    std::vector<const UpstreamRecord *> engines = m_state.schedulableEngines(pool);
    std::erase_if(engines, [&](const UpstreamRecord *it) {
        const std::uint64_t hash = stableHash(it->instanceId);
        return !request.shard.contains(hash)
               || std::find(request.avoid.begin(), request.avoid.end(), hash)
                      != request.avoid.end();
    });
    const EngineChooser::Query query{request.prompt,
                                     request.isolatedTeam,
                                     m_state.weights(request.prompt.model),
                                     *pool.engine,
                                     {},
                                     m_state.shortPromptEngines(pool),
                                     1.0,
                                     0,
                                     {},
                                     m_state.pace(pool.name),
                                     maxDelay(request),
                                     true};
    return m_state.engines().choose(query, engines, m_loads, m_state.health(), m_state.contexts());
}

void EngineScheduler::record(const PlacementRequest &request, const EngineChoice &choice)
{
    EngineChooser::recordSent(choice, request.prompt, m_state.contexts());
    const TimePoint now = m_clock.now();
    m_ledger.add(request.id,
                 {choice.instanceId, choice.load, choice.fetchTokens,
                  now + 2 * choice.expectedDelay + kOverdueMargin, now + request.remaining});
}

void EngineScheduler::apply(const PlacementProgress &progress)
{
    for (const PlacementProgress::Local &it : progress.placed) {
        const TimePoint endsBy = m_clock.now() + it.remaining;
        m_ledger.add({progress.process, it.number},
                     {it.instanceId, it.load, {}, m_clock.now() + kOverdueMargin, endsBy});
    }
    for (const std::uint64_t it : progress.computed)
        m_ledger.promptComputed({progress.process, it});
    for (const std::uint64_t it : progress.ended)
        m_ledger.end({progress.process, it});
}

} // namespace fordwood::node
