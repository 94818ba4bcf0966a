// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_TRAFFIC_HPP_INCLUDED
#define FORDWOOD_NODE_TRAFFIC_HPP_INCLUDED

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
#include "fordwood/context_directory.hpp"
#include "fordwood/engine_chooser.hpp"
#include "fordwood/engine_groups.hpp"
#include "fordwood/prefill_pace.hpp"
#include "fordwood/quarantine_gate.hpp"
#include "fordwood/return_times.hpp"
#include "fordwood/route_table.hpp"
#include "fordwood/send_gate.hpp"
#include "fordwood/stall_detector.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_health.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/window_budget.hpp"
#include "node/fleet_update.hpp"
#include "node/upstream_attempt.hpp"
#include "node/upstream_pool.hpp"

namespace fordwood::node {

// What all requests of this node share: the configuration in force, what is known of the upstreams,
// the channels to them. Used on the thread that serves requests.
class Traffic
{
public:
    Traffic(net::io_context &context, const Clock &clock,
            const config::OneProcessSettings &settings, adapters::Metrics &metrics);

    // Takes what the control thread tells.
    void take(const FleetUpdate &update);

    // Regular work: several times a second.
    void tick();

    // Whether this process stood still until a moment ago and knows of no store of context yet:
    // what it knows of the fleet is old, and right in a few milliseconds.
    bool isWaking();

    // The upstreams of a service that this request may be sent to now.
    std::vector<const UpstreamRecord *> candidates(const ServicePool &pool);

    // Those of the candidates that take only so many requests: this node is one of the few that may
    // send to them.
    std::set<std::string> boundedAmong(const std::vector<const UpstreamRecord *> &candidates) const;

    // When a caller may come again who is refused because all upstreams of the service that could
    // serve it take only so many requests.
    std::chrono::milliseconds returnAfterLimit(const ServicePool &pool);

    // Likewise where all of them want none for now, for so long at least.
    std::chrono::milliseconds returnAfterBackoff(const ServicePool &pool, Duration backoff);

    // Whether the service has upstreams, and all of them stand in evacuated failure domains.
    bool isEvacuated(const ServicePool &pool) const;

    // Whether the service has upstreams, and all of them are draining.
    bool isDrained(const ServicePool &pool) const;

    // The engines of the service that are set apart for short prompts.
    const std::set<std::string> &shortGroup(const ServicePool &pool);

    // The part of the engines that a request considers.
    double consideredPart() const;

    // Counts a prompt, for what the engines must keep.
    void countPrompt(const Prompt &prompt, const EngineTraits &traits);

    // Tokens of context that this node's short prompts share.
    std::size_t shortContextTokens() { return m_shortDemand.own(); }

    // The weight versions that were named for the model.
    const WeightHistory &weights(const std::string &model) { return m_weights[model]; }

    // A request was sent that peers must know of before they choose an engine, or a limit has
    // changed.
    void reportNow() { m_reportNow(); }
    void onReportNow(std::function<void()> told) { m_reportNow = std::move(told); }

    // What this node's peers should hear of limits, and what those should for whom it is a relay.
    LimitNews limitNews() const { return {m_gate.limits().ownWords(), m_gate.limits().allWords()}; }

    // An upstream broke off, or answered: peers may have to hear of it.
    void onRequestNews(std::function<void()> told) { m_requestNews = std::move(told); }
    void requestNewsMade() { m_requestNews(); }

    // What an answer says of its upstream's own state: whether it is draining, and whether it wants
    // nothing from this node for now. Holds for each answer that the upstream has sent, also in the
    // place of another one.
    void noteState(const std::string &requestId, const UpstreamAttempt &attempt);

    // What the answer to a request says of the upstream's limit; peers hear of a change at once.
    void noteAnswer(const std::string &requestId, const UpstreamAttempt &attempt);

    // The engine has turned the request away, perhaps since it runs other weights than believed.
    // Whether these are no longer believed.
    bool noteOtherWeights(const std::string &requestId, const UpstreamAttempt &attempt);

