// SPDX-License-Identifier: MIT
#include "node/engine_scheduler.hpp"

#include <algorithm>

#include "fordwood/rendezvous.hpp"
#include "fordwood/upstream_loads.hpp"
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

// A smaller difference may be due to the stores that the contexts come from.
constexpr double kSlowPace = 3.0;

// The work at a slow engine besides the recorded tokens, per unit of pace above 1: it delays the
// answers that run there and the prompt itself.
constexpr double kSlowEngineTokens = 2'000.0;

// Added to the estimate of each first token: the chunk that the engine computes at the moment, and
// the messages between the nodes.
constexpr Duration kFirstTokenOverhead = std::chrono::milliseconds(30);

// Share of the queued tokens that a short prompt waits for, and time to fetch a token relative to
// computing it, as EngineChooser estimates them.
constexpr double kShortQueueShare = 0.3;
constexpr double kFetchWeight = 0.2;

// Callers prefer a late answer to none, as long as the engines can make up for it.
constexpr double kMaxLateShare = 0.5;

Duration maxDelay(const PlacementRequest &request)
{
    return std::chrono::duration_cast<Duration>(
        kMaxWait * std::chrono::duration<double, std::milli>(request.targetLatency));
}

PlacementAdmission::Request admissionRequest(const PlacementRequest &request,
                                             const EngineChoice &choice)
{
    PlacementAdmission::Request result;
    result.team = request.team;
    result.fingerprint = request.fingerprint;
    result.targetLatency = request.targetLatency;
    result.remaining = request.remaining;
    result.delay = choice.expectedDelay;
    return result;
}

} // namespace

UpstreamLoad EngineScheduler::Loads::total(const std::string &instanceId) const
{
    UpstreamLoad load = m_scheduler.recordedLoad(instanceId);
    const std::uint64_t engine = UpstreamLoads::keyOf(instanceId);
    const double observed
        = m_scheduler.m_paces.value(engine, m_scheduler.m_ledger.firstDue(engine));
    const double pace = observed < kSlowPace ? 1.0 : observed;
    double tokens = pace * static_cast<double>(load.tokensToCompute);
    if (pace > 1.0)
        tokens += kSlowEngineTokens * (pace - 1.0);
    load.tokensToCompute = static_cast<std::size_t>(tokens);
    return load;
}

UpstreamLoad EngineScheduler::recordedLoad(const std::string &instanceId) const
{
    UpstreamLoad load = m_ledger.total(instanceId);
    if (isLedgerComplete())
        return load;
    const UpstreamLoad exchanged = m_state.loads().total(instanceId);
    load.running = std::max(load.running, exchanged.running);
    load.tokensToCompute = std::max(load.tokensToCompute, exchanged.tokensToCompute);
    load.tokensHeld = std::max(load.tokensHeld, exchanged.tokensHeld);
    return load;
}

EngineScheduler::EngineScheduler(NodeState &state, const Clock &clock)
    : m_state(state), m_clock(clock), m_ledger(clock), m_paces(clock), m_loads(*this),
      m_shortGroups(state, m_ledger, clock)
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
            = admission.decide(admissionRequest(request, *choice));
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
                                     m_shortGroups.engines(request.shard, pool),
                                     1.0,
                                     0,
                                     {},
                                     m_state.pace(pool.name),
                                     maxDelay(request),
                                     true};
    auto choice
        = m_state.engines().choose(query, engines, m_loads, m_state.health(), m_state.contexts());
    // The requesting node learns the pace of all engines from it.
    if (choice)
        choice->loadBefore = recordedLoad(choice->instanceId);
    return choice;
}

