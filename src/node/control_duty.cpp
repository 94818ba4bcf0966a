// SPDX-License-Identifier: MIT
#include "node/control_duty.hpp"

#include <algorithm>

#include "adapters/observe/event_log.hpp"
#include "fordwood/rendezvous.hpp"
#include "node/context_messages.hpp"
#include "node/control_limits.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;

constexpr Duration kTickEvery = std::chrono::milliseconds(20);

// How often the node looks at who lives and what follows for its own duties.
constexpr Duration kMembersEvery = std::chrono::milliseconds(100);

// A change is told to peers at once; this bounds how often when changes come in a row.
constexpr Duration kGossipLeast = std::chrono::milliseconds(10);

// A node that is not named by its peers for a second sends nothing to an upstream with a limit: so
// a few messages may be lost.
constexpr Duration kLimitsEvery = std::chrono::milliseconds(200);

// How often the store is asked beside the watch, and by how many nodes.
constexpr Duration kPollEvery = std::chrono::milliseconds(1'000);
constexpr std::size_t kPollingNodes = 2;

// A removal that is seen so soon after the store answered again may be an expiry.
constexpr Duration kExpiryDoubt = std::chrono::seconds(1);

// The name under which the load of all other nodes is kept where relays sum it up.
constexpr std::string_view kOthers = "others";

// In a large fleet relays take the lock. The others go for it only if no relay does for so long:
// none of these may be answered by the store.
constexpr Duration kLockPatienceOfOthers = std::chrono::seconds(2);

// Nodes that stand further down the order for the lock leave it to those before them.
constexpr Duration kLockPatiencePerRank = std::chrono::milliseconds(150);

// Nodes that stand further down the order for writing marks of namings leave it to those before
// them.
constexpr Duration kMarkPatiencePerRank = std::chrono::milliseconds(300);

// How long before the bound of old weights a mark ends. The word of the store on it may be two
// seconds old, and a request that is chosen by it must still begin in time.
constexpr Duration kMarkMargin = std::chrono::seconds(4);

// Within this operators and upstreams have written again what a restored store lost.
constexpr Duration kRestoreTime = std::chrono::seconds(10);

constexpr std::size_t kMailboxCapacity = 64;

PeerAddress ownAddress(const config::OneProcessSettings &settings)
{
    return {settings.peers.gossipListen, settings.peers.listen, settings.node.failureDomain,
            vmStrength(settings.vm)};
}

LoadExchange::Pace exchangePace(const config::OneProcessSettings &settings)
{
    constexpr double kBytesOfMegabit = 125'000.0;
    return {settings.peers.gossipEvery, kBytesOfMegabit * settings.vm.linkMbps};
}

NamingMarks::Limits markLimits(const config::OneProcessSettings &settings)
{
    return {settings.bounds.weightsWithin - kMarkMargin, settings.store.minLease};
}

} // namespace

