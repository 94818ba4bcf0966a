// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_NODE_STATE_HPP_INCLUDED
#define FORDWOOD_NODE_NODE_STATE_HPP_INCLUDED

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/io_context.hpp>

#include "adapters/observe/limit_log.hpp"
#include "adapters/observe/metrics.hpp"
#include "config/node_settings.hpp"
#include "fordwood/answer_times.hpp"
#include "fordwood/brittle_upstreams.hpp"
#include "fordwood/buffer_budget.hpp"
#include "fordwood/context_directory.hpp"
#include "fordwood/engine_chooser.hpp"
#include "fordwood/engine_groups.hpp"
#include "fordwood/prefill_pace.hpp"
#include "fordwood/quarantine_gate.hpp"
#include "fordwood/retry_schedule.hpp"
#include "fordwood/route_table.hpp"
#include "fordwood/send_gate.hpp"
#include "fordwood/stall_detector.hpp"
#include "fordwood/stop_plan.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/window_budget.hpp"
#include "node/call_counts.hpp"
#include "node/channel_pool.hpp"
#include "node/engine_scheduler.hpp"
#include "node/fleet_update.hpp"
#include "node/incoming_requests.hpp"
#include "node/place_exchange.hpp"
#include "node/placements.hpp"
#include "node/read_barrier.hpp"
#include "node/stream_exchange.hpp"
#include "node/upstream_attempt.hpp"
#include "node/upstream_paths.hpp"

namespace fordwood::node {

struct AdmittedCall;

// The state that all requests of this node share: the current configuration, the known state of the
// upstreams, and the channels to them. Used only on the serving thread.
class NodeState
{
public:
    NodeState(net::io_context &context, const Clock &clock,
              const config::OneProcessSettings &settings, adapters::Metrics &metrics);

    // Applies an update from the control thread.
    void handle(const FleetUpdate &update);

    // Periodic work; called several times a second.
    void tick();

    // Whether this process has just recovered from a stall, such as a suspension of its VM, and no
    // context store has answered yet. Its view of the fleet is outdated, and will be current within
    // milliseconds.
    bool isRecoveringFromStall();

    // Notices a stall that has just ended, which the next tick would notice only later.
    void checkForStall();

    // The upstreams of a service to which a request may be sent now.
    std::vector<const UpstreamRecord *> candidates(const ServicePool &pool);

    // The candidates that accept only a limited number of requests. Only a few nodes, this one
    // included, may send to them.
    std::set<std::string>
    rateLimitedCandidates(const std::vector<const UpstreamRecord *> &candidates) const;

    // The retry time for a caller that is refused because all suitable upstreams of the service
    // have used up their rate limits.
    std::chrono::milliseconds retryAfterLimit(const ServicePool &pool);

    // The retry time if all of them are backing off, for at least `backoff`.
    std::chrono::milliseconds retryAfterBackoff(const ServicePool &pool, Duration backoff);

    // Whether the service has upstreams and all of them are in evacuated failure domains.
    bool isEvacuated(const ServicePool &pool) const;

    // Whether the service has upstreams and all of them are draining.
    bool isFullyDraining(const ServicePool &pool) const;

    // The engines of the service that are reserved for short prompts.
    const std::set<std::string> &shortPromptEngines(const ServicePool &pool);

    // The fraction of the engines that are considered for each request.
    double consideredShare() const;

    // Counts a short prompt toward the context that the engines for short prompts must keep.
    void countPrompt(const Prompt &prompt, const EngineTraits &traits);

    // The size in tokens of the contexts that the short prompts of this node use.
    std::size_t shortContextTokens() { return m_shortDemand.ownTokens(); }

    // The weight versions that were announced for the model.
    const WeightHistory &weights(const std::string &model) { return m_weights[model]; }

    // The engines of a service at which this node may place requests of all nodes. Cold engines are
    // not among them: they accept requests of a few nodes only.
    std::vector<const UpstreamRecord *> schedulableEngines(const ServicePool &pool) const;

    // Logs that requests are rejected for a part of their prompts, once for each part.
    void logHeldPart(const RequestFingerprint &part, const std::string &partId);

    // Requests an immediate load report to peers: a request was sent that they must know of before
    // they choose an engine, or a limit or an upstream's draining state has changed.
    void requestLoadReport() { m_onLoadReportRequest(); }
    void onLoadReportRequest(std::function<void()> callback)
    {
        m_onLoadReportRequest = std::move(callback);
    }