void EngineScheduler::record(const PlacementRequest &request, const EngineChoice &choice)
{
    EngineChooser::recordSent(choice, request.prompt, m_state.contexts());
    const std::string group = ShortPromptGroups::nameOf(request.service, request.shard);
    m_shortGroups.promptPlaced(group,
                               {choice.isShort, choice.load, choice.context, choice.sharedTokens});
    const TimePoint now = m_clock.now();
    m_ledger.add(request.id,
                 {choice.instanceId, choice.load, choice.fetchTokens,
                  now + 2 * choice.expectedDelay + kOverdueMargin, now + request.remaining,
                  choice.isShort ? group : std::string(), estimate(request, choice)});
}

// Without the pace of the engine, with which the first tokens are compared. Nothing is estimated
// while the ledger does not know all requests, or where a request waits for a slot.
PlacementLedger::Estimate EngineScheduler::estimate(const PlacementRequest &request,
                                                    const EngineChoice &choice) const
{
    const UpstreamLoad load = m_ledger.total(choice.instanceId);
    const ServicePool *pool = m_state.table()->findService(request.service);
    if (!isLedgerComplete() || load.running >= pool->engine->slots)
        return {};
    const std::size_t tokens = load.tokensToCompute + choice.load.tokensToCompute;
    double cost = static_cast<double>(choice.load.tokensToCompute);
    cost += (choice.isShort ? kShortQueueShare : 1.0) * static_cast<double>(load.tokensToCompute);
    for (const auto &[store, fetched] : choice.fetchTokens)
        cost += kFetchWeight * static_cast<double>(fetched);
    // Short prompts overtake the queue, so their first tokens do not show how fast it is computed.
    const Duration expected = kFirstTokenOverhead + m_state.pace(request.service).timeFor(cost);
    return {
        request.service, choice.isShort ? 0 : tokens,
        std::chrono::duration_cast<Duration>(usualRatio(request.service, choice.isShort)
                                             * std::chrono::duration<double, std::nano>(expected))};
}

// Services differ in what a first token takes besides computing: a ratio that is usual in the
// service says nothing about an engine.
double &EngineScheduler::usualRatio(const std::string &service, bool isShort) const
{
    return m_usualRatios.try_emplace({service, isShort}, 1.0).first->second;
}

void EngineScheduler::recordEnd(const PlacementId &id, bool hasPaused)
{
    m_shortGroups.answerEnded(m_ledger.shortRequestOf(id), hasPaused);
    m_ledger.end(id);
}

void EngineScheduler::observe(const PlacementLedger::FirstToken &firstToken)
{
    const PlacementLedger::Estimate &estimate = firstToken.estimate;
    m_paces.addSample(firstToken.engine, estimate.firstToken, firstToken.took);
    if (estimate.firstToken > Duration::zero()) {
        constexpr double kSampleWeight = 0.02; // some hundred requests show what is usual
        constexpr double kMaxRatio = 5.0; // a few dead engines must not count as usual
        const double ratio = std::chrono::duration<double>(firstToken.took)
                             / std::chrono::duration<double>(estimate.firstToken);
        double &usual = usualRatio(estimate.service, estimate.tokens == 0);
        usual *= 1.0 + kSampleWeight * (std::min(ratio, kMaxRatio) - 1.0);
    }
    m_state.pace(estimate.service).observe(estimate.tokens, firstToken.took);
}

void EngineScheduler::tick()
{
    m_ledger.removeExpired();
    m_shortGroups.update();
    m_paces.removeExpired();
}

void EngineScheduler::apply(const PlacementProgress &progress)
{
    for (const PlacementProgress::Local &it : progress.placed) {
        const TimePoint endsBy = m_clock.now() + it.remaining;
        m_ledger.add({progress.process, it.number},
                     {it.instanceId, it.load, {}, m_clock.now() + kOverdueMargin, endsBy});
    }
    for (const std::uint64_t it : progress.computed) {
        if (const auto firstToken = m_ledger.promptComputed({progress.process, it}))
            observe(*firstToken);
    }
    for (const std::uint64_t it : progress.ended)
        recordEnd({progress.process, it},
                  std::find(progress.paused.begin(), progress.paused.end(), it)
                      != progress.paused.end());
}

} // namespace fordwood::node