ControlDuty::ControlDuty(const config::OneProcessSettings &settings, const Clock &clock,
                         adapters::Metrics &metrics, Tell tell)
    : m_settings(settings), m_clock(clock), m_metrics(metrics), m_tell(std::move(tell)),
      m_owner(makeNodeInstanceId(settings.node.name)), m_context(1), m_caller(m_context, clock),
      m_freshness(clock),
      m_weights(clock, settings.node.name,
                [this](const std::string &model, std::uint64_t version,
                       const WeightHistory &history) { weightsLearnt(model, version, history); }),
      m_store(m_context, m_caller, clock, settings.store.address, m_replica, *this),
      m_ownKey(clock, m_store, DocumentReader::nodeKey(settings.node.name),
               encodePeerAddress(ownAddress(settings))),
      m_marks(clock, m_store, m_replica, m_weights, markLimits(settings)),
      m_orders(clock, m_caller, m_store, settings.node.name, m_owner, lockLimits(settings)),
      m_contexts(
          m_context, m_caller, clock,
          [this](const std::string &failed) { return m_peers.roster().chooseContextRelay(failed); },
          [this](FleetUpdate it) { this->tell(std::move(it)); }),
      m_quarantine(clock, m_store, m_replica,
                   [this](std::vector<QuarantineUpdate> it) {
                       this->tell(PeerQuarantineUpdates{std::move(it)});
                   }),
      m_documents(metrics, *this),
      m_fetcher(clock, m_caller, m_replica, metrics,
                [this](const ReplicaPart &it) { merge(it.changes, it.mayBeExpiry); }),
      m_role(clock, {settings.node.name, vmStrength(settings.vm)}, relayRoleLimits(settings)),
      m_peers(m_context, clock,
              {settings.node.name, settings.node.failureDomain, vmStrength(settings.vm)},
              directGossipLimit(settings), [this](const Gossip &it) { heard(it); }),
      m_exchange(clock, m_peers, exchangePace(settings),
                 [this](LoadReport it) { noteOthersLoad(std::move(it)); }),
      m_orderWords(clock),
      m_readyServer(m_context, [this](std::string_view it) { return readyReply(it); }),
      m_peerServer(m_context, [this](std::string_view it) { return peerReply(it); }),
      m_metricsServer(m_context, [this](std::string_view it) { return metricsReply(it); }),
      m_ownLoads(m_context, kMailboxCapacity, [this](OwnLoads it) { takeOwnLoads(std::move(it)); }),
      m_ownRequestNews(m_context, kMailboxCapacity,
                       [this](const std::vector<QuarantineUpdate> &it) { takeOwnRequestNews(it); }),
      m_tickTimer(m_context), m_upstreams(clock, {}),
      m_drainReports(m_upstreams, [this](FleetUpdate it) { this->tell(std::move(it)); }),
      m_loads(clock)
{ }

bool ControlDuty::open()
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
    m_store.start();
    tick();
    return true;
}

void ControlDuty::stop()
{
    m_context.stop();
}

void ControlDuty::beginStop()
{
    net::post(m_context, [this] {
        m_isStopping = true;
        m_orders.release();
        tell(StopStarted{});
    });
}

void ControlDuty::finishStop()
{
    net::post(m_context, [this] {
        m_isLeaving = true;
        m_ownKey.remove();
        gossip();
    });
}

void ControlDuty::reload(const config::OneProcessSettings &settings)
{
    // Addresses of a running process stay as they are; a changed one needs a restart.
    net::post(m_context, [this, settings] {
        m_settings.peers = settings.peers;
        m_fetcher.setSeeds(m_settings.peers.seeds, m_settings.peers.listen);
    });
}

HttpReply ControlDuty::readyReply(std::string_view) const
{
    const bool ready = m_hasConfiguration && !m_isStopping && m_upstreams.size() > 0;
    return {ready ? 200U : 503U, ""};
}

HttpReply ControlDuty::metricsReply(std::string_view target) const
{
    if (target != "/metrics")
        return {404, ""};
    return {200, m_metrics.text()};
}

HttpReply ControlDuty::peerReply(std::string_view target) const
{
    if (target.starts_with(ReplicaFetcher::kTarget))
        return replicaReply(target);
    const auto positions = parseContextUpdatesTarget(target);
    if (!positions)
        return {404, ""};
    if (!m_role.followsContext())
        return {503, ""};
    return {200, encodeContextUpdates(m_contexts.updatesSince(*positions))};
}

HttpReply ControlDuty::replicaReply(std::string_view target) const
{
    const auto since = ReplicaFetcher::sinceOf(target);
    if (!since)
        return {400, ""};
    if (m_replica.isEmpty())
        return {503, ""};
    return {200, encodeReplicaPart({m_replica.changesSince(*since), inDoubt()})};
}

// Whether a removal may be the expiry of a lease while the store was away.
bool ControlDuty::inDoubt() const
{
    return !reachesStore() || m_clock.now() - m_storeBack < kExpiryDoubt;
}

