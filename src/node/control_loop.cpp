// SPDX-License-Identifier: MIT
#include "node/control_loop.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"
#include "fordwood/old_context_times.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/context_messages.hpp"
#include "node/control_limits.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kTickInterval = std::chrono::milliseconds(20);

// How often the node checks which nodes are alive and updates its own role.
constexpr Duration kMemberUpdateInterval = std::chrono::milliseconds(100);

// How often the store is polled in addition to the watch, and by how many nodes.
constexpr Duration kPollInterval = std::chrono::milliseconds(1'000);
constexpr std::size_t kPollingNodes = 2;

// A node to which the answers to these polls do not come polls as well: the lease on kept context
// ends while they stay away (OldContextTimes).
constexpr Duration kMaxReplicaAge = std::chrono::seconds(2);

// A removal that is seen this soon after the store answered again may be an expired lease.
constexpr Duration kExpiryDoubtTime = std::chrono::seconds(1);

// In a large fleet a relay takes the lock. Other nodes try only after this delay, since it is
// possible that the store answers none of the relays.
constexpr Duration kNonRelayLockDelay = std::chrono::seconds(2);

// Nodes with a higher rank number wait longer, so that those before them get the lock first.
constexpr Duration kLockDelayPerRank = std::chrono::milliseconds(150);

// Nodes with a higher rank number wait longer before they write naming marks, so that usually only
// the first one writes.
constexpr Duration kMarkDelayPerRank = std::chrono::milliseconds(300);

// A mark ends this long before old weights stop being allowed. The node's information from the
// store may be two seconds old, and a request that is routed by the mark must still begin in time.
constexpr Duration kMarkMargin = std::chrono::seconds(4);

// Within this time operators and upstreams write again what a restored store has lost.
constexpr Duration kRestoreTime = std::chrono::seconds(10);

constexpr std::size_t kMailboxCapacity = 64;

// Peers notice within seconds from missing messages that a node is gone, so its key may stay a
// little longer. Three renewals may fail before the key expires.
constexpr LeasedKey::Limits kNodeKeyLimits{std::chrono::seconds(10), std::chrono::seconds(3),
                                           std::chrono::milliseconds(700)};

PeerAddress ownAddress(const config::OneProcessSettings &settings)
{
    return {settings.peers.gossipListen,    settings.peers.listen,
            settings.node.failureDomain,    vmStrength(settings.vm),
            settings.peers.placementListen, settings.peers.proxyListen};
}

double linkBytesPerSecond(const config::OneProcessSettings &settings)
{
    constexpr double kBytesOfMegabit = 125'000.0;
    return kBytesOfMegabit * settings.vm.linkMbps;
}

LoadExchange::Pace exchangePace(const config::OneProcessSettings &settings)
{
    return {settings.peers.gossipEvery, kMinGossipInterval, linkBytesPerSecond(settings)};
}

ReplicaServer::Limits replicaServerLimits(const config::OneProcessSettings &settings)
{
    ReplicaServer::Limits limits;
    limits.linkBytesPerSecond = linkBytesPerSecond(settings);
    return limits;
}

NamingMarks::Limits markLimits(const config::OneProcessSettings &settings)
{
    return {settings.bounds.weightsWithin - kMarkMargin, settings.store.minLease};
}

} // namespace

