// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTROL_LOOP_HPP_INCLUDED
#define FORDWOOD_NODE_CONTROL_LOOP_HPP_INCLUDED

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/observe/metrics.hpp"
#include "config/node_settings.hpp"
#include "fordwood/relay_role.hpp"
#include "fordwood/replica_freshness.hpp"
#include "fordwood/stall_detector.hpp"
#include "fordwood/store_replica.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "node/context_store_manager.hpp"
#include "node/document_reader.hpp"
#include "node/drain_reports.hpp"
#include "node/fleet_update.hpp"
#include "node/http_client.hpp"
#include "node/internal_server.hpp"
#include "node/leased_key.hpp"
#include "node/limit_reports.hpp"
#include "node/load_exchange.hpp"
#include "node/mailbox.hpp"
#include "node/naming_marks.hpp"
#include "node/order_reports.hpp"
#include "node/peer_links.hpp"
#include "node/quarantine_distributor.hpp"
#include "node/relay_watch.hpp"
#include "node/replica_check.hpp"
#include "node/replica_fetcher.hpp"
#include "node/replica_server.hpp"
#include "node/replica_sources.hpp"
#include "node/rollout_executor.hpp"
#include "node/store_client.hpp"
#include "node/timeout_timer.hpp"
#include "node/update_queue.hpp"
#include "node/weight_naming_tracker.hpp"
#include "platform/document_order.hpp"

namespace fordwood::node {

// Control thread of a node. Follows the platform's store, exchanges gossip and its replica of the
// store with peers, orders engines to load weights, and watches the context stores. Publishes every
// change to the thread that serves requests.
class ControlLoop : private StoreListener, private DocumentListener
{
public:
    // Returns false while the receiver is full.
    using Publish = std::function<bool(FleetUpdate)>;

    ControlLoop(const config::OneProcessSettings &settings, const Clock &clock,
                adapters::Metrics &metrics, Publish publish);

    // Opens the node's sockets. If one cannot be opened, logs that and returns false.
    bool open();

    // Runs until stop().
    void run() { m_context.run(); }

    // The following functions may be called from any thread.
    void stop();
    void beginStop(const StopStarted &stop);
    // Removes the node's key from the store and announces to peers that the node leaves. Call it
    // shortly before stop().
    void announceEnd();
    void reload(const config::OneProcessSettings &settings);
    Mailbox<OwnLoads> &loadsMailbox() { return m_ownLoads; }
    // Requests to compare the replica with the store; ReplicaChecked answers them.
    Mailbox<TimePoint> &replicaChecksMailbox() { return m_replicaChecks; }
    Mailbox<std::vector<QuarantineUpdate>> &quarantineUpdatesMailbox()
    {
        return m_ownQuarantineUpdates;
    }

private:
    void onStoreChanges(const StoreChanges &changes, const StoreAnswerTimes &times) override;
    void onReachabilityChange(bool reachable) override;
    void onPollEnd(TimePoint sentAt, bool isAnswered) override;
    void onReplicaSources(const std::vector<ReplicaSource> &sources) override;

    void onConfiguration(ServingConfig config) override;
    void onWeightVersion(const std::string &model, std::uint64_t version) override;
    void onUpstreamRecord(UpstreamRecord record) override;
    void onUpstreamRemoved(const std::string &instanceId, bool mayBeExpiry) override;
    void onEvacuation(const std::string &failureDomain, bool isEvacuated) override;
    void onNodeAddress(const std::string &node, const PeerAddress &address) override;
    void onNodeRemoved(const std::string &node) override;
    void onQuarantinedRequest(const RequestFingerprint &request,
                              const std::vector<std::uint64_t> &instances) override;

    bool hasConfigurationAndUpstreams() const;
    void recordReadiness();
    ServedReply readyReply(std::string_view target) const;
    ServedReply peerReply(std::string_view target);
    ServedReply metricsReply(std::string_view target) const;

    void merge(const StoreChanges &changes, bool mayBeExpiry);
    void storeRestored(const StoreVersion &before);
    void finishRestore();
    bool isUpToDateWith(const StoreVersion &version) const;