void ControlDuty::storeTold(const StoreChanges &changes, const StoreAnswerTimes &times)
{
    // Before the news are read, since it dates them.
    const StoreVersion since{changes.epoch, changes.since};
    if (times.quietUntil && since == m_replica.version())
        m_freshness.storeHadNoChanges(*times.quietUntil);
    merge(changes, inDoubt());
    if (holdsAllOf(changes.version()))
        m_freshness.storeAnswered(times.asked);
}

void ControlDuty::storeReachable(bool reachable)
{
    if (reachable) {
        m_storeBack = m_clock.now();
        logEvent(Event::PlatformBack, {{"revision", m_replica.version().revision}});
    } else {
        logEvent(Event::PlatformLost, {{"revision", m_replica.version().revision}});
    }
    noteReachability();
}

void ControlDuty::noteReachability()
{
    const bool informed = reachesStore() || !m_peers.roster().livePeers().empty();
    if (informed != m_toldInformed) {
        m_toldInformed = informed;
        tell(ReceivesVersions{informed});
    }
    const bool reachable = reachesStore() || m_peers.roster().anyPeerGetsStoreChanges();
    if (reachable == m_toldReachable)
        return;
    m_toldReachable = reachable;
    m_upstreams.setStoreReachable(reachable);
    tell(StoreReachability{reachable});
}

void ControlDuty::merge(const StoreChanges &changes, bool mayBeExpiry)
{
    const StoreVersion before = m_replica.version();
    const auto changed = m_replica.merge(changes);
    if (!changed)
        return;
    const bool isRestored = before.revision != 0 && m_replica.version().epoch != before.epoch;
    if (isRestored)
        storeRestored(before);
    for (const StoredItem &it : *changed)
        m_documents.read(it, mayBeExpiry || isRestored);
    if (m_replica.version() != before)
        m_gossipSoon = true;
    noteEngines();
    m_orders.lock().keyChanged(m_replica.find(OrderDuty::lockKey()), m_replica.version().epoch);
}

// The copy is that of a store that was restored from a snapshot. Upstreams that it lacks may not
// have written themselves again yet.
void ControlDuty::storeRestored(const StoreVersion &before)
{
    logEvent(Event::StoreRestored, {{"epoch", m_replica.version().epoch},
                                    {"revision", m_replica.version().revision},
                                    {"held_revision", before.revision}});
    m_settleAt = m_clock.now() + kRestoreTime;
    m_storeBack = m_clock.now();
    m_freshness.storeRestored();
    m_upstreams.storeRestored();
    tell(StoreRestored{});
}

void ControlDuty::settleRestored()
{
    if (!m_settleAt || m_clock.now() < *m_settleAt)
        return;
    m_settleAt.reset();
    for (const StoredItem &it : m_replica.acceptDeferred())
        m_documents.read(it, false);
    noteEngines();
}

bool ControlDuty::holdsAllOf(const StoreVersion &version) const
{
    return version.epoch == m_replica.version().epoch && version <= m_replica.version();
}

void ControlDuty::configurationRead(ServingConfig config)
{
    m_hasConfiguration = true;
    m_contexts.setStores(config.stores);
    if (const std::size_t most = maxContextReaders(config); most > 0)
        m_role.setMaxReaders(most);
    tell(ConfigApplied{std::make_shared<const RouteTable>(std::move(config))});
}

void ControlDuty::weightsNamed(const std::string &model, std::uint64_t version)
{
    m_orders.rollout().setTarget(model, version);
    m_weights.recordFromStore(model, version, m_freshness.completeAsOf());
}

void ControlDuty::weightsLearnt(const std::string &model, std::uint64_t version,
                                const WeightHistory &history)
{
    m_contexts.setWeights(model, history);
    if (const auto naming = history.find(version))
        tell(WeightVersionNamed{model, version, *naming});
}

void ControlDuty::upstreamWritten(UpstreamRecord record)
{
    m_upstreams.put(record);
    tell(UpstreamRecordWritten{std::move(record)});
}