ControlLoop::ControlLoop(const config::OneProcessSettings &settings, const Clock &clock,
                         adapters::Metrics &metrics, Publish publish)
    : m_settings(settings), m_clock(clock), m_startedAt(clock.now()), m_metrics(metrics),
      m_publish(std::move(publish)), m_owner(makeNodeInstanceId(settings.node.name)), m_context(1),
      m_client(m_context, clock), m_freshness(clock),
      m_weightNamings(
          clock, settings.node.name,
          [this](const std::string &model, std::uint64_t version, const WeightHistory &history) {
              onWeightNaming(model, version, history);
          }),
      m_store(m_context, m_client, clock, metrics, {settings.store.address, settings.node.name},
              m_replica, *this),
      m_registration(clock, m_store, DocumentReader::nodeKey(settings.node.name), kNodeKeyLimits),
      m_sourceRegistration(
          clock, m_store, {settings.node.name, settings.node.failureDomain, settings.peers.listen}),
      m_namingMarks(clock, m_store, m_replica, m_weightNamings, markLimits(settings)),
      m_rolloutExecutor(clock, m_client, m_store, settings.node.name, m_owner,
                        lockLimits(settings)),
      m_contextStores(
          m_context, m_client, clock,
          [this](const std::string &failed) { return m_peers.roster().chooseContextRelay(failed); },
          [this](FleetUpdate it) { this->publish(std::move(it)); }),
      m_quarantine(clock, m_store, m_replica,
                   [this](std::vector<QuarantineUpdate> it) {
                       this->publish(PeerQuarantineUpdates{std::move(it)});
                   }),
      m_documents(metrics, *this),
      m_fetcher(clock, m_client, m_replica, metrics,
                [this](const ReplicaPart &it) { merge(it.changes, it.mayBeExpiry); }),
      m_replicaServer(clock, m_replica, metrics, replicaServerLimits(settings)),
      m_replicaCheck([this] { return m_store.poll(); },
                     [this](const ReplicaChecked &it) { this->publish(it); }),
      m_role(clock, {settings.node.name, vmStrength(settings.vm)}, relayRoleLimits(settings)),
      m_stallDetector(clock),
      m_peers(m_context, clock,
              {settings.node.name, settings.node.failureDomain, vmStrength(settings.vm)},
              directGossipLimit(settings), [this](const Gossip &it) { onGossip(it); }),
      m_exchange(clock, m_peers, metrics, exchangePace(settings),
                 [this](LoadReport it) { setOthersLoad(std::move(it)); }),
      m_relayWatch(clock), m_orderReports(clock),
      m_readyServer(m_context, [this](std::string_view it) { return readyReply(it); }),
      m_peerServer(m_context, [this](std::string_view it) { return peerReply(it); }),
      m_metricsServer(m_context, [this](std::string_view it) { return metricsReply(it); }),
      m_ownLoads(m_context, kMailboxCapacity,
                 [this](OwnLoads it) { handleOwnLoads(std::move(it)); }),
      m_replicaChecks(m_context, kMailboxCapacity,
                      [this](TimePoint since) { m_replicaCheck.request(since); }),
      m_ownQuarantineUpdates(
          m_context, kMailboxCapacity,
          [this](const std::vector<QuarantineUpdate> &it) { handleOwnQuarantineUpdates(it); }),
      m_tickTimer(m_context), m_upstreams(clock, {}),
      m_drainReports(m_upstreams, [this](FleetUpdate it) { this->publish(std::move(it)); }),
      m_loads(clock), m_limitReports(clock)
{ }

bool ControlLoop::open()
{
    m_fetcher.setSeeds(m_settings.peers.seeds, m_settings.peers.listen);
    ErrorCode ec;
    const auto failed = [&](const std::string &address) {
        logEvent(Event::ListenFailed, {{"address", address}, {"error", ec.message()}});
        return false;
    };
    if (!m_readyServer.listen(m_settings.callers.readyListen, ec))
        return failed(m_settings.callers.readyListen);
    if (!m_peerServer.listen(m_settings.peers.listen, ec))
        return failed(m_settings.peers.listen);
    if (!m_metricsServer.listen(m_settings.peers.metricsListen, ec))
        return failed(m_settings.peers.metricsListen);
    if (!m_peers.open(m_settings.peers.gossipListen, ec))
        return failed(m_settings.peers.gossipListen);
    m_registration.setValue(encodePeerAddress(ownAddress(m_settings)));
    m_store.start();
    tick();
    return true;
}

void ControlLoop::stop()
{
    m_context.stop();
}

void ControlLoop::beginStop(const StopStarted &stop)
{
    net::post(m_context, [this, stop] {
        m_isStopping = true;
        m_rolloutExecutor.release();
        publish(stop);
    });
}

void ControlLoop::announceEnd()
{
    net::post(m_context, [this] {
        m_isLeaving = true;
        m_registration.setValue(std::nullopt);
        m_sourceRegistration.tick(false, m_peers.roster().size() + 1, m_replica.size());
        gossip();
    });
}

void ControlLoop::reload(const config::OneProcessSettings &settings)
{
    // The listen addresses of a running process stay; changing one needs a restart.
    net::post(m_context, [this, settings] {
        m_settings.peers = settings.peers;
        m_fetcher.setSeeds(m_settings.peers.seeds, m_settings.peers.listen);
    });
}

ServedReply ControlLoop::readyReply(std::string_view) const
{
    return makeReply(hasConfigurationAndUpstreams() && !m_isStopping ? 200 : 503);
}

