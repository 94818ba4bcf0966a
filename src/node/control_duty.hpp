// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_CONTROL_DUTY_HPP_INCLUDED
#define FORDWOOD_NODE_CONTROL_DUTY_HPP_INCLUDED

#include <atomic>
#include <functional>
#include <memory>
#include <string>

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include "adapters/observe/metrics.hpp"
#include "config/node_settings.hpp"
#include "fordwood/relay_role.hpp"
#include "fordwood/replica_freshness.hpp"
#include "fordwood/store_replica.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "node/context_store_manager.hpp"
#include "node/document_reader.hpp"
#include "node/drain_reports.hpp"
#include "node/fleet_update.hpp"
#include "node/http_client.hpp"
#include "node/internal_server.hpp"
#include "node/load_exchange.hpp"
#include "node/mailbox.hpp"
#include "node/naming_marks.hpp"
#include "node/order_duty.hpp"
#include "node/order_reports.hpp"
#include "node/own_key.hpp"
#include "node/peer_links.hpp"
#include "node/quarantine_duty.hpp"
#include "node/replica_fetcher.hpp"
#include "node/round_robin_batcher.hpp"
#include "node/store_link.hpp"
#include "node/update_queue.hpp"
#include "node/weight_naming_tracker.hpp"
#include "platform/document_order.hpp"

namespace fordwood::node {

// All that a node knows of the fleet and says to it: follows the platform's store, exchanges its
// copy with peers, orders weights, watches the stores of kept context. Runs on a thread of its own,
// and tells the thread that serves requests what has changed.
class ControlDuty : private StoreListener, private DocumentListener
{
public:
    // False when the receiver is full for the moment.
    using Tell = std::function<bool(FleetUpdate)>;

    ControlDuty(const config::OneProcessSettings &settings, const Clock &clock,
                adapters::Metrics &metrics, Tell tell);

    // Opens the node's sockets; false when one cannot be opened, which has been logged.
    bool open();

    // Runs until stop().
    void run() { m_context.run(); }

    // From any thread.
    void stop();
    void beginStop();
    // Says goodbye to peers and to the platform, a moment before stop().
    void finishStop();
    void reload(const config::OneProcessSettings &settings);
    Mailbox<OwnLoads> &loadsMailbox() { return m_ownLoads; }
    Mailbox<std::vector<QuarantineUpdate>> &requestNewsMailbox() { return m_ownRequestNews; }

private:
    void storeTold(const StoreChanges &changes, const StoreAnswerTimes &times) override;
    void storeReachable(bool reachable) override;

    void configurationRead(ServingConfig config) override;
    void weightsNamed(const std::string &model, std::uint64_t version) override;
    void upstreamWritten(UpstreamRecord record) override;
    void upstreamRemoved(const std::string &instanceId, bool mayBeExpiry) override;
    void evacuationRead(const std::string &failureDomain, bool isEvacuated) override;
    void nodeWritten(const std::string &node, const PeerAddress &address) override;
    void nodeRemoved(const std::string &node) override;
    void heldRequestRead(const RequestFingerprint &request,
                         const std::vector<std::uint64_t> &lives) override;

    HttpReply readyReply(std::string_view target) const;
    HttpReply peerReply(std::string_view target) const;
    HttpReply replicaReply(std::string_view target) const;
    HttpReply metricsReply(std::string_view target) const;

    void merge(const StoreChanges &changes, bool mayBeExpiry);
    void storeRestored(const StoreVersion &before);
    void settleRestored();
    bool holdsAllOf(const StoreVersion &version) const;

    void heard(const Gossip &message);
    void takeOrders(const std::string &node, const OrderReport &word);
    // Whether nodes hear of load by the sums of relays.
    bool usesSums() const;
    void noteOthersLoad(LoadReport others);
    void takeOwnLoads(OwnLoads own);
    void takeOwnRequestNews(const std::vector<QuarantineUpdate> &news);
    bool mayGossipAgain() const;
    Gossip ownMessage() const;
    std::vector<LimitGossip> limitsForPeers();
    void gossip();
    RelayRole::Peers relayPeers() const;
    void tick();
    void pollStore();
    void noteMarks();
    void noteReachability();
    void weightsLearnt(const std::string &model, std::uint64_t version,
                       const WeightHistory &history);
    void noteMembers();
    void noteLiveNodes();
    void noteKnownNodes();
    Duration lockPatience() const;
    void noteRole();
    // Whether this node follows the platform's store and is answered.
    bool reachesStore() const { return m_role.followsStore() && m_store.isReachable(); }
    void shortenQuietTime();
    void noteLoading();
    void noteShown();
    void noteEngines();
    void tellShown(const std::string &instanceId, const std::string &model,
                   const ObservedWeights &weights);
    OrderReport ownOrders() const;
    bool inDoubt() const;
    void tell(FleetUpdate update);
    void flushUpdates();

    config::OneProcessSettings m_settings;
    const Clock &m_clock;
    adapters::Metrics &m_metrics;
    Tell m_tell;
    const std::string m_owner; // this life of this node
    net::io_context m_context;
    HttpClient m_caller;
    const platform::DocumentOrder m_documentOrder{DocumentReader::nodeKey("")};
    StoreReplica m_replica{m_documentOrder};
    std::optional<TimePoint> m_settleAt; // after a restore of the store
    ReplicaFreshness m_freshness; // of the replica
    WeightNamingTracker m_weights;
    StoreLink m_store;
    OwnKey m_ownKey;
    NamingMarks m_marks;
    OrderDuty m_orders;
    ContextStoreManager m_contexts;
    QuarantineDuty m_quarantine;
    DocumentReader m_documents;
    ReplicaFetcher m_fetcher;
    RelayRole m_role;
    PeerLinks m_peers;
    LoadExchange m_exchange;
    OrderReports m_orderWords;
    InternalServer m_readyServer;
    InternalServer m_peerServer;
    InternalServer m_metricsServer;
    Mailbox<OwnLoads> m_ownLoads;
    Mailbox<std::vector<QuarantineUpdate>> m_ownRequestNews;
    net::steady_timer m_tickTimer;
    UpstreamDirectory m_upstreams;
    DrainReports m_drainReports;
    UpstreamLoadTracker m_loads;
    OwnLoads m_lastOwn;
    RoundRobinBatcher<LimitGossip> m_limitRounds;
    UpdateQueue m_waiting; // updates that did not fit
    bool m_hasConfiguration = false;
    bool m_isStopping = false;
    bool m_isLeaving = false; // nothing runs any more
    bool m_gossipSoon = false; // something changed that peers should hear at once
    std::size_t m_liveNodes = 0;
    bool m_keysChanged = true; // of nodes in the platform's store, since they were told of
    bool m_toldReachable = true;
    bool m_toldInformed = true;
    std::set<std::string> m_toldLoading;
    std::optional<std::vector<std::string>> m_toldNodes;
    TimePoint m_storeBack{}; // when the store answered this node again
    TimePoint m_lastGossip{};
    TimePoint m_nextGossip{};
    TimePoint m_nextLimits{};
    TimePoint m_nextMembers{};
    TimePoint m_nextPoll{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_CONTROL_DUTY_HPP_INCLUDED