void ControlDuty::upstreamRemoved(const std::string &instanceId, bool mayBeExpiry)
{
    m_upstreams.remove(instanceId, mayBeExpiry);
    tell(UpstreamRecordRemoved{instanceId, mayBeExpiry});
}

// Orders go on to the engines of the domain: they shall have the right weights when they come back.
void ControlDuty::evacuationRead(const std::string &failureDomain, bool isEvacuated)
{
    tell(DomainEvacuated{failureDomain, isEvacuated});
}

void ControlDuty::nodeWritten(const std::string &node, const PeerAddress &address)
{
    m_peers.setAddress(node, address);
    m_keysChanged = true;
}

void ControlDuty::nodeRemoved(const std::string &node)
{
    m_peers.removeAddress(node);
    m_keysChanged = true;
}

void ControlDuty::heldRequestRead(const RequestFingerprint &request,
                                  const std::vector<std::uint64_t> &lives)
{
    m_quarantine.takeStored(request, lives);
}

void ControlDuty::takeOwnRequestNews(const std::vector<QuarantineUpdate> &news)
{
    m_quarantine.takeOwn(news);
    m_gossipSoon = m_gossipSoon || m_quarantine.hasNews();
    if (m_gossipSoon && mayGossipAgain())
        gossip();
}

bool ControlDuty::usesSums() const
{
    return m_settings.mechanisms.relays && m_settings.mechanisms.loadSums
           && m_peers.roster().size() >= kSmallFleet;
}

void ControlDuty::heard(const Gossip &message)
{
    m_exchange.handle(message, m_role.isRelay());
    // In a large fleet nodes hear from the relays only.
    m_quarantine.takeHeard(message.quarantineUpdates, usesSums() && m_role.isRelay());
    if (message.leaving) {
        m_loads.setPeerLoads(message.node, {});
        tell(PeerLoads{message.node, {}, 0, {}});
        tell(EnginesLoading{message.node, {}});
        return;
    }
    if (!usesSums() && message.scope == LoadScope::Node) {
        m_loads.setPeerLoads(message.node, message.load.loads);
        tell(PeerLoads{message.node, message.load.loads, message.load.shortContextTokens,
                       message.load.contextsSent});
    }
    if (!message.limits.empty())
        tell(PeerLimits{message.node, message.limits});
    if (m_drainReports.addFromPeer(message.node, message.draining))
        noteEngines();
    takeOrders(message.node, message.orders);
    for (const auto &[node, word] : message.forwardedOrders) {
        if (node != m_settings.node.name)
            takeOrders(node, word);
    }
    m_weights.recordFromPeer(message.node, message.namingAges);
    if (message.copyAge && holdsAllOf(message.version))
        m_freshness.peerHadNoChanges(*message.copyAge);
}

void ControlDuty::noteOthersLoad(LoadReport others)
{
    m_loads.setPeerLoads(std::string(kOthers), others.loads);
    tell(PeerLoads{std::string(kOthers), std::move(others.loads), others.shortContextTokens,
                   std::move(others.contextsSent)});
}

void ControlDuty::takeOrders(const std::string &node, const OrderReport &word)
{
    if (!m_orderWords.record(node, word))
        return;
    tell(EnginesLoading{node, word.enginesLoading});
    for (const auto &[id, models] : word.observedVersions) {
        for (const auto &[model, shown] : models)
            tellShown(id, model, {shown.version, m_clock.now() - word.age - shown.age});
    }
}

void ControlDuty::tellShown(const std::string &instanceId, const std::string &model,
                            const ObservedWeights &weights)
{
    if (m_upstreams.setWeightVersion(instanceId, model, weights))
        tell(WeightsObserved{instanceId, model, weights});
}

void ControlDuty::takeOwnLoads(OwnLoads own)
{
    // A relay's sums go out often enough by themselves.
    const bool isUrgent = own.isUrgent && !(usesSums() && m_role.isRelay());
    m_gossipSoon = m_gossipSoon || isUrgent;
    m_lastOwn = std::move(own);
    if (m_drainReports.addOwn(m_lastOwn.draining))
        noteEngines();
    if (m_gossipSoon && mayGossipAgain())
        gossip();
}

