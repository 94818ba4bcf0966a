// SPDX-License-Identifier: MIT
#include "node/node_state.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"
#include "fordwood/old_context_times.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/admitted_call.hpp"
#include "node/control_limits.hpp"

namespace fordwood::node {

namespace {

// The share of an upstream's connections that all nodes together use. The rest is a reserve for
// connections that a restarted node left open, which it no longer knows of.
constexpr double kUsableConnectionShare = 0.9;

// Each node reports several times a second which engines are loading weights at its order. The
// report of a node that has stopped reporting expires after this time, as the node may be gone.
constexpr Duration kLoadingReportLifetime = std::chrono::seconds(1);

// After a stall, context stores that are reachable answer within this time.
constexpr Duration kStallRecoveryTime = std::chrono::milliseconds(150);

// During a planned stop, a request is expected to take no longer than this share of the latest ones
// of its route. One that may not run again is lost if it is cut, so it is given the wider margin.
// One outlier among the latest does not count.
constexpr double kUsualShare = 0.9;
constexpr double kUsualShareOnce = 0.98;

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

BufferLimits bufferLimits(const config::OneProcessSettings &settings)
{
    constexpr double kBytesOfMegabyte = 1'000'000.0;
    const double total
        = settings.callers.bufferShare * settings.vm.memoryMegabytes * kBytesOfMegabyte;
    BufferLimits limits;
    limits.perChannel = settings.callers.channelBuffer;
    limits.total = static_cast<std::size_t>(total);
    limits.perTeam = static_cast<std::size_t>(settings.callers.teamBufferShare * total);
    return limits;
}

// Whether a resumable route of the old configuration has other services or weights in the new one.
bool movesStreams(const ServingConfig &before, const ServingConfig &after)
{
    return std::any_of(before.routes.begin(), before.routes.end(), [&](const ServiceRoute &old) {
        return old.isResumableStream()
               && std::none_of(after.routes.begin(), after.routes.end(), [&](const auto &it) {
                      return it.host == old.host && it.pathPrefix == old.pathPrefix
                             && it.targets == old.targets;
                  });
    });
}

} // namespace

NodeState::NodeState(net::io_context &context, const Clock &clock,
                     const config::OneProcessSettings &settings, adapters::Metrics &metrics)
    : m_context(context), m_clock(clock), m_settings(settings), m_metrics(metrics),
      m_upstreams(clock, {}), m_loads(clock), m_health(clock), m_limitLog(metrics),
      m_gate(clock, coldLimits(settings), settings.node.name,
             stableHash(makeNodeInstanceId(settings.node.name))),
      m_brittle(clock), m_quarantine(clock), m_contexts(clock),
      m_engines(clock, chooserLimits(settings)),
      m_channels(context, clock, settings.callers.channelBuffer),
      m_paths(clock, settings.node.name, {m_upstreams, m_health, m_channels, metrics}),
      m_scheduler(*this, clock),
      m_placements(context, clock, metrics, stableHash(makeNodeInstanceId(settings.node.name)),
                   m_scheduler),
      m_readBarrier(context, clock, metrics),
      m_streams(context, clock, metrics, m_upstreams.versions(), m_readBarrier,
                [this](std::string_view bytes, const udp::endpoint &to) {
                    m_placements.send(bytes, to);
                }),
      m_places(
          context, clock, metrics, stableHash(makeNodeInstanceId(settings.node.name)),
          [this](const PlaceGroup &group) { return lendableUpstreams(group); },
          [this](std::string_view bytes, const udp::endpoint &to) {
              return m_placements.send(bytes, to);
          }),
      m_buffers(bufferLimits(settings)), m_incomingRequests(m_buffers.limits().total),
      m_shortDemand(clock), m_stallDetector(clock), m_stop(settings.bounds.stopWithin)
{
    m_placements.onOtherMessage([this](std::string_view bytes, const udp::endpoint &from) {
        checkForStall();
        return m_streams.onDatagram(bytes, from) || m_places.onDatagram(bytes, from);
    });
}

void NodeState::handle(const FleetUpdate &update)
{
    std::visit([this](const auto &it) { apply(it); }, update);
}

void NodeState::apply(const ConfigApplied &update)
{
    // A stream may have begun at a service from which its route has moved away.
    if (m_table && movesStreams(m_table->config(), update.table->config()))
        m_upstreams.versions().interrupt();
    m_table = update.table;
    m_contexts.setStores(m_table->config().stores);
    std::set<std::string> routes;
    for (const ServiceRoute &it : m_table->config().routes) {
        routes.insert(it.name);
        if (it.isResumableStream())
            m_upstreams.versions().extendStreamLifetime(longestTimeout(it));
    }
    m_answerTimes.retain(routes);
    m_metrics.setGauge("fordwood_configuration_version",
                       static_cast<double>(m_table->config().version));
}

void NodeState::apply(const UpstreamRecordWritten &update)
{
    m_upstreams.put(update.record);
    m_gate.limitGate().upstreamLimits().addUpstream(update.record.instanceId);
    m_brittle.addUpstream(update.record.instanceId, update.record.service);
    m_gate.coldGate().setCold(update.record.instanceId, update.record.coldFor);
    m_streams.onVersionsChanged(update.record.service);
}

void NodeState::apply(const UpstreamRecordRemoved &update)
{
    const UpstreamRecord *record = m_upstreams.find(update.instanceId);
    const bool wasDraining = record != nullptr && record->draining;
    m_upstreams.remove(update.instanceId, update.mayBeExpiry);
    if (m_upstreams.find(update.instanceId) != nullptr)
        return;
    if (!wasDraining)
        recordUpstreamEnd(update.instanceId);
    forget(update.instanceId);
}

void NodeState::recordUpstreamEnd(const std::string &instanceId)
{
    m_quarantine.onUpstreamEnded(instanceId);
    m_onQuarantineUpdates();
}

void NodeState::apply(const DomainEvacuated &update)
{
    m_upstreams.setEvacuated(update.failureDomain, update.isEvacuated);
    m_metrics.setGauge("fordwood_evacuated_domains",
                       static_cast<double>(m_upstreams.evacuatedDomains()));
}

void NodeState::apply(const StoreReachability &update)
{
    m_upstreams.setStoreReachable(update.reachable);
    m_upstreams.versions().setFollowing(update.reachable);
}

void NodeState::apply(const StoreRestored & /*update*/)
{
    m_upstreams.storeRestored();
}

void NodeState::apply(const WeightVersionNamed &update)
{
    m_weights[update.model].record(update.version, update.naming);
    m_contexts.setWeights(update.model, m_weights[update.model]);
}

void NodeState::apply(const WeightsObserved &update)
{
    m_upstreams.setWeightVersion(update.instanceId, update.model, update.weights);
}

void NodeState::apply(const EnginesLoading &update)
{
    if (update.instanceIds.empty())
        m_loadingReports.erase(update.node);
    else
        m_loadingReports[update.node] = {update.instanceIds, m_clock.now()};
}

void NodeState::apply(const PeerLoads &update)
{
    m_loads.setPeerLoads(update.peer, update.loads);
    m_shortDemand.setPeer(update.peer, update.shortContextTokens);
    if (m_settings.mechanisms.toldContexts)
        m_contexts.recordPeerSends(update.contextsSent);
}

void NodeState::apply(const LiveNodeCount &update)
{
    m_liveNodes = std::max<std::size_t>(update.n, 1);
    m_gate.limitGate().setLiveNodeCount(m_liveNodes);
}

void NodeState::apply(const KnownNodes &update)
{
    m_gate.coldGate().setNodes(update.others);
    m_placements.setNodes(update.schedulers);
    m_streams.setNodes(update.schedulers, m_settings.peers.placementListen);
    m_places.setNodes(update.schedulers, m_settings.peers.placementListen);
    m_otherNodes = update.others;
    m_quarantine.setNodes(m_settings.node.name, update.others);
    m_paths.setPeers(update.proxies);
}

void NodeState::apply(const ContextStoreUpdated &update)
{
    // The update may have waited in the mailbox while the process was stalled.
    m_contexts.storeAnswered(update.update, m_clock.now() - update.receivedAt);
    if (update.update.clock.count() > 0)
        m_engineClock = {update.update.clock, update.receivedAt - update.update.age};
}

void NodeState::apply(const ReplicaCompleteness &update)
{
    m_contexts.setReplicaCompleteAsOf(update.asOf);
}

void NodeState::apply(const ChangesSkipped & /*update*/)
{
    m_upstreams.versions().interrupt();
}

void NodeState::apply(const ReplicaChecked &update)
{
    m_readBarrier.checked(update);
}

std::chrono::milliseconds NodeState::fetchDeadline() const
{
    if (m_engineClock.value.count() == 0)
        return std::chrono::milliseconds(0);
    // The clock reading is slightly old when it arrives, so the result errs on the early side.
    return m_engineClock.value
           + std::chrono::duration_cast<std::chrono::milliseconds>(
               m_clock.now() - m_engineClock.readAt + OldContextTimes::kMaxFetchTime);
}

void NodeState::apply(const ContextStoreFailed &update)
{
    m_contexts.storeFailed(update.store);
}

void NodeState::apply(const PeerQuarantineUpdates &update)
{
    m_quarantine.applyUpdates(update.updates);
    m_onQuarantineUpdates();
}

void NodeState::logHeldPart(const RequestFingerprint &part, const std::string &partId)
{
    constexpr std::size_t kMaxLogged = 256;
    if (m_loggedParts.size() >= kMaxLogged || !m_loggedParts.insert(part).second)
        return;
    adapters::logEvent(adapters::Event::PromptPartHeld,
                       {{"fingerprint", part.text()}, {"part", partId}});
}

void NodeState::apply(const StopStarted &update)
{
    m_stop.begin(update.signalledAt, update.takenAt);
    m_paths.startStop();
    adapters::logEvent(adapters::Event::StopHeard,
                       {{"signal_ms", update.takenAt - update.signalledAt},
                        {"heard_ms", m_clock.now() - update.takenAt}});
}

StopPlan::Request NodeState::stopRequest(const AdmittedCall &call) const
{
    StopPlan::Request request{call.terms.answerBy, std::nullopt};
    if (m_stop.hasBegun())
        request.usualTime = m_answerTimes.within(
            call.route->name, call.terms.mayRunAgain ? kUsualShare : kUsualShareOnce);
    return request;
}

void NodeState::recordAnswerTime(const AdmittedCall &call, Duration time)
{
    m_answerTimes.record(call.route->name, time);
}

void NodeState::countDuringStop(bool isRejected)
{
    if (!m_stop.hasBegun())
        return;
    (isRejected ? m_stopCounts.rejected : m_stopCounts.taken) += 1;
}

void NodeState::countCutByStop()
{
    m_stopCounts.cut += 1;
    m_metrics.count("fordwood_requests_cut_by_stop_total");
}

void NodeState::forget(const std::string &instanceId)
{
    m_channels.forget(instanceId);
    m_health.forget(instanceId);
    m_gate.forget(instanceId);
    m_brittle.forget(instanceId);
    m_limitLog.forget(instanceId);
}

bool NodeState::recordWeightMismatch(const std::string &requestId, const UpstreamAttempt &attempt)
{
    const std::string &id = attempt.upstream.instanceId;
    const std::uint64_t expected = attempt.engine.weightVersion;
    const std::uint64_t reported = attempt.head.weightVersion.value_or(0);
    if (attempt.model.empty() || reported == expected)
        return false;
    // The report is as old as the request, so what was learned since then may be newer.
    const bool isNewer
        = reported > 0 ? m_upstreams.setWeightVersion(id, attempt.model, {reported, attempt.sentAt})
                       : m_upstreams.rejectWeights(id, attempt.model, {expected, attempt.sentAt});
    if (isNewer)
        adapters::logEvent(adapters::Event::OtherWeightsFound, {{"upstream", id},
                                                                {"request", requestId},
                                                                {"model", attempt.model},
                                                                {"expected", expected},
                                                                {"weights", reported}});
    const UpstreamRecord *record = m_upstreams.find(id);
    if (record == nullptr)
        return false;
    const auto assumed = record->weightVersions.find(attempt.model);
    return assumed == record->weightVersions.end() || assumed->second != expected;
}

void NodeState::checkForStall()
{
    if (m_stallDetector.poll() == Duration::zero())
        return;
    m_stallEndedAt = m_clock.now();
    m_upstreams.versions().interrupt();
}

bool NodeState::isRecoveringFromStall()
{
    checkForStall();
    return m_stallEndedAt && m_clock.now() - *m_stallEndedAt < kStallRecoveryTime
           && !m_contexts.hasCurrentStore();
}

void NodeState::tick()
{
    checkForStall();
    for (const std::string &it : m_upstreams.tick()) {
        recordUpstreamEnd(it);
        forget(it);
    }
    m_upstreams.takeChanged(); // not followed on this thread; the list would grow
    m_channels.tick();
    m_paths.tick();
    m_placements.tick();
    m_streams.tick();
    m_places.tick(openAtBrittleUpstreams());
    m_gate.backoffs().tick();
    m_quarantine.tick();
    std::erase_if(m_loggedParts,
                  [this](const RequestFingerprint &it) { return !m_quarantine.isHeld(it); });
    m_metrics.setGauge("fordwood_quarantined_requests",
                       static_cast<double>(m_quarantine.heldRequests()));
    m_metrics.setGauge("fordwood_limited_upstreams",
                       static_cast<double>(m_gate.limitGate().upstreamLimits().limitedUpstreams()));
    m_metrics.setGauge("fordwood_brittle_upstreams", static_cast<double>(m_brittle.size()));
    m_metrics.setGauge("fordwood_backing_off_upstreams",
                       static_cast<double>(m_gate.backoffs().size()));
    m_metrics.setGauge("fordwood_draining_reported_upstreams",
                       static_cast<double>(m_upstreams.reportedDraining().size()));
    m_metrics.setGauge("fordwood_buffered_bytes", static_cast<double>(m_buffers.total()));
    m_metrics.setGauge("fordwood_cold_upstreams",
                       static_cast<double>(m_gate.coldGate().coldUpstreams()));
    if (!m_table)
        return;
    const std::size_t demand = m_shortDemand.total();
    for (const ServicePool &it : m_table->config().services) {
        if (it.engine && m_settings.mechanisms.shortEngines)
            m_shortPromptEngines[it.name]
                = enginesForShortPrompts(m_upstreams.usable(it.name), *it.engine, demand);
    }
}

const std::set<std::string> &NodeState::shortPromptEngines(const ServicePool &pool)
{
    return m_shortPromptEngines[pool.name];
}

double NodeState::consideredShare() const
{
    return m_settings.mechanisms.fewCandidates ? candidateFractionFor(m_liveNodes) : 1.0;
}

void NodeState::countPrompt(const Prompt &prompt, const EngineTraits &traits)
{
    if (isShortPrompt(prompt, traits))
        m_shortDemand.count(prompt);
}

bool NodeState::isLoading(const std::string &instanceId) const
{
    return std::any_of(m_loadingReports.begin(), m_loadingReports.end(), [&](const auto &it) {
        return m_clock.now() - it.second.receivedAt < kLoadingReportLifetime
               && it.second.instanceIds.contains(instanceId);
    });
}

std::vector<const UpstreamRecord *> NodeState::candidates(const ServicePool &pool)
{
    std::size_t maxChannels = SIZE_MAX;
    if (pool.maxConnections > 0) {
        const double share = kUsableConnectionShare * static_cast<double>(pool.maxConnections)
                             / static_cast<double>(m_liveNodes);
        maxChannels = std::max<std::size_t>(1, static_cast<std::size_t>(share));
    }
    std::vector<const UpstreamRecord *> found = m_upstreams.usable(pool.name);
    bool isLimitUsedUp = false;
    std::erase_if(found, [&](const UpstreamRecord *it) {
        if (isLoading(it->instanceId) || !m_channels.hasCapacity(it->instanceId, maxChannels))
            return true;
        if (m_gate.maySend(it->instanceId, pool.coldRequestsPerSecond))
            return false;
        isLimitUsedUp = isLimitUsedUp || m_gate.isLimited(it->instanceId);
        return true;
    });
    if (isLimitUsedUp)
        m_metrics.count("fordwood_limited_choices_total");
    return found;
}

std::vector<const UpstreamRecord *> NodeState::schedulableEngines(const ServicePool &pool) const
{
    std::vector<const UpstreamRecord *> found = m_upstreams.usable(pool.name);
    std::erase_if(found, [&](const UpstreamRecord *it) {
        return isLoading(it->instanceId) || m_gate.isRateLimited(it->instanceId);
    });
    return found;
}

bool NodeState::isEvacuated(const ServicePool &pool) const
{
    return m_upstreams.usable(pool.name).empty() && m_upstreams.hasEvacuated(pool.name);
}

bool NodeState::isFullyDraining(const ServicePool &pool) const
{
    return m_upstreams.usable(pool.name).empty() && m_upstreams.hasDraining(pool.name);
}

WindowBudget &NodeState::retryBudget(const std::string &service)
{
    const auto it = m_retryBudgets.find(service);
    if (it != m_retryBudgets.end())
        return it->second;
    WindowBudget::Limits limits;
    limits.window = m_settings.bounds.retryWindow;
    limits.ratio = m_settings.bounds.retryRatio;
    limits.slack = m_settings.bounds.retrySlack;
    return m_retryBudgets.emplace(service, WindowBudget(m_clock, limits)).first->second;
}

void NodeState::countRequest(const std::string &service)
{
    retryBudget(service).countRequest();
}

bool NodeState::takeRetry(const std::string &service)
{
    return retryBudget(service).takeRetry(m_liveNodes);
}

} // namespace fordwood::node
