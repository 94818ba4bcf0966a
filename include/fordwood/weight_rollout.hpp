// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WEIGHT_ROLLOUT_HPP_INCLUDED
#define FORDWOOD_WEIGHT_ROLLOUT_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/fenced_lock.hpp"
#include "fordwood/observed_weights.hpp"
#include "fordwood/upstream_directory.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood {

// The state that an engine reports.
struct EngineReport
{
    std::map<std::string, std::uint64_t> weightVersions; // by model
    bool busy = false; // it carries out an order
    std::int64_t ordersTaken = 0; // since the engine started
};

// Requests an engine's report.
struct FetchReport
{
    std::string instanceId;
    std::string address;
};

// Orders an engine to load weights, provided it has taken no order since its report.
struct OrderWeights
{
    std::string instanceId;
    std::string address;
    std::string model;
    std::uint64_t version;
    std::int64_t fence;
    std::int64_t ordersTaken;
};

using RolloutAction = std::variant<FetchReport, OrderWeights>;

// An engine's answer to an order.
enum class OrderResult {
    Accepted, // the engine is loading
    AlreadyDone,
    Conflict, // another order is in progress or was taken since the report
    Fenced, // the engine has seen a higher fence
    Refused, // for another reason; not carried out
    Unknown, // no answer: the order may be carried out now or later
};

// What an engine with outdated weights is waiting for.
enum class RolloutWait : std::uint8_t {
    QuietTime, // orders of the previous lock holder may still arrive
    Turn,
    Report, // its report was requested and has not arrived
    Silent, // it did not answer the last request for a report; requests are repeated at intervals
    Pause, // it refused an order or did not load its weights in time
    Drain, // it gets no requests, so that it can be ordered as soon as others have loaded
    Answer, // to its order; none has arrived in time
    Load, // it was ordered to load
};

struct OutdatedEngine
{
    std::string model;
    std::uint64_t version = 0; // that it serves
    std::uint64_t target = 0;
    RolloutWait waitsFor = RolloutWait::Turn;

    bool operator==(const OutdatedEngine &) const = default;
};

// Brings the engines to the weight versions that were named, a few at a time, while this node holds
// the lock. A state machine that takes events and returns actions, without I/O.
class WeightRollout
{
public:
    struct Limits
    {
        // Share of all engines that may load at once, and the least value of that limit. Above it
        // each load takes longer.
        double loadingShare = 0.2;
        std::size_t minLoadingLimit = 2;
        // Time from announcing that an engine will load until the order. Meanwhile nodes stop
        // sending it requests that it would reject, and its running requests finish, which the load
        // waits for.
        Duration announceLead = std::chrono::milliseconds(60);
        Duration maxDrainTime = std::chrono::milliseconds(1'500);
        Duration reportEvery = std::chrono::milliseconds(120); // while an engine loads
        // Reports describe the state of a few hundred milliseconds ago: one that does not yet count
        // the last order is ignored for this long.
        Duration reportLag = std::chrono::milliseconds(1'000);
        // A loading engine that misses this many reports in a row is considered down.
        int maxMissedReports = 2;
        // An engine that has not loaded its version in this time has to wait behind the others.
        Duration maxLoadTime = std::chrono::seconds(8);
        Duration retryPause = std::chrono::seconds(1);
    };

    explicit WeightRollout(const Clock &clock) : WeightRollout(clock, Limits{}) { }
    WeightRollout(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // Sets an engine in service, with the weight versions in its record. An upstream that is
    // draining or runs no weights is removed.
    void setEngine(const UpstreamRecord &engine);
    void removeEngine(const std::string &instanceId);

    // Takes over the upstreams of the directory that have changed.
    void update(UpstreamDirectory &upstreams);

    // Sets the version that all engines must serve for the model.
    void setTarget(const std::string &model, std::uint64_t version);

    void reportReceived(const std::string &instanceId, const std::optional<EngineReport> &report);
    void orderAnswered(const std::string &instanceId, OrderResult result);

    // Actions to take now; none unless this node holds the lock.
    std::vector<RolloutAction> tick(const std::optional<FencedLock::Holding> &holding,
                                    const UpstreamLoadTracker &loads);

    // The engines that are loading or being drained for it.
    std::set<std::string> loading() const;

    // The engines without their target versions, by id.
    std::map<std::string, OutdatedEngine> outdatedEngines(const FencedLock::Holding &holding) const;

    // Versions from engine reports that the engines' records may not contain yet, by instance and
    // model.
    using ReportedVersions = std::map<std::string, std::map<std::string, ObservedWeights>>;
    const ReportedVersions &reportedVersions() const { return m_reportedVersions; }

    // Drops a reported version, once the engine's record contains it or should.
    void forgetReported(const std::string &instanceId, const std::string &model);

    // Whether there were new reported versions since the last call.
    bool takeNewReports() { return std::exchange(m_hasNewReports, false); }

    // Whether an engine has rejected the fence since the last call.
    bool takeFenceRefused() { return std::exchange(m_fenceRefused, false); }

private:
    // An engine's report is requested before it is drained. So an engine that does not answer goes
    // on serving, or is simply left alone, and takes no slot from another.
    enum class Stage : std::uint8_t { RequestingReport, Draining, Loading };
    struct Engine
    {
        std::string address;
        std::map<std::string, std::uint64_t> versions;
        TimePoint retryAt{}; // after a failure
        bool isSilent = false; // did not answer the last request
    };
    struct Load
    {
        Stage stage = Stage::RequestingReport;
        TimePoint since{};
        TimePoint nextStep{};
        bool isCallPending = false; // a request for a report or an order
        std::optional<TimePoint> orderedAt; // set while the engine is or may be loading
        bool isOrderUnanswered = false;
        int missedReports = 0; // consecutive
        std::string model; // model of the order, with the version below
        std::uint64_t version = 0;
        std::int64_t ordersTaken = 0; // as of the last report before the order
    };

    RolloutWait waitReason(const std::string &instanceId, const Engine &engine) const;
    std::optional<std::string> outdatedModel(const Engine &engine) const;
    std::uint64_t versionsBehind(const Engine &engine) const;
    void startLoads(const UpstreamLoadTracker &loads);
    std::size_t maxConcurrentLoads() const;
    std::size_t maxDrainedOrLoading() const;
    std::size_t drainedOrLoading() const;
    std::size_t requestingReport(bool silent) const;
    bool canOrder() const;
    void advanceLoad(const std::string &instanceId, Load &load, const UpstreamLoadTracker &loads,
                     std::int64_t fence);
    void sendOrder(const std::string &instanceId, Load &load, std::int64_t fence);
    void handleMissedReport(const std::string &instanceId, Load &load);
    void handleReport(Load &load, const EngineReport &report);
    bool isDone(const Engine &engine, const Load &load) const;
    void abandonLoad(const std::string &instanceId);

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Engine> m_engines;
    std::map<std::string, std::uint64_t> m_targets;
    std::map<std::string, Load> m_loads;
    ReportedVersions m_reportedVersions;
    std::vector<RolloutAction> m_actions;
    bool m_hasNewReports = false;
    bool m_fenceRefused = false;
};

} // namespace fordwood

#endif // FORDWOOD_WEIGHT_ROLLOUT_HPP_INCLUDED