ServedReply ControlLoop::metricsReply(std::string_view target) const
{
    if (target != "/metrics")
        return makeReply(404);
    return makeReply(200, m_metrics.text());
}

ServedReply ControlLoop::peerReply(std::string_view target)
{
    if (auto reply = m_replicaServer.reply(target, removalsMayBeExpiry()))
        return std::move(*reply);
    const auto positions = parseContextUpdatesTarget(target);
    if (!positions)
        return makeReply(404);
    if (!m_role.followsContext())
        return makeReply(503);
    return makeReply(200, encodeContextUpdates(m_contextStores.updatesSince(*positions)));
}

// Whether a removal may be due to a lease that expired while the store was unreachable.
bool ControlLoop::removalsMayBeExpiry() const
{
    return !reachesStore() || m_clock.now() - m_expiryDoubtSince < kExpiryDoubtTime;
}

void ControlLoop::onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes &times)
{
    // Must come before the merge: the merged changes are dated by it.
    const StoreVersion since{changes.epoch, changes.since};
    if (times.noChangesUntil && since == m_replica.version())
        m_freshness.storeHadNoChanges(*times.noChangesUntil);
    merge(changes, removalsMayBeExpiry());
    if (!isUpToDateWith(changes.version()))
        return;
    m_freshness.storeAnswered(times.sentAt);
    m_replicaReadAt = std::max(m_replicaReadAt, times.sentAt);
}

void ControlLoop::onPollEnd(TimePoint sentAt, bool isAnswered)
{
    m_replicaCheck.pollEnded(sentAt, isAnswered && m_replicaReadAt >= sentAt);
}

void ControlLoop::onReachabilityChange(bool reachable)
{
    if (reachable) {
        m_expiryDoubtSince = m_clock.now();
        logEvent(Event::PlatformBack, {{"revision", m_replica.version().revision}});
    } else {
        logEvent(Event::PlatformLost, {{"revision", m_replica.version().revision}});
    }
    updateReachability();
}

void ControlLoop::onReplicaSources(const std::vector<ReplicaSource> &sources)
{
    logEvent(Event::ReplicaSourcesFound, {{"sources", sources.size()}});
    m_fetcher.setSources(
        addressesInOrder(sources, m_settings.node.name, m_settings.node.failureDomain));
}

void ControlLoop::updateReachability()
{
    const bool reachable = reachesStore() || m_peers.roster().anyPeerGetsStoreChanges();
    if (reachable == m_publishedReachable)
        return;
    m_publishedReachable = reachable;
    m_upstreams.setStoreReachable(reachable);
    publish(StoreReachability{reachable});
}

// Must come after the updates that the replica's changes cause.
void ControlLoop::publishCompleteness()
{
    if (const auto age = m_freshness.age())
        recordReplicaAge(*age);
    const auto asOf = m_freshness.completeAsOf();
    if (asOf == m_publishedCompleteAsOf)
        return;
    m_publishedCompleteAsOf = asOf;
    publish(ReplicaCompleteness{asOf});
}

void ControlLoop::recordReplicaAge(Duration age)
{
    m_metrics.setGauge("fordwood_replica_age_seconds", std::chrono::duration<double>(age).count());
    const bool isUnconfirmed = age >= OldContextTimes::kMinUseTime;
    if (isUnconfirmed == m_isReplicaUnconfirmed)
        return;
    m_isReplicaUnconfirmed = isUnconfirmed;
    logEvent(isUnconfirmed ? Event::ReplicaUnconfirmed : Event::ReplicaConfirmed,
             {{"age_ms", age},
              {"revision", m_replica.version().revision},
              {"reaches_store", reachesStore()},
              {"live", m_peers.roster().livePeers().size() + 1}});
}

void ControlLoop::merge(const StoreChanges &changes, bool mayBeExpiry)
{
    const StoreVersion before = m_replica.version();
    const auto changed = m_replica.merge(changes);
    if (!changed)
        return;
    const bool isRestored = before.revision != 0 && m_replica.version().epoch != before.epoch;
    if (isRestored)
        storeRestored(before);
    if (changes.since == 0)
        publish(ChangesSkipped{});
    m_documents.readAll(*changed, mayBeExpiry || isRestored);
    if (m_replica.version() != before && isFollowedByPeers())
        m_hasNews = true;
    updateEngines();
    m_rolloutExecutor.lock().keyChanged(m_replica.find(RolloutExecutor::lockKey()),
                                        m_replica.version().epoch);
    m_freshness.replicaReached(m_replica.version());
}