bool ControlDuty::mayGossipAgain() const
{
    return m_clock.now() >= m_lastGossip + kGossipLeast;
}

Gossip ControlDuty::ownMessage() const
{
    Gossip message;
    message.node = m_settings.node.name;
    message.failureDomain = m_settings.node.failureDomain;
    message.gossipAddress = m_settings.peers.gossipListen;
    message.replicaAddress = m_settings.peers.listen;
    message.version = m_replica.version();
    message.storeReachable = reachesStore() && !m_replica.isEmpty();
    message.strength = vmStrength(m_settings.vm);
    message.isRelay = m_role.isRelay();
    message.followsContext = m_role.followsContext();
    message.leaving = m_isLeaving;
    message.load
        = {1, UpstreamLoads(m_lastOwn.loads), m_lastOwn.shortContextTokens, m_lastOwn.contextsSent};
    message.orders = ownOrders();
    message.namingAges = m_weights.agesForPeers();
    if (const auto age = m_freshness.ageFromStore())
        message.copyAge = std::chrono::ceil<std::chrono::milliseconds>(*age);
    return message;
}

OrderReport ControlDuty::ownOrders() const
{
    const auto ageOf = [this](TimePoint when) {
        return std::chrono::duration_cast<std::chrono::milliseconds>(m_clock.now() - when);
    };
    OrderReport word;
    if (m_orders.lastOrder())
        word.lastOrder = ageOf(*m_orders.lastOrder());
    word.enginesLoading = m_orders.rollout().loading();
    for (const auto &[id, models] : m_orders.rollout().reportedVersions()) {
        for (const auto &[model, weights] : models)
            word.observedVersions[id][model] = {weights.version, ageOf(weights.seen)};
    }
    return word;
}

// Those that have just changed are told at once, the others now and then, since messages go out
// more often than a limit needs.
std::vector<LimitGossip> ControlDuty::limitsForPeers()
{
    const TimePoint now = m_clock.now();
    if (!m_lastOwn.isUrgent && now < m_nextLimits)
        return {};
    m_nextLimits = now + kLimitsEvery;
    // Where relays tell on what they hear, the other nodes speak of themselves only.
    const bool tellsAll = !usesSums() || m_role.isRelay();
    return m_limitRounds.next(tellsAll ? m_lastOwn.limits.all : m_lastOwn.limits.own);
}

void ControlDuty::gossip()
{
    Gossip message = ownMessage();
    message.quarantineUpdates = m_quarantine.newsForPeers();
    message.limits = limitsForPeers();
    message.draining = m_drainReports.nextBatch();
    tell(EnginesLoading{message.node, message.orders.enginesLoading});
    m_gossipSoon = false;
    m_lastGossip = m_clock.now();
    Duration pause = m_settings.peers.gossipEvery;
    if (usesSums()) {
        m_exchange.setOwn(message.load);
        if (m_role.isRelay()) {
            message.getsStoreChanges
                = message.storeReachable || !m_peers.roster().peersReachingStore().empty();
            message.forwardedOrders = m_orderWords.toForward();
        }
        pause = m_exchange.send(std::move(message), m_role.isRelay());
    } else {
        m_peers.sendAll(message);
    }
    m_metrics.setGauge("fordwood_peer_datagrams", static_cast<double>(m_peers.datagramsSent()));
    m_metrics.setGauge("fordwood_reporting_nodes",
                       static_cast<double>(m_exchange.reportingNodes()));
    m_nextGossip = m_clock.now() + pause;
}

