// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_PLACEMENT_LEDGER_HPP_INCLUDED
#define FORDWOOD_PLACEMENT_LEDGER_HPP_INCLUDED

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <utility>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/engine_paces.hpp"
#include "fordwood/load_view.hpp"
#include "fordwood/upstream_load_tracker.hpp"

namespace fordwood {

// Identifies a request that was placed at an engine: the process that sends it, and its number
// there.
struct PlacementId
{
    std::uint64_t process = 0;
    std::uint64_t number = 0;

    bool operator==(const PlacementId &) const = default;
    bool operator<(const PlacementId &other) const
    {
        return std::tie(process, number) < std::tie(other.process, other.number);
    }
};

// A scheduler's record of the requests that are placed at engines and have not ended. It serves
// load where many nodes send long prompts to shared engines: each placement is known before the
// next one is decided, so that two nodes do not choose the same idle engine.
class PlacementLedger : public LoadView
{
public:
    // The estimate of a prompt's first token.
    struct Estimate
    {
        std::string service;
        std::size_t tokens = 0; // to compute by then, those queued before included; zero: unknown
        Duration firstToken{}; // after the placement; zero: no estimate
    };

    // A first token that arrived, and its estimate.
    struct FirstToken
    {
        std::uint64_t engine = 0; // hash of the instance id
        Estimate estimate;
        Duration took{};
    };

    struct Placement
    {
        std::string engine; // instance id
        RequestLoad load;
        std::map<std::string, std::size_t> fetchTokens = {}; // context to fetch, by store address
        // The prompt counts as computed from then on, even without a report: its node may be gone.
        TimePoint computedBy{};
        TimePoint endsBy{}; // the caller's deadline
        // The service and shard among whose short requests this one counts; empty: a long one.
        std::string shortRequestOf = {};
        Estimate estimate = {};
    };

    explicit PlacementLedger(const Clock &clock) : m_clock(clock) { }

    // Replaces an earlier placement with this id.
    void add(const PlacementId &id, const Placement &placement);

    // The prompt has been computed, or the request has ended. Unknown ids are ignored. Returns the
    // time of the first token if it was estimated and is reported for the first time.
    std::optional<FirstToken> promptComputed(const PlacementId &id);
    void end(const PlacementId &id);

    // Removes what is past its time.
    void removeExpired();

    // The load of an engine by instance id, or the context to fetch from a store by address.
    UpstreamLoad total(const std::string &instanceId) const override;

    // Of the engine's prompts with an estimate that have not been computed, the one whose first
    // token was expected first. `engine`: hash of the instance id.
    std::optional<WaitingPrompt> firstDue(std::uint64_t engine) const;

    // Short requests of a service and shard that have not ended.
    std::size_t runningShort(const std::string &serviceShard) const;

    // Service and shard of a short request; empty for others and for unknown ids.
    std::string shortRequestOf(const PlacementId &id) const;

    std::size_t size() const { return m_placements.size(); }

private:
    struct Entry
    {
        std::uint64_t engine = 0; // hash of the instance id
        RequestLoad load;
        std::vector<std::pair<std::uint64_t, std::size_t>> fetchTokens; // by hash of the address
        bool isComputed = false;
        TimePoint computedBy{};
        TimePoint endsBy{};
        std::string shortRequestOf;
        Estimate estimate;
        TimePoint placedAt{};
    };
    using WaitingPrompts = std::set<std::pair<TimePoint, PlacementId>>; // by expected first token

    void promptComputed(Entry &entry);
    void subtract(std::uint64_t upstream, const UpstreamLoad &load);

    const Clock &m_clock;
    std::map<PlacementId, Entry> m_placements;
    std::set<std::pair<TimePoint, PlacementId>> m_expiries; // the next one of each placement
    std::unordered_map<std::uint64_t, UpstreamLoad> m_loads; // by hash of the instance id
    std::unordered_map<std::uint64_t, WaitingPrompts> m_waiting; // by hash of the instance id
    std::map<std::string, std::size_t> m_runningShort; // by service and shard
};

} // namespace fordwood

#endif // FORDWOOD_PLACEMENT_LEDGER_HPP_INCLUDED