// Whether peers read this node's replica. In a large fleet they read those of relays, and of nodes
// that follow the store in their place; hundreds of others need not tell each change that they got.
bool ControlLoop::isFollowedByPeers() const
{
    return !usesLoadSums() || m_role.isRelay() || m_role.followsStore();
}

// The store was restored from a snapshot. Upstreams that are missing in it may still be running and
// may not have written their records again yet.
void ControlLoop::storeRestored(const StoreVersion &before)
{
    logEvent(Event::StoreRestored, {{"epoch", m_replica.version().epoch},
                                    {"revision", m_replica.version().revision},
                                    {"held_revision", before.revision}});
    m_restoreDoneAt = m_clock.now() + kRestoreTime;
    m_expiryDoubtSince = m_clock.now();
    m_freshness.storeRestored();
    m_upstreams.storeRestored();
    publish(StoreRestored{});
}

void ControlLoop::finishRestore()
{
    if (!m_restoreDoneAt || m_clock.now() < *m_restoreDoneAt)
        return;
    m_restoreDoneAt.reset();
    m_documents.readAll(m_replica.acceptDeferred(), false);
    updateEngines();
}

bool ControlLoop::isUpToDateWith(const StoreVersion &version) const
{
    return version.epoch == m_replica.version().epoch && version <= m_replica.version();
}