// A new holder of the lock need not wait for a predecessor that has sent nothing of late.
void ControlDuty::shortenQuietTime()
{
    const auto holding = m_orders.lock().holding();
    const std::string &owner = m_orders.lock().predecessor();
    const std::string node = owner.substr(0, owner.find('/'));
    const auto heard
        = std::max(m_peers.roster().lastReceivedFrom(node), m_orderWords.lastReportTime(node));
    if (!holding || !heard)
        return;
    const auto lastOrder = m_orderWords.lastOrder(node);
    // Its word counts once its lease is over, since it sends no more orders then.
    if (lastOrder && *heard > holding->since)
        m_orders.lock().setPredecessorLastActed(*lastOrder);
    // One that fell silent may have gone on out of everyone's hearing; but then it is cut off, and
    // engines that check fences turn its orders away.
    else if (m_settings.bounds.fencesChecked)
        m_orders.lock().setPredecessorLastActed(*heard + m_settings.peers.gossipEvery);
}

void ControlDuty::tick()
{
    m_tickTimer.expires_after(kTickEvery);
    m_tickTimer.async_wait([this](const ErrorCode &ec) {
        if (!ec)
            tick();
    });
    const TimePoint now = m_clock.now();
    flushUpdates();
    m_freshness.tick();
    settleRestored();
    if (!m_isStopping) {
        m_ownKey.tick();
        shortenQuietTime();
        m_orders.tick(m_loads);
        noteLoading();
        m_contexts.tick(m_orders.lock().holding());
        m_quarantine.tick();
    }
    if (now >= m_nextMembers)
        noteMembers();
    pollStore();
    m_fetcher.tick(m_peers.roster(), reachesStore());
    if ((m_gossipSoon && mayGossipAgain()) || now >= m_nextGossip)
        gossip();
}

void ControlDuty::noteMembers()
{
    m_nextMembers = m_clock.now() + kMembersEvery;
    noteReachability();
    noteLiveNodes();
    noteKnownNodes();
    noteRole();
    noteMarks();
    for (const std::string &it : m_upstreams.tick())
        logEvent(Event::UpstreamGone,
                 {{"upstream", it}, {"revision", m_replica.version().revision}});
    if (m_upstreams.takeWeightsChanged())
        noteEngines();
}

void ControlDuty::noteLoading()
{
    const auto loading = m_orders.rollout().loading();
    if (!m_orders.rollout().takeNewReports() && loading == m_toldLoading)
        return;
    m_toldLoading = loading;
    m_gossipSoon = true;
    noteShown();
}

// What reports to this node have shown.
void ControlDuty::noteShown()
{
    for (const auto &[id, models] : m_orders.rollout().reportedVersions()) {
        for (const auto &[model, weights] : models)
            tellShown(id, model, weights);
    }
}

// The rollout goes by what the directory believes. What a record has said since, or should have,
// is not told to peers any more: they would believe it once the engine has gone back.
void ControlDuty::noteEngines()
{
    noteShown();
    WeightRollout &rollout = m_orders.rollout();
    const WeightRollout::ReportedVersions shown = rollout.reportedVersions();
    for (const auto &[id, models] : shown) {
        for (const auto &[model, weights] : models) {
            if (!m_upstreams.isAheadOfRecord(id, model, weights.version))
                rollout.forgetReported(id, model);
        }
    }
    rollout.setEngines(m_upstreams.stayingEngines());
}

void ControlDuty::noteLiveNodes()
{
    m_orders.lock().setAcquireDelay(lockPatience());
    std::size_t live = m_peers.roster().livePeers().size() + 1;
    if (usesSums())
        live = m_exchange.liveNodes() > 0 ? m_exchange.liveNodes() : m_peers.roster().size() + 1;
    if (live == m_liveNodes)
        return;
    m_liveNodes = live;
    logEvent(Event::MembersChanged, {{"live", live}});
    tell(LiveNodeCount{live});
}

void ControlDuty::noteKnownNodes()
{
    if (!m_keysChanged || m_replica.isEmpty())
        return;
    m_keysChanged = false;
    std::vector<std::string> others = m_peers.roster().registeredPeers();
    if (others == m_toldNodes) // keys are written anew without a change of the nodes
        return;
    m_toldNodes = others;
    tell(KnownNodes{std::move(others)});
}