    // The rate limits to report to peers: the ones that this node has learned itself, and all known
    // ones, which it reports where it is a relay.
    LimitUpdates limitUpdates() const
    {
        return {m_gate.limitGate().ownUpdates(), m_gate.limitGate().allUpdates(),
                m_brittle.updates()};
    }

    // An upstream closed a connection during a request, or answered: the quarantine may have
    // updates for peers.
    void onQuarantineUpdates(std::function<void()> callback)
    {
        m_onQuarantineUpdates = std::move(callback);
    }
    void publishQuarantineUpdates() { m_onQuarantineUpdates(); }

    // Records the upstream's state from the head of an answer: whether it is draining, and whether
    // it asks this node to back off. Applies to each answer of the upstream, even if it belongs to
    // another request.
    void recordUpstreamState(const std::string &requestId, const UpstreamAttempt &attempt);

    // Records the upstream's rate limit from the answer to a request. A change is reported to peers
    // at once.
    void recordLimit(const std::string &requestId, const UpstreamAttempt &attempt);

    // Records from the answer to a request whether the upstream is brittle. A change is reported to
    // peers at once.
    void recordBrittleness(const std::string &requestId, const UpstreamAttempt &attempt);

    // The lender's group of an upstream.
    PlaceGroup placeGroup(const UpstreamRecord &upstream) const;

    // The first upstream of the question to which this node may send another request although it
    // reaches no lender; empty: none.
    std::optional<std::uint64_t> findWithinShare(const PlaceExchange::Question &question) const;

    // Logs that a brittle upstream rejected the request for want of room.
    void logRejection(const std::string &requestId, const UpstreamAttempt &attempt) const;

    // Handles a rejection by an engine that may run other weights than this node assumed. Returns
    // whether the node no longer assumes those weights.
    bool recordWeightMismatch(const std::string &requestId, const UpstreamAttempt &attempt);

    // The time until which a context fetch that starts now may run, on the engines' clock; zero:
    // not known.
    std::chrono::milliseconds fetchDeadline() const;

    // The measured speed at which the engines of a service compute prompts.
    PrefillPace &pace(const std::string &service) { return m_paces[service]; }

    // Counts a request to the service toward its retry budget.
    void countRequest(const std::string &service);

    // Takes one retry from this node's share of the service's retry budget; false if none is left.
    bool takeRetry(const std::string &service);

    const std::shared_ptr<const RouteTable> &table() const { return m_table; }
    const StopPlan &stop() const { return m_stop; }

    // What a planned stop has to know of a request.
    StopPlan::Request stopRequest(const AdmittedCall &call) const;

    // Records how long a request took that has been answered, or had not been by its deadline.
    void recordAnswerTime(const AdmittedCall &call, Duration time);

    // For the summary of the planned stop: requests that were taken, rejected and cut in it.
    struct StopCounts
    {
        std::size_t taken = 0;
        std::size_t rejected = 0;
        std::size_t cut = 0;
    };
    const StopCounts &stopCounts() const { return m_stopCounts; }
    void countDuringStop(bool isRejected);

    // Whether another request may be logged in this planned stop.
    bool mayLogInStop() { return m_loggedInStop++ < kMaxLoggedInStop; }