void ControlLoop::onConfiguration(ServingConfig config)
{
    m_hasConfiguration = true;
    m_contextStores.setStores(config.stores);
    if (const std::size_t maxReaders = maxContextReaders(config); maxReaders > 0)
        m_role.setMaxReaders(maxReaders);
    publish(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
}

void ControlLoop::onWeightVersion(const std::string &model, std::uint64_t version)
{
    m_rolloutExecutor.rollout().setTarget(model, version);
    m_weightNamings.recordFromStore(model, version, m_freshness.completeAsOf());
}

void ControlLoop::onWeightNaming(const std::string &model, std::uint64_t version,
                                 const WeightHistory &history)
{
    m_contextStores.setWeights(model, history);
    if (const auto naming = history.find(version))
        publish(WeightVersionNamed{model, version, *naming});
}

void ControlLoop::onUpstreamRecord(UpstreamRecord record)
{
    m_upstreams.put(record);
    publish(UpstreamRecordWritten{std::move(record)});
}

void ControlLoop::onUpstreamRemoved(const std::string &instanceId, bool mayBeExpiry)
{
    m_upstreams.remove(instanceId, mayBeExpiry);
    publish(UpstreamRecordRemoved{instanceId, mayBeExpiry});
}

// Engines of an evacuated domain still get orders, so that they have the right weights when the
// evacuation ends.
void ControlLoop::onEvacuation(const std::string &failureDomain, bool isEvacuated)
{
    publish(DomainEvacuated{failureDomain, isEvacuated});
}

void ControlLoop::onNodeAddress(const std::string &node, const PeerAddress &address)
{
    m_peers.setAddress(node, address);
    m_nodesChanged = true;
}

void ControlLoop::onNodeRemoved(const std::string &node)
{
    m_peers.removeAddress(node);
    m_nodesChanged = true;
}

void ControlLoop::onQuarantinedRequest(const RequestFingerprint &request,
                                       const std::vector<std::uint64_t> &instances)
{
    m_quarantine.addStored(request, instances);
}

void ControlLoop::handleOwnQuarantineUpdates(const std::vector<QuarantineUpdate> &updates)
{
    m_quarantine.addOwn(updates);
    m_hasNews = m_hasNews || m_quarantine.hasUnsent();
    if (isMessageDue())
        gossip();
}

// A new lock holder waits a quiet time after the last order of its predecessor. This shortens the
// wait if the predecessor is known to have sent no order recently.
void ControlLoop::shortenQuietTime()
{
    const auto holding = m_rolloutExecutor.lock().holding();
    const std::string &owner = m_rolloutExecutor.lock().predecessor();
    const std::string node = owner.substr(0, owner.find('/'));
    const auto lastReport
        = std::max(m_peers.roster().lastReceivedFrom(node), m_orderReports.lastReportTime(node));
    if (!holding || !lastReport)
        return;
    const auto lastOrder = m_orderReports.lastOrder(node);
    // A report that was sent after the predecessor's lease ended is final: without a lease it sends
    // no more orders.
    if (lastOrder && *lastReport > holding->since)
        m_rolloutExecutor.lock().setPredecessorLastActed(*lastOrder);
    // A silent predecessor may have sent further orders while it was cut off from all peers.
    // Engines that check fences reject those.
    else if (m_settings.bounds.fencesChecked)
        m_rolloutExecutor.lock().setPredecessorLastActed(*lastReport
                                                         + m_settings.peers.gossipEvery);
}

void ControlLoop::tick()
{
    m_tickTimer.start(kTickInterval, [this] { tick(); });
    const TimePoint now = m_clock.now();
    flushUpdates();
    m_freshness.tick();
    finishRestore();
    if (!m_isStopping) {
        m_registration.tick();
        shortenQuietTime();
        m_rolloutExecutor.tick(m_loads);
        updateLoading();
        m_contextStores.tick(m_rolloutExecutor.lock().holding());
        m_quarantine.tick();
    }
    if (now >= m_nextMemberUpdate)
        updateMembers();
    pollStore();
    m_fetcher.tick(m_peers.roster(), reachesStore());
    if (m_fetcher.takeOverdue())
        m_store.poll();
    m_exchange.tick(m_role.isRelay());
    if (isMessageDue())
        gossip();
}

void ControlLoop::updateMembers()
{
    m_nextMemberUpdate = m_clock.now() + kMemberUpdateInterval;
    updateReachability();
    publishCompleteness();
    recordReadiness();
    updateLiveNodes();
    updateKnownNodes();
    updateRole();
    if (!m_isStopping)
        m_sourceRegistration.tick(usesLoadSums() && m_role.isRelay(), m_peers.roster().size() + 1,
                                  m_replica.size());
    m_relayWatch.tick();
    updateNamingMarks();
    for (const std::string &it : m_upstreams.tick())
        logEvent(Event::UpstreamGone,
                 {{"upstream", it}, {"revision", m_replica.version().revision}});
    updateEngines();
}

bool ControlLoop::hasConfigurationAndUpstreams() const
{
    return m_hasConfiguration && m_upstreams.size() > 0;
}

void ControlLoop::recordReadiness()
{
    if (m_wasReady || !hasConfigurationAndUpstreams())
        return;
    m_wasReady = true;
    const Duration sinceStart = m_clock.now() - m_startedAt;
    logEvent(Event::NodeReady, {{"since_start_ms", sinceStart},
                                {"revision", m_replica.version().revision},
                                {"upstreams", m_upstreams.size()}});
    m_metrics.setGauge("fordwood_start_seconds", std::chrono::duration<double>(sinceStart).count());
}

void ControlLoop::updateLoading()
{
    const auto loading = m_rolloutExecutor.rollout().loading();
    if (!m_rolloutExecutor.rollout().takeNewReports() && loading == m_publishedLoading)
        return;
    m_publishedLoading = loading;
    m_hasNews = true;
    updateObservedVersions();
}

// Publishes the weight versions that engines have reported to this node.
void ControlLoop::updateObservedVersions()
{
    for (const auto &[id, models] : m_rolloutExecutor.rollout().reportedVersions()) {
        for (const auto &[model, weights] : models)
            publishObservedVersion(id, model, weights);
    }
}

// Updates the rollout's engines from the directory. A reported version that the engine's record has
// confirmed since, or should have confirmed, is no longer sent to peers: they would still take it
// for true after the engine has gone back to older weights.
void ControlLoop::updateEngines()
{
    updateObservedVersions();
    WeightRollout &rollout = m_rolloutExecutor.rollout();
    const WeightRollout::ReportedVersions observed = rollout.reportedVersions();
    for (const auto &[id, models] : observed) {
        for (const auto &[model, weights] : models) {
            if (!m_upstreams.isAheadOfRecord(id, model, weights.version))
                rollout.forgetReported(id, model);
        }
    }
    rollout.update(m_upstreams);
}

void ControlLoop::updateLiveNodes()
{
    m_rolloutExecutor.lock().setAcquireDelay(lockAcquireDelay());
    std::size_t live = m_peers.roster().livePeers().size() + 1;
    if (usesLoadSums())
        live = m_exchange.liveNodes() > 0 ? m_exchange.liveNodes() : m_peers.roster().size() + 1;
    if (live == m_liveNodes)
        return;
    m_liveNodes = live;
    logEvent(Event::MembersChanged, {{"live", live}});
    publish(LiveNodeCount{live});
}

void ControlLoop::updateKnownNodes()
{
    if (!m_nodesChanged || m_replica.isEmpty())
        return;
    m_nodesChanged = false;
    KnownNodes nodes{
        m_peers.roster().registeredPeers(), m_peers.roster().registeredSchedulers(), {}};
    if (!m_settings.peers.proxyListen.empty())
        nodes.proxies = m_peers.roster().registeredProxies();
    if (!m_settings.peers.placementListen.empty())
        nodes.schedulers.push_back({m_settings.node.name, m_settings.peers.placementListen,
                                    vmStrength(m_settings.vm), m_settings.node.failureDomain});
    if (nodes == m_publishedNodes) // rewriting a key does not change the set of nodes
        return;
    m_publishedNodes = nodes;
    publish(std::move(nodes));
}

// The delay grows with the node's rank by VM strength: the strongest node takes the lock, since the
// holder has the most work, and the others only if it does not.
Duration ControlLoop::lockAcquireDelay() const
{
    const PeerRoster &roster = m_peers.roster();
    if (usesLoadSums() && !m_role.isRelay())
        return kNonRelayLockDelay
               + kLockDelayPerRank * static_cast<std::int64_t>(roster.countHigherRanked());
    const std::size_t before = strengthRank(
        RolloutExecutor::lockKey(), {m_settings.node.name, vmStrength(m_settings.vm)},
        usesLoadSums() ? roster.relays() : roster.liveCandidates());
    return kLockDelayPerRank * static_cast<std::int64_t>(before + 1);
}

RelayRole::Peers ControlLoop::relayPeers() const
{
    const PeerRoster &roster = m_peers.roster();
    if (!usesLoadSums()) {
        RelayRole::Peers peers;
        peers.relays = roster.relays();
        peers.liveNodes = m_liveNodes;
        peers.relaysReachingStore = roster.domainPeersReachingStore();
        peers.hasReplica = !m_replica.isEmpty();
        return peers;
    }
    RelayRole::Peers peers = roster.relayRolePeers(m_store.isReachable());
    peers.hasReplica = !m_replica.isEmpty();
    return peers;
}

// Decides whether this node is a relay and which stores it follows itself.
void ControlLoop::updateRole()
{
    const bool wasRelay = m_role.isRelay();
    const bool followed = m_role.followsStore();
    if (m_stallDetector.poll() > Duration::zero())
        m_role.recordStall();
    m_role.update(relayPeers());
    m_contextStores.setReadsStores(m_role.followsContext());
    if (m_role.followsStore() != followed) {
        // Expired leases and removals of the time before cannot be told apart.
        if (m_role.followsStore())
            m_expiryDoubtSince = m_clock.now();
        m_store.setFollowing(m_role.followsStore());
    }
    if (m_role.isRelay() == wasRelay)
        return;
    logEvent(Event::RelayRoleChanged, {{"relay", m_role.isRelay()}, {"live", m_liveNodes}});
    m_hasNews = true;
}

// Reads and writes the marks that hold the ages of weight namings. A node that starts needs them if
// no running node knows the ages.
void ControlLoop::updateNamingMarks()
{
    m_namingMarks.read(m_freshness.completeAsOf());
    if (!reachesStore())
        return;
    const std::size_t before = rendezvousRank(stableHash("marks namings"), m_settings.node.name,
                                              m_peers.roster().peersReachingStore());
    m_namingMarks.write(kMarkDelayPerRank * static_cast<std::int64_t>(before));
}

// A watch may miss changes for a while when the connection or the store is in trouble. Two nodes
// poll the store in addition to it; the others get the changes from them.
void ControlLoop::pollStore()
{
    if (!reachesStore() || m_clock.now() < m_nextPoll)
        return;
    m_nextPoll = m_clock.now() + kPollInterval;
    const std::size_t before = rendezvousRank(stableHash("polls the store"), m_settings.node.name,
                                              m_peers.roster().peersReachingStore());
    const auto age = m_freshness.age();
    if (before < kPollingNodes || !age || *age > kMaxReplicaAge)
        m_store.poll();
}

void ControlLoop::publish(FleetUpdate update)
{
    if (!m_pendingUpdates.isEmpty() || !m_publish(update))
        m_pendingUpdates.push(std::move(update));
}

void ControlLoop::flushUpdates()
{
    if (m_pendingUpdates.isEmpty())
        return;
    m_metrics.count("fordwood_updates_waiting_total");
    m_pendingUpdates.flush(m_publish);
}

} // namespace fordwood::node
