// SPDX-License-Identifier: MIT
#include "node/traffic.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"
#include "fordwood/old_context_cleaner.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/control_limits.hpp"

namespace fordwood::node {

namespace {

// The part of an upstream's connections that all nodes together use: a node that starts again does
// not know of those that its last life left open.
constexpr double kConnectionPart = 0.9;

// A node says several times a second which engines load by its order; one that fell silent may be
// gone, and its word with it.
constexpr Duration kLoadingWord = std::chrono::seconds(1);

// The stores of context answer within this, or are themselves away.
constexpr Duration kWakeTime = std::chrono::milliseconds(150);

// Requests that may take longer than what is left of a planned stop are refused from here on: the
// platform forgives those that were sent in its first 3 s, less the way of the signal to a busy
// process.
constexpr Duration kEveryRequestTaken = std::chrono::milliseconds(2'800);

// The last part of the time that the platform gives a stop, kept for what follows the requests.
constexpr Duration kStopReserve = std::chrono::milliseconds(600);

EngineChooser::Limits chooserLimits(const config::OneProcessSettings &settings)
{
    EngineChooser::Limits limits;
    limits.weightsWithin = settings.bounds.weightsWithin;
    limits.mechanisms = settings.mechanisms;
    return limits;
}

ColdGate::Limits coldLimits(const config::OneProcessSettings &settings)
{
    ColdGate::Limits limits;
    limits.overshoot = settings.bounds.coldOvershoot;
    limits.slack = settings.bounds.coldSlack;
    return limits;
}

} // namespace

Traffic::Traffic(net::io_context &context, const Clock &clock,
                 const config::OneProcessSettings &settings, adapters::Metrics &metrics)
    : m_context(context), m_clock(clock), m_settings(settings), m_metrics(metrics),
      m_upstreams(clock, {}), m_loads(clock), m_health(clock), m_limitLog(metrics),
      m_gate(clock, coldLimits(settings), settings.node.name,
             stableHash(makeNodeLife(settings.node.name))),
      m_quarantine(clock), m_contexts(clock), m_engines(clock, chooserLimits(settings)),
      m_channels(context, clock), m_shortDemand(clock), m_standstill(clock)
{ }

void Traffic::take(const FleetUpdate &update)
{
    std::visit([this](const auto &it) { apply(it); }, update);
}

void Traffic::apply(const ConfigInForce &update)
{
    m_table = update.table;
    m_contexts.setStores(m_table->config().stores);
    m_metrics.setGauge("fordwood_configuration_version",
                       static_cast<double>(m_table->config().version));
}

void Traffic::apply(const UpstreamWritten &update)
{
    m_upstreams.put(update.record);
    m_gate.limits().beliefs().know(update.record.instanceId);
    m_gate.cold().noteCold(update.record.instanceId, update.record.coldFor);
}

void Traffic::apply(const UpstreamRemoved &update)
{
    const UpstreamRecord *record = m_upstreams.find(update.instanceId);
    const bool wasDraining = record != nullptr && record->draining;
    m_upstreams.remove(update.instanceId, update.mayBeExpiry);
    if (m_upstreams.find(update.instanceId) != nullptr)
        return;
    if (!wasDraining)
        noteUpstreamEnded(update.instanceId);
    forget(update.instanceId);
}

void Traffic::noteUpstreamEnded(const std::string &instanceId)
{
    m_quarantine.upstreamEnded(instanceId);
    m_requestNews();
}

void Traffic::apply(const DomainEvacuated &update)
{
    m_upstreams.setEvacuated(update.failureDomain, update.isEvacuated);
    m_metrics.setGauge("fordwood_evacuated_domains",
                       static_cast<double>(m_upstreams.evacuatedDomains()));
}

void Traffic::apply(const StoreReachability &update)
{
    m_upstreams.setStoreReachable(update.reachable);
}

void Traffic::apply(const StoreRestored & /*update*/)
{
    m_upstreams.storeRestored();
}

void Traffic::apply(const WeightsWanted &update)
{
    m_weights[update.model].record(update.version, update.naming);
    m_contexts.setWeights(update.model, m_weights[update.model]);
}

void Traffic::apply(const WeightsShown &update)
{
    m_upstreams.setWeightVersion(update.instanceId, update.model, update.weights);
}

void Traffic::apply(const EnginesLoading &update)
{
    if (update.instanceIds.empty())
        m_loading.erase(update.node);
    else
        m_loading[update.node] = {update.instanceIds, m_clock.now()};
}

void Traffic::apply(const PeerLoads &update)
{
    m_loads.setPeerLoads(update.peer, update.loads);
    m_shortDemand.setPeer(update.peer, update.shortContextTokens);
    if (m_settings.mechanisms.toldContexts)
        m_contexts.peerSent(update.contextsSent);
}

void Traffic::apply(const LiveNodes &update)
{
    m_liveNodes = std::max<std::size_t>(update.n, 1);
    m_gate.limits().setLiveNodes(m_liveNodes);
}

void Traffic::apply(const KnownNodes &update)
{
    m_gate.cold().setNodes(update.others);
}

void Traffic::apply(const ContextStoreTold &update)
{
    // It may have waited between the threads, as long as the node stood still.
    m_contexts.storeAnswered(update.news, m_clock.now() - update.heard);
    if (update.news.clock.count() > 0)
        m_engineClock = {update.news.clock, update.heard - update.news.age};
}

void Traffic::apply(const Informed &update)
{
    m_contexts.setInformed(update.informed);
}

std::chrono::milliseconds Traffic::fetchUntil() const
{
    if (m_engineClock.told.count() == 0)
        return std::chrono::milliseconds(0);
    // What was told is a little old by now, so that this errs to the early side.
    return m_engineClock.told
           + std::chrono::duration_cast<std::chrono::milliseconds>(
               m_clock.now() - m_engineClock.when + OldContextTimes::kMaxFetchTime);
}

void Traffic::apply(const ContextStoreSilent &update)
{
    m_contexts.storeSilent(update.store);
}

void Traffic::apply(const RequestsHeard &update)
{
    m_quarantine.heard(update.news);
    m_requestNews();
}

void Traffic::apply(const LimitsHeard &update)
{
    for (const LimitChange &it : m_gate.limits().heard(update.words))
        logLimit(it, update.peer);
}

void Traffic::apply(const DrainingReported &update)
{
    noteDraining(update.instanceId, update.peer);
}

void Traffic::apply(const StopBegins &)
{
    m_stopBegan = m_clock.now();
}

Duration Traffic::stopAge() const
{
    return m_stopBegan ? m_clock.now() - *m_stopBegan : Duration::zero();
}

TimePoint Traffic::stopEnds() const
{
    return m_stopBegan.value_or(m_clock.now()) + m_settings.bounds.stopWithin - kStopReserve;
}

bool Traffic::mayFinish(TimePoint answerBy) const
{
    return !isStopping() || stopAge() < kEveryRequestTaken || answerBy <= stopEnds();
}

void Traffic::forget(const std::string &instanceId)
{
    m_channels.forget(instanceId);
    m_health.forget(instanceId);
    m_gate.forget(instanceId);
    m_limitLog.forget(instanceId);
}

void Traffic::noteState(const std::string &requestId, const UpstreamAttempt &attempt)
{
    if (platform::isOfAnother(attempt.head, attempt.upstream.instanceId))
        return;
    if (attempt.head.isDraining)
        noteDraining(attempt.upstream.instanceId, requestId);
    if (attempt.head.backoff.isUnreadable)
        m_metrics.count("fordwood_unreadable_backoffs_total");
    if (attempt.head.backoff.length)
        noteBackoff(attempt.upstream.instanceId, *attempt.head.backoff.length, requestId);
}

void Traffic::noteBackoff(const std::string &instanceId, Duration length,
                          const std::string &request)
{
    if (m_upstreams.find(instanceId) == nullptr || !m_gate.backoffs().request(instanceId, length))
        return;
    const auto remaining
        = std::chrono::ceil<std::chrono::milliseconds>(m_gate.backoffs().remaining(instanceId));
    adapters::logEvent(
        adapters::Event::BackoffRequested,
        {{"upstream", instanceId}, {"request", request}, {"backoff_ms", remaining.count()}});
}

void Traffic::noteDraining(const std::string &instanceId, const std::string &source)
{
    if (!m_upstreams.reportDraining(instanceId))
        return;
    adapters::logEvent(adapters::Event::DrainingReported,
                       {{"upstream", instanceId}, {"source", source}});
    m_reportNow();
}

void Traffic::noteAnswer(const std::string &requestId, const UpstreamAttempt &attempt)
{
    const platform::AnswerHead &head = attempt.head;
    const std::string &id = attempt.upstream.instanceId;
    if (head.wrongInstance || m_upstreams.find(id) == nullptr)
        return;
    if (head.limit.isUnreadable)
        m_limitLog.unreadable(id, requestId);
    // A failure that something on the way has made up names no limit, and lifts none.
    const bool isWord = head.limit.perSecond || (head.isSealed && !head.limit.isUnreadable);
    if (!isWord)
        return;
    const auto change
        = m_gate.limits().beliefs().answered(id, head.limit.perSecond, attempt.sentAt);
    if (!change)
        return;
    logLimit(*change, requestId);
    m_reportNow();
}

bool Traffic::noteOtherWeights(const std::string &requestId, const UpstreamAttempt &attempt)
{
    const std::string &id = attempt.upstream.instanceId;
    const std::uint64_t expected = attempt.engine.weightVersion;
    const std::uint64_t told = attempt.head.weightVersion.value_or(0);
    if (attempt.model.empty() || told == expected)
        return false;
    // It was judged after it was sent: what has become known since then may be newer.
    const bool isNews
        = told > 0 ? m_upstreams.setWeightVersion(id, attempt.model, {told, attempt.sentAt})
                   : m_upstreams.doubtWeights(id, attempt.model, {expected, attempt.sentAt});
    if (isNews)
        adapters::logEvent(adapters::Event::OtherWeightsFound, {{"upstream", id},
                                                                {"request", requestId},
                                                                {"model", attempt.model},
                                                                {"expected", expected},
                                                                {"weights", told}});
    const UpstreamRecord *record = m_upstreams.find(id);
    if (record == nullptr)
        return false;
    const auto believed = record->weightVersions.find(attempt.model);
    return believed == record->weightVersions.end() || believed->second != expected;
}

void Traffic::noteStandstill()
{
    if (m_standstill.poll() > Duration::zero())
        m_woke = m_clock.now();
}

bool Traffic::isWaking()
{
    noteStandstill();
    return m_woke && m_clock.now() - *m_woke < kWakeTime && !m_contexts.hasWord();
}

void Traffic::tick()
{
    noteStandstill();
    for (const std::string &it : m_upstreams.tick()) {
        noteUpstreamEnded(it);
        forget(it);
    }
    m_channels.tick();
    m_gate.backoffs().tick();
    m_quarantine.tick();
    m_metrics.setGauge("fordwood_quarantined_requests",
                       static_cast<double>(m_quarantine.heldRequests()));
    m_metrics.setGauge("fordwood_limited_upstreams",
                       static_cast<double>(m_gate.limits().beliefs().limited()));
    m_metrics.setGauge("fordwood_backing_off_upstreams",
                       static_cast<double>(m_gate.backoffs().size()));
    m_metrics.setGauge("fordwood_draining_reported_upstreams",
                       static_cast<double>(m_upstreams.reportedDraining().size()));
    m_metrics.setGauge("fordwood_cold_upstreams",
                       static_cast<double>(m_gate.cold().coldUpstreams()));
    if (!m_table)
        return;
    const std::size_t demand = m_shortDemand.total();
    for (const ServicePool &it : m_table->config().services) {
        if (it.engine && m_settings.mechanisms.shortEngines)
            m_shortGroups[it.name]
                = enginesForShortPrompts(m_upstreams.usable(it.name), *it.engine, demand);
    }
}

const std::set<std::string> &Traffic::shortGroup(const ServicePool &pool)
{
    return m_shortGroups[pool.name];
}

double Traffic::consideredPart() const
{
    return m_settings.mechanisms.fewCandidates ? partToConsider(m_liveNodes) : 1.0;
}

void Traffic::countPrompt(const Prompt &prompt, const EngineTraits &traits)
{
    if (isShortPrompt(prompt, traits))
        m_shortDemand.count(prompt);
}

bool Traffic::isLoading(const std::string &instanceId) const
{
    return std::any_of(m_loading.begin(), m_loading.end(), [&](const auto &it) {
        return m_clock.now() - it.second.told < kLoadingWord
               && it.second.instanceIds.contains(instanceId);
    });
}

std::vector<const UpstreamRecord *> Traffic::candidates(const ServicePool &pool)
{
    std::size_t most = SIZE_MAX;
    if (pool.maxConnections > 0) {
        const double part = kConnectionPart * static_cast<double>(pool.maxConnections)
                            / static_cast<double>(m_liveNodes);
        most = std::max<std::size_t>(1, static_cast<std::size_t>(part));
    }
    std::vector<const UpstreamRecord *> found = m_upstreams.usable(pool.name);
    bool isLimitSpent = false;
    std::erase_if(found, [&](const UpstreamRecord *it) {
        if (isLoading(it->instanceId) || !m_channels.hasRoom(it->instanceId, most))
            return true;
        if (m_gate.maySend(it->instanceId, pool.coldRequestsPerSecond))
            return false;
        isLimitSpent = isLimitSpent || m_gate.isLimited(it->instanceId);
        return true;
    });
    if (isLimitSpent)
        m_metrics.count("fordwood_limited_choices_total");
    return found;
}

void Traffic::logLimit(const LimitChange &change, const std::string &source)
{
    m_limitLog.changed(change, source, m_gate.limits().ownPart(change.instanceId));
}

// Each node's callers return as often as its part of what all these upstreams take bears out.
std::chrono::milliseconds Traffic::returnAfterLimit(const ServicePool &pool)
{
    double perSecond = 0.0;
    for (const UpstreamRecord *it : m_upstreams.usable(pool.name))
        perSecond += m_gate.limits().partOfAll(it->instanceId).value_or(0.0);
    const auto times = m_returnTimes.try_emplace(pool.name, m_clock).first;
    return times->second.next(perSecond / static_cast<double>(m_liveNodes));
}

// At the end of their backoffs upstreams take about as many requests as they have slots, and as
// many again each second. Callers that all came back then would be rejected once more.
std::chrono::milliseconds Traffic::returnAfterBackoff(const ServicePool &pool, Duration backoff)
{
    std::size_t slots = 0;
    for (const UpstreamRecord *it : m_upstreams.usable(pool.name))
        slots += it->slots;
    const auto times = m_returnTimes.try_emplace(pool.name, m_clock).first;
    return times->second.next(static_cast<double>(slots) / static_cast<double>(m_liveNodes),
                              backoff);
}

std::set<std::string>
Traffic::boundedAmong(const std::vector<const UpstreamRecord *> &candidates) const
{
    std::set<std::string> bounded;
    for (const UpstreamRecord *it : candidates) {
        if (m_gate.isBounded(it->instanceId))
            bounded.insert(it->instanceId);
    }
    return bounded;
}

bool Traffic::isEvacuated(const ServicePool &pool) const
{
    return m_upstreams.usable(pool.name).empty() && m_upstreams.hasEvacuated(pool.name);
}

bool Traffic::isDrained(const ServicePool &pool) const
{
    return m_upstreams.usable(pool.name).empty() && m_upstreams.hasDraining(pool.name);
}

WindowBudget &Traffic::budget(const std::string &service)
{
    const auto it = m_budgets.find(service);
    if (it != m_budgets.end())
        return it->second;
    WindowBudget::Limits limits;
    limits.window = m_settings.bounds.retryWindow;
    limits.ratio = m_settings.bounds.retryRatio;
    limits.slack = m_settings.bounds.retrySlack;
    return m_budgets.emplace(service, WindowBudget(m_clock, limits)).first->second;
}

void Traffic::countRequest(const std::string &service)
{
    budget(service).countRequest();
}

bool Traffic::takeRepeat(const std::string &service)
{
    return budget(service).takeRepeat(m_liveNodes);
}

} // namespace fordwood::node