    // Shared, as a request may outlive the state while its event loop ends.
    const std::shared_ptr<CallCounts> &callCounts() const { return m_callCounts; }
    void countCutByStop();
    const config::OneProcessSettings &settings() const { return m_settings; }
    const Clock &clock() const { return m_clock; }
    net::io_context &context() { return m_context; }
    adapters::Metrics &metrics() { return m_metrics; }
    UpstreamDirectory &upstreams() { return m_upstreams; }
    UpstreamLoadTracker &loads() { return m_loads; }
    UpstreamHealth &health() { return m_health; }
    SendGate &gate() { return m_gate; }
    const BrittleUpstreams &brittleUpstreams() const { return m_brittle; }
    QuarantineGate &quarantine() { return m_quarantine; }
    ContextDirectory &contexts() { return m_contexts; }
    const EngineChooser &engines() const { return m_engines; }
    ChannelPool &channels() { return m_channels; }
    UpstreamPaths &paths() { return m_paths; }
    Placements &placements() { return m_placements; }
    const Placements &placements() const { return m_placements; }
    StreamExchange &streams() { return m_streams; }
    ReadBarrier &readBarrier() { return m_readBarrier; }
    PlaceExchange &places() { return m_places; }
    BufferBudget &buffers() { return m_buffers; }
    IncomingRequests &incomingRequests() { return m_incomingRequests; }

private:
    void apply(const ConfigApplied &update);
    void apply(const UpstreamRecordWritten &update);
    void apply(const UpstreamRecordRemoved &update);
    void apply(const DomainEvacuated &update);
    void apply(const StoreReachability &update);
    void apply(const StoreRestored &update);
    void apply(const WeightVersionNamed &update);
    void apply(const WeightsObserved &update);
    void apply(const EnginesLoading &update);
    void apply(const PeerLoads &update);
    void apply(const LiveNodeCount &update);
    void apply(const KnownNodes &update);
    void apply(const ContextStoreUpdated &update);
    void apply(const ContextStoreFailed &update);
    void apply(const ReplicaCompleteness &update);
    void apply(const PeerQuarantineUpdates &update);
    void apply(const PeerLimits &update);
    void apply(const PeerDrainReport &update);
    void apply(const ReplicaChecked &update);
    void apply(const ChangesSkipped &update);
    void apply(const StopStarted &update);

    std::vector<PlaceLender::Upstream> lendableUpstreams(const PlaceGroup &group) const;
    std::vector<PlaceExchange::OpenRequests> openAtBrittleUpstreams() const;
    void recordUpstreamEnd(const std::string &instanceId);
    WindowBudget &retryBudget(const std::string &service);
    bool isLoading(const std::string &instanceId) const;
    void recordBackoff(const std::string &instanceId, Duration length, const std::string &request);
    void recordDraining(const std::string &instanceId, const std::string &source);
    void logLimit(const LimitChange &change, const std::string &source);
    bool hasAuthority(const std::string &requestId, const UpstreamAttempt &attempt,
                      const ParsedLimit &field);
    void forget(const std::string &instanceId);

    net::io_context &m_context;
    const Clock &m_clock;
    const config::OneProcessSettings m_settings;
    adapters::Metrics &m_metrics;
    std::shared_ptr<const RouteTable> m_table;
    UpstreamDirectory m_upstreams;
    UpstreamLoadTracker m_loads;
    UpstreamHealth m_health;
    adapters::LimitLog m_limitLog;
    SendGate m_gate;
    BrittleUpstreams m_brittle;
    std::map<std::string, RetrySchedule> m_retrySchedules; // by service
    QuarantineGate m_quarantine;
    std::set<RequestFingerprint> m_loggedParts; // held parts whose ids have been logged
    ContextDirectory m_contexts;
    EngineChooser m_engines;
    ChannelPool m_channels;
    UpstreamPaths m_paths;
    EngineScheduler m_scheduler;
    Placements m_placements;
    ReadBarrier m_readBarrier;
    StreamExchange m_streams;
    PlaceExchange m_places;
    std::vector<std::string> m_otherNodes; // that have a key in the platform's store
    BufferBudget m_buffers;
    IncomingRequests m_incomingRequests;
    std::map<std::string, WeightHistory> m_weights; // by model
    struct LoadingReport
    {
        std::set<std::string> instanceIds;
        TimePoint receivedAt{};
    };
    std::map<std::string, LoadingReport> m_loadingReports; // by the node that reported it
    std::map<std::string, WindowBudget> m_retryBudgets; // by service
    std::map<std::string, PrefillPace> m_paces; // by service
    ShortPromptDemand m_shortDemand;
    std::map<std::string, std::set<std::string>>
        m_shortPromptEngines; // by service, as of the last tick
    struct EngineClockReading
    {
        std::chrono::milliseconds value{0};
        TimePoint readAt{};
    };
    EngineClockReading m_engineClock;
    StallDetector m_stallDetector;
    std::optional<TimePoint> m_stallEndedAt;
    std::size_t m_liveNodes = 1;
    AnswerTimes m_answerTimes; // by route
    StopPlan m_stop;
    StopCounts m_stopCounts;
    static constexpr std::size_t kMaxLoggedInStop = 1'024;
    std::size_t m_loggedInStop = 0;
    const std::shared_ptr<CallCounts> m_callCounts = std::make_shared<CallCounts>();
    std::function<void()> m_onLoadReportRequest;
    std::function<void()> m_onQuarantineUpdates = [] {};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NODE_STATE_HPP_INCLUDED