    // Until when a fetch that is asked for now may run, on the engines' clock; zero: not known.
    std::chrono::milliseconds fetchUntil() const;

    // How fast the engines of a service compute prompts.
    PrefillPace &pace(const std::string &service) { return m_paces[service]; }

    // Counts a request to the service, for the budget of repeated sends.
    void countRequest(const std::string &service);

    // Takes one repeated send to the service out of this node's part of the budget.
    bool takeRepeat(const std::string &service);

    const std::shared_ptr<const RouteTable> &table() const { return m_table; }
    bool isStopping() const { return m_stopBegan.has_value(); }

    // Whether a request that arrives now and is answered by then at the latest will be finished
    // before a planned stop ends. The first seconds of the stop take every request: a caller that
    // does not know of it yet counts on that.
    bool mayFinish(TimePoint answerBy) const;

    // How long ago a planned stop began; zero: none has.
    Duration stopAge() const;

    // When a planned stop that has begun ends at the latest.
    TimePoint stopEnds() const;
    const config::OneProcessSettings &settings() const { return m_settings; }
    const Clock &clock() const { return m_clock; }
    net::io_context &context() { return m_context; }
    adapters::Metrics &metrics() { return m_metrics; }
    UpstreamDirectory &upstreams() { return m_upstreams; }
    UpstreamLoadTracker &loads() { return m_loads; }
    UpstreamHealth &health() { return m_health; }
    SendGate &gate() { return m_gate; }
    QuarantineGate &quarantine() { return m_quarantine; }
    ContextDirectory &contexts() { return m_contexts; }
    const EngineChooser &engines() const { return m_engines; }
    UpstreamPool &channels() { return m_channels; }

private:
    void apply(const ConfigInForce &update);
    void apply(const UpstreamWritten &update);
    void apply(const UpstreamRemoved &update);
    void apply(const DomainEvacuated &update);
    void apply(const StoreReachability &update);
    void apply(const StoreRestored &update);
    void apply(const WeightsWanted &update);
    void apply(const WeightsShown &update);
    void apply(const EnginesLoading &update);
    void apply(const PeerLoads &update);
    void apply(const LiveNodes &update);
    void apply(const KnownNodes &update);
    void apply(const ContextStoreTold &update);
    void apply(const ContextStoreSilent &update);
    void apply(const Informed &update);
    void apply(const RequestsHeard &update);
    void apply(const LimitsHeard &update);
    void apply(const DrainingReported &update);
    void apply(const StopBegins &update);

    void noteStandstill();
    void noteUpstreamEnded(const std::string &instanceId);
    WindowBudget &budget(const std::string &service);
    bool isLoading(const std::string &instanceId) const;
    void noteBackoff(const std::string &instanceId, Duration length, const std::string &request);
    void noteDraining(const std::string &instanceId, const std::string &source);
    void logLimit(const LimitChange &change, const std::string &source);
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
    std::map<std::string, ReturnTimes> m_returnTimes; // by service
    QuarantineGate m_quarantine;
    ContextDirectory m_contexts;
    EngineChooser m_engines;
    UpstreamPool m_channels;
    std::map<std::string, WeightHistory> m_weights; // by model
    struct LoadingWord
    {
        std::set<std::string> instanceIds;
        TimePoint told{};
    };
    std::map<std::string, LoadingWord> m_loading; // by the node that says so
    std::map<std::string, WindowBudget> m_budgets; // by service
    std::map<std::string, PrefillPace> m_paces; // by service
    ShortContextDemand m_shortDemand;
    std::map<std::string, std::set<std::string>> m_shortGroups; // by service, as of the last tick
    struct EngineClock
    {
        std::chrono::milliseconds told{0};
        TimePoint when{};
    };
    EngineClock m_engineClock;
    StallDetector m_standstill;
    std::optional<TimePoint> m_woke;
    std::size_t m_liveNodes = 1;
    std::optional<TimePoint> m_stopBegan;
    std::function<void()> m_reportNow;
    std::function<void()> m_requestNews = [] {};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_TRAFFIC_HPP_INCLUDED
