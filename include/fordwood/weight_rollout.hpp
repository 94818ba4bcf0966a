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
#include "fordwood/seen_weights.hpp"
#include "fordwood/upstream_load_tracker.hpp"
#include "fordwood/upstream_record.hpp"

namespace fordwood {

// What an engine says of itself when asked.
struct EngineReport
{
    std::map<std::string, std::uint64_t> weightVersions; // by model
    bool busy = false; // an order is under way
    std::int64_t ordersTaken = 0; // since its start
};

// Asks an engine for its report.
struct FetchReport
{
    std::string instanceId;
    std::string address;
};

// Orders an engine to load weights, if it has taken no order since its report.
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

// How an engine answered an order.
enum class OrderResult {
    Accepted, // it loads now
    AlreadyDone,
    Conflict, // another order is under way, or was taken since the report
    Fenced, // it has seen a higher fence
    Refused, // for another reason; not done
    Unknown, // no answer: it may be carried out, now or later
};

// What an engine with old weights waits for.
enum class RolloutWait : std::uint8_t {
    QuietTime, // orders of the holder before may still arrive
    Turn,
    Report, // it was asked, and has not answered yet
    Silent, // it did not answer when asked last; it is asked again now and then
    Pause, // it refused an order, or did not come to its weights in time
    Drain, // it is kept free of requests, for an order as soon as others have loaded
    Answer, // to its order; none has come in time
    Load, // it was ordered
};

struct OutdatedEngine
{
    std::string model;
    std::uint64_t version = 0; // that it has
    std::uint64_t target = 0;
    RolloutWait waitsFor = RolloutWait::Turn;

    bool operator==(const OutdatedEngine &) const = default;
};

// Brings the engines to the weight versions that were named, a few at a time, while this node holds
// the lock for it. Events in, actions out; no I/O.
class WeightRollout
{
public:
    struct Limits
    {
        // Engines that may load at once, as a part of all and at least so many: beyond it each load
        // takes longer.
        double loadingShare = 0.2;
        std::size_t minLoadingLimit = 2;
        // From the announcement that an engine is about to load to the order: no node sends it
        // requests that it would turn away, and what runs there ends, which the load waits for.
        Duration announceLead = std::chrono::milliseconds(60);
        Duration maxDrainTime = std::chrono::milliseconds(1'500);
        Duration reportEvery = std::chrono::milliseconds(120); // while an engine loads
        // Reports tell of some hundred milliseconds ago: one that does not count the last order
        // yet is passed over for so long.
        Duration reportLag = std::chrono::milliseconds(1'000);
        // An engine that loads and misses so many reports in a row is taken for down.
        int maxMissedReports = 2;
        // An engine that does not come to its version in time is put behind the others.
        Duration maxLoadTime = std::chrono::seconds(8);
        Duration retryPause = std::chrono::seconds(1);
    };

    explicit WeightRollout(const Clock &clock) : WeightRollout(clock, Limits{}) { }
    WeightRollout(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // The engines that are in service, with the weights that they are known to run.
    void setEngines(const std::vector<const UpstreamRecord *> &engines);

    // The version that a model must come to.
    void setTarget(const std::string &model, std::uint64_t version);

    void reportReceived(const std::string &instanceId, const std::optional<EngineReport> &report);
    void orderAnswered(const std::string &instanceId, OrderResult result);

    // What is to be done now under the lock; nothing without it.
    std::vector<RolloutAction> tick(const std::optional<FencedLock::Holding> &holding,
                                    const UpstreamLoadTracker &loads);

    // The engines that load or are about to.
    std::set<std::string> loading() const;

    // The engines that have not come to their weights, by id.
    std::map<std::string, OutdatedEngine> outdatedEngines(const FencedLock::Holding &holding) const;

    // Versions of engines by model that reports have shown, and that the records may not say yet.
    using ReportedVersions = std::map<std::string, std::map<std::string, SeenWeights>>;
    const ReportedVersions &reportedVersions() const { return m_reportedVersions; }

    // The engine's record has said what was shown, or should have.
    void forgetReported(const std::string &instanceId, const std::string &model);

    // Whether more has been shown since the last call.
    bool takeNewReports() { return std::exchange(m_hasNewReports, false); }

    // Whether an engine has refused the fence since the last call.
    bool takeFenceRefused() { return std::exchange(m_fenceRefused, false); }

private:
    // An engine is asked before it is drained, so that one that does not answer serves on, or is
    // left to itself, and takes the place of no other.
    enum class Stage : std::uint8_t { Asking, Draining, Loading };
    struct Engine
    {
        std::string address;
        std::map<std::string, std::uint64_t> versions;
        TimePoint retryAt{}; // after a failure
        bool isSilent = false; // did not answer when asked last
    };
    struct Load
    {
        Stage stage = Stage::Asking;
        TimePoint since{};
        TimePoint nextStep{};
        bool isCallPending = false; // a report is on its way
        std::optional<TimePoint> orderedAt; // while it loads, or may do so
        bool isOrderUnanswered = false; // the order
        int missedReports = 0; // in a row
        std::string model; // that was ordered, and its version
        std::uint64_t version = 0;
        std::int64_t ordersTaken = 0; // by the report that the order followed
    };

    RolloutWait waitOf(const std::string &instanceId, const Engine &engine) const;
    std::optional<std::string> outdatedModel(const Engine &engine) const;
    std::uint64_t versionsBehind(const Engine &engine) const;
    void startLoads(const UpstreamLoadTracker &loads);
    std::size_t maxConcurrentLoads() const;
    std::size_t maxDrainedOrLoading() const;
    std::size_t drainedOrLoading() const;
    std::size_t askedCount(bool silent) const;
    bool canOrder() const;
    void step(const std::string &instanceId, Load &load, const UpstreamLoadTracker &loads,
              std::int64_t fence);
    void order(const std::string &instanceId, Load &load, std::int64_t fence);
    void handleMissedReport(const std::string &instanceId, Load &load);
    void handleReport(Load &load, const EngineReport &report);
    bool isDone(const Engine &engine, const Load &load) const;
    void giveUp(const std::string &instanceId);

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