// The strongest node takes the lock, since its holder has most to do; the others only when it does
// not.
Duration ControlDuty::lockPatience() const
{
    const PeerRoster &roster = m_peers.roster();
    if (usesSums() && !m_role.isRelay())
        return kLockPatienceOfOthers
               + kLockPatiencePerRank * static_cast<std::int64_t>(roster.countHigherRanked());
    const std::size_t before
        = strengthRank(OrderDuty::lockKey(), {m_settings.node.name, vmStrength(m_settings.vm)},
                       usesSums() ? roster.relays() : roster.liveCandidates());
    return kLockPatiencePerRank * static_cast<std::int64_t>(before + 1);
}

RelayRole::Peers ControlDuty::relayPeers() const
{
    const PeerRoster &roster = m_peers.roster();
    RelayRole::Peers peers;
    peers.relays = roster.relays();
    if (!usesSums()) {
        peers.liveNodes = m_liveNodes;
        peers.relaysReachingStore = roster.domainPeersReachingStore();
        return peers;
    }
    const auto relays = roster.domainRelays();
    const auto anyRelay = [&relays](bool PeerRoster::Peer::*holds) {
        return std::any_of(relays.begin(), relays.end(),
                           [holds](const PeerRoster::Peer *it) { return it->*holds; });
    };
    // Known ones, as a node that has just started hears nobody yet.
    peers.liveNodes = roster.size() + 1;
    peers.relaysReachingStore = roster.domainRelayCandidates();
    peers.higherRanked = roster.countHigherRanked();
    peers.relayReachesStore = anyRelay(&PeerRoster::Peer::reachesStore);
    peers.relayGetsStoreChanges = anyRelay(&PeerRoster::Peer::getsStoreChanges);
    peers.reachesStore = m_store.isReachable();
    return peers;
}

// Whether this node follows the stores itself.
void ControlDuty::noteRole()
{
    const bool wasRelay = m_role.isRelay();
    const bool followed = m_role.followsStore();
    m_role.update(relayPeers());
    m_contexts.setReadsStores(m_role.followsContext());
    if (m_role.followsStore() != followed) {
        // What has run out while this node did not look is not told from what was removed.
        if (m_role.followsStore())
            m_storeBack = m_clock.now();
        m_store.setFollowing(m_role.followsStore());
    }
    if (m_role.isRelay() == wasRelay)
        return;
    logEvent(Event::RelayRoleChanged, {{"relay", m_role.isRelay()}, {"live", m_liveNodes}});
    m_gossipSoon = true;
}

// The ages of namings, for nodes that start when nobody is left who knows them.
void ControlDuty::noteMarks()
{
    m_marks.read(m_freshness.completeAsOf());
    if (!reachesStore())
        return;
    const std::size_t before = rendezvousRank(stableHash("marks namings"), m_settings.node.name,
                                              m_peers.roster().peersReachingStore());
    m_marks.write(kMarkPatiencePerRank * static_cast<std::int64_t>(before));
}

// A watch may hear nothing for a while although things change. Two nodes ask beside it; the others
// hear from them.
void ControlDuty::pollStore()
{
    if (!reachesStore() || m_clock.now() < m_nextPoll)
        return;
    m_nextPoll = m_clock.now() + kPollEvery;
    const std::size_t before = rendezvousRank(stableHash("polls the store"), m_settings.node.name,
                                              m_peers.roster().peersReachingStore());
    if (before < kPollingNodes)
        m_store.poll();
}

void ControlDuty::tell(FleetUpdate update)
{
    if (!m_waiting.isEmpty() || !m_tell(update))
        m_waiting.push(std::move(update));
}

void ControlDuty::flushUpdates()
{
    if (m_waiting.isEmpty())
        return;
    m_metrics.count("fordwood_updates_waiting_total");
    m_waiting.flush(m_tell);
}

} // namespace fordwood::node