    void onGossip(const Gossip &message);
    void handleOrderReport(const std::string &node, const OrderReport &report);
    // Whether relays sum up the nodes' loads, so that nodes get sums instead of single reports.
    bool usesLoadSums() const;
    void setOthersLoad(LoadReport others);
    void handleOwnLoads(OwnLoads own);
    void handleOwnQuarantineUpdates(const std::vector<QuarantineUpdate> &updates);
    bool isMessageDue() const;
    bool isFollowedByPeers() const;
    Gossip ownMessage() const;
    void gossip();
    void addReports(Gossip &message);
    RelayRole::Peers relayPeers() const;
    void tick();
    void pollStore();
    void updateNamingMarks();
    void updateReachability();
    void publishCompleteness();
    void recordReplicaAge(Duration age);
    void onWeightNaming(const std::string &model, std::uint64_t version,
                        const WeightHistory &history);
    void updateMembers();
    void updateLiveNodes();
    void updateKnownNodes();
    Duration lockAcquireDelay() const;
    void updateRole();
    // Whether this node follows the platform's store and the store answers.
    bool reachesStore() const { return m_role.followsStore() && m_store.isReachable(); }
    void shortenQuietTime();
    void updateLoading();
    void updateObservedVersions();
    void updateEngines();
    void publishObservedVersion(const std::string &instanceId, const std::string &model,
                                const ObservedWeights &weights);
    OrderReport ownOrderReport() const;
    bool removalsMayBeExpiry() const;
    void publish(FleetUpdate update);
    void flushUpdates();

    config::OneProcessSettings m_settings;
    const Clock &m_clock;
    const TimePoint m_startedAt;
    adapters::Metrics &m_metrics;
    Publish m_publish;
    const std::string m_owner; // identifies this process instance of the node
    net::io_context m_context;
    HttpClient m_client;
    const platform::DocumentOrder m_documentOrder{DocumentReader::nodeKey("")};
    StoreReplica m_replica{m_documentOrder};
    std::optional<TimePoint> m_restoreDoneAt; // set while a restore of the store is handled
    ReplicaFreshness m_freshness; // of the replica
    WeightNamingTracker m_weightNamings;
    StoreClient m_store;
    LeasedKey m_registration; // peers find this node by the key
    SourceRegistration m_sourceRegistration;
    NamingMarks m_namingMarks;
    RolloutExecutor m_rolloutExecutor;
    ContextStoreManager m_contextStores;
    QuarantineDistributor m_quarantine;
    DocumentReader m_documents;
    ReplicaFetcher m_fetcher;
    ReplicaServer m_replicaServer;
    ReplicaCheck m_replicaCheck;
    TimePoint m_replicaReadAt{}; // the replica has all that the store had then
    RelayRole m_role;
    StallDetector m_stallDetector;
    PeerLinks m_peers;
    LoadExchange m_exchange;
    RelayWatch m_relayWatch;
    OrderReports m_orderReports;
    InternalServer m_readyServer;
    InternalServer m_peerServer;
    InternalServer m_metricsServer;
    Mailbox<OwnLoads> m_ownLoads;
    Mailbox<TimePoint> m_replicaChecks;
    Mailbox<std::vector<QuarantineUpdate>> m_ownQuarantineUpdates;
    TimeoutTimer m_tickTimer;
    UpstreamDirectory m_upstreams;
    DrainReports m_drainReports;
    UpstreamLoadTracker m_loads;
    OwnLoads m_lastOwnLoads;
    LimitReports m_limitReports;
    UpdateQueue m_pendingUpdates; // updates that the receiver had no space for
    bool m_hasConfiguration = false;
    bool m_wasReady = false;
    bool m_isStopping = false;
    bool m_isLeaving = false; // the planned stop is about to end
    bool m_hasNews
        = true; // something that peers should know at once, as that this node has started
    std::size_t m_liveNodes = 0;
    // Since the last KnownNodes update, node keys in the store have changed or a node has left.
    bool m_nodesChanged = true;
    bool m_publishedReachable = true;
    std::optional<TimePoint> m_publishedCompleteAsOf;
    bool m_isReplicaUnconfirmed = false;
    std::set<std::string> m_publishedLoading;
    std::optional<KnownNodes> m_publishedNodes;
    TimePoint m_expiryDoubtSince{}; // when this node last began to get answers from the store
    TimePoint m_lastGossip{};
    TimePoint m_nextMemberUpdate{};
    TimePoint m_nextPoll{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTROL_LOOP_HPP_INCLUDED
