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

// One model that an engine owned by this node must serve, with its weight version.
struct LoadTarget
{
    std::string upstream;
    std::string address; // IP:port
    std::string model;
    std::string weightVersion;

    bool operator==(const LoadTarget &) const = default;
};

// What an engine says of its weights.
struct EngineState
{
    std::map<std::string, std::string> versions; // by model; empty: it does not tell
    bool loading = false;
};

// Asks an engine for its state.
struct ReadEngine
{
    std::string upstream;
    std::string address;
};

// Reads the table of slots from the platform.
struct ReadLoadTable
{ };

// Writes the table, if its revision is still the expected one.
struct SwapLoadTable
{
    std::int64_t expectedRevision;
    LoadTable table;
};

// Orders an engine to load, unless `sendBy` has passed; gives up waiting at `endBy`.
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

// Whether an engine must get no new work for the moment, since its weights are not those wanted.
struct HoldEngine
{
    std::string upstream;
    bool held;
};

using LoadAction = std::variant<ReadEngine, ReadLoadTable, SwapLoadTable, OrderLoad, HoldEngine>;

// Brings the engines that one node owns to their weight versions, one after the other: takes a slot
// in the table, looks at the engine again, orders, reads back, gives the slot up. Events in,
// actions out; no I/O and no threads.
//
// What makes an order safe where the engine does not check fences: it is only sent within
// `startWithin` of the moment at which the write of its slot *began*; and a slot is only taken away
// from a holder that seems gone after it was *seen* unchanged for longer than an order may start
// and last. Both are spans on one node's own clock.
class WeightLoadPlanner
{
public:
    struct Limits
    {
        Duration startWithin = std::chrono::seconds(5);
        Duration maxOrderTime = std::chrono::seconds(30);
        Duration margin = std::chrono::seconds(5);
        Duration readEvery = std::chrono::seconds(10); // of each engine
        Duration minRetryPause = std::chrono::milliseconds(500); // of a look at the table
        Duration retryPausePerMember
            = std::chrono::milliseconds(5); // so that the fleet's rate is bounded
    };

    WeightLoadPlanner(std::string node, std::uint64_t boot, const Clock &clock, Limits limits,
                      std::uint64_t seed);

    // Replaces what the owned engines must serve, by which configuration, and how many may load at
    // once in a fleet of so many members. Engines whose wanted version is new are held at once.
    void setTargets(std::vector<LoadTarget> targets, std::uint64_t configVersion,
                    std::size_t maxConcurrentLoads, std::size_t members);

    // An engine has answered; nothing: it has not.
    void engineRead(const std::string &upstream, const std::optional<EngineState> &state);

    // The table as it stands, with its revision (zero: there is none); nothing: no answer came.
    struct StoredTable
    {
        LoadTable table;
        std::int64_t revision = 0;
    };
    void tableRead(const std::optional<StoredTable> &stored);

    // A swap took effect, or did not; nothing: its reply was lost.
    void tableSwapped(std::optional<bool> done);

    // An order has ended, in whatever way: the engine's state tells.
    void orderEnded(const std::string &upstream);

    void tick();
    std::vector<LoadAction> takeActions();

    bool isHeld(const std::string &upstream) const;
    // Engines that do not serve what they must, as far as known.
    std::size_t pending() const;

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
        bool loading = false; // by its own word
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
    // The engine to load next; each has its turn, so that one that fails does not stop the others.
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
    std::optional<LoadSlot> m_slot; // wanted or held
    TimePoint m_takeStarted{};
    TimePoint m_orderEnd{}; // the slot is kept so long for an engine that is still loading
    std::string m_lastTried;
    bool m_releasing = false; // the own slot must go
    TimePoint m_nextTableRead{};
    std::map<std::int64_t, SeenSlot> m_seenSlots; // by fence
    std::vector<LoadAction> m_actions;
};

} // namespace fordwood

#endif // FORDWOOD_LOAD_PLANNER_HPP_INCLUDED
