// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WEIGHT_LOAD_PLANNER_HPP_INCLUDED
#define FORDWOOD_WEIGHT_LOAD_PLANNER_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <variant>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/load_table.hpp"

namespace fordwood {

// A model and weight version that an engine owned by this node must serve.
struct LoadTarget
{
    std::string upstream;
    std::string address; // IP:port
    std::string model;
    std::string weightVersion;

    bool operator==(const LoadTarget &) const = default;
};

// The state that an engine reports.
struct EngineState
{
    std::map<std::string, std::string> versions; // by model; empty: not reported
    bool loading = false;
};

// Requests an engine's state.
struct ReadEngine
{
    std::string upstream;
    std::string address;
};

// Reads the table of load slots from the platform's store.
struct ReadLoadTable
{ };

// Writes the table if its revision is still `expectedRevision`.
struct SwapLoadTable
{
    std::int64_t expectedRevision;
    LoadTable table;
};

// Orders an engine to load, unless `sendBy` has passed; the wait for an answer ends at `endBy`.
struct OrderLoad
{
    std::string upstream;
    std::string address;
    std::string model;
    std::string weightVersion;
    std::int64_t fence;
    TimePoint sendBy;
    TimePoint endBy;
};

// Sets whether an engine gets no new requests because its weights are not the wanted ones.
struct HoldEngine
{
    std::string upstream;
    bool held;
};

using LoadAction = std::variant<ReadEngine, ReadLoadTable, SwapLoadTable, OrderLoad, HoldEngine>;

// Brings the engines that one node owns to their weight versions, one at a time: takes a slot in
// the table, reads the engine's state again, sends the order, reads the state back and releases the
// slot. A state machine that takes events and returns actions, without I/O or threads.
//
// Orders are safe even for engines that do not check fences: an order is only sent within
// `startWithin` of the moment at which the write of its slot *began*, and a slot is only taken from
// a holder that seems gone after it was *seen* unchanged for longer than an order may take to start
// and to run. Both times are measured on one node's own clock.
class WeightLoadPlanner
{
public:
    struct Limits
    {
        Duration startWithin = std::chrono::seconds(5);
        Duration maxOrderTime = std::chrono::seconds(30);
        Duration margin = std::chrono::seconds(5);
        Duration readEvery = std::chrono::seconds(10); // of each engine
        Duration minRetryPause = std::chrono::milliseconds(500); // pause between reads of the table
        Duration retryPausePerMember
            = std::chrono::milliseconds(5); // bounds the read rate of the fleet
    };

    WeightLoadPlanner(std::string node, std::uint64_t boot, const Clock &clock, Limits limits,
                      std::uint64_t seed);

    // Replaces the targets of the owned engines, the version of the configuration that they come
    // from, the number of engines that may load at once and the number of members of the fleet.
    // Engines whose wanted version has changed are held at once.
    void setTargets(std::vector<LoadTarget> targets, std::uint64_t configVersion,
                    std::size_t maxConcurrentLoads, std::size_t members);

    // The state that an engine reported; empty: it did not answer.
    void engineRead(const std::string &upstream, const std::optional<EngineState> &state);

    // The stored table and its revision (zero: there is none); empty: no answer.
    struct StoredTable
    {
        LoadTable table;
        std::int64_t revision = 0;
    };
    void tableRead(const std::optional<StoredTable> &stored);

    // Whether a swap took effect; empty: its reply was lost.
    void tableSwapped(std::optional<bool> done);

    // An order has ended with any result; the engine's state shows which.
    void orderEnded(const std::string &upstream);

    void tick();
    std::vector<LoadAction> takeActions();

    bool isHeld(const std::string &upstream) const;
    // Number of engines known not to serve their target versions.
    std::size_t pendingLoads() const;

private:
    enum class Stage : std::uint8_t {
        Idle,
        Reading,
        Taking,
        Verifying,
        Ordering,
        ReadingBack,
        Releasing
    };
    enum class WeightsState : std::uint8_t { Unknown, Current, Outdated };

    struct Engine
    {
        std::vector<LoadTarget> targets; // by model
        WeightsState weights = WeightsState::Unknown;
        bool loading = false; // as reported by the engine
        bool held = false;
        std::optional<LoadTarget> nextTarget; // the target to load next
        TimePoint nextRead{};
        bool isReadPending = false;
    };
    struct SeenSlot
    {
        LoadSlot slot;
        TimePoint since{};
    };

    void requestState(const std::string &upstream, Engine &engine);
    void hold(const std::string &upstream, Engine &engine, bool held);
    void updateState(const std::string &upstream, Engine &engine, const EngineState &state);
    void readTable();
    void trackSlots(const LoadTable &table);
    bool isStale(const LoadSlot &slot) const;
    // The engine to load next. Engines take turns, so that one that fails does not block the
    // others.
    std::optional<std::string> nextOutdatedEngine() const;
    void takeSlot(const StoredTable &stored);
    void releaseSlot(const StoredTable &stored);
    void verify();
    void handleVerified();
    void startRelease();
    void scheduleRetry();
    bool isOwn(const LoadSlot &slot) const { return slot.node == m_node && slot.boot == m_boot; }

    const std::string m_node;
    const std::uint64_t m_boot;
    const Clock &m_clock;
    const Limits m_limits;
    std::mt19937_64 m_random;
    std::map<std::string, Engine> m_engines;
    std::uint64_t m_configVersion = 0;
    std::size_t m_maxConcurrentLoads = 1;
    std::size_t m_members = 1;
    Stage m_stage = Stage::Idle;
    std::optional<LoadSlot> m_slot; // being taken, or held
    TimePoint m_takeStarted{};
    TimePoint m_orderEnd{}; // until then the slot is kept for an engine that is still loading
    std::string m_lastTried;
    bool m_mustRelease = false; // this node's slot must be released
    TimePoint m_nextTableRead{};
    std::map<std::int64_t, SeenSlot> m_seenSlots; // by fence
    std::vector<LoadAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_WEIGHT_LOAD_PLANNER_HPP_INCLUDED
