// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ENGINE_SCHEDULER_HPP_INCLUDED
#define FORDWOOD_NODE_ENGINE_SCHEDULER_HPP_INCLUDED

#include <optional>
#include <string>
#include <vector>

#include "fordwood/engine_chooser.hpp"
#include "fordwood/load_view.hpp"
#include "fordwood/placement_ledger.hpp"
#include "fordwood/serving_config.hpp"
#include "node/placement_messages.hpp"

namespace fordwood::node {

class NodeState;

// Chooses engines for the requests of all nodes, as far as this node is their scheduler. It knows
// every request that it has placed, while the loads that nodes exchange are some tenths of a second
// old. Used only on the serving thread.
class EngineScheduler
{
public:
    EngineScheduler(NodeState &state, const Clock &clock);

    // Chooses the engine for a request and records the placement.
    PlacementReply place(const PlacementRequest &request);

    // Applies what a node reports of its requests.
    void apply(const PlacementProgress &progress);

    // Removes placements that are past their time. Without requests nothing else does, and a node
    // that no longer schedules gets none.
    void tick() { m_ledger.removeExpired(); }

    // Requests that are placed and have not ended.
    std::size_t openPlacements() const { return m_ledger.size(); }

private:
    // The ledger's loads and, until the ledger is complete, the exchanged ones.
    class Loads : public LoadView
    {
    public:
        explicit Loads(EngineScheduler &scheduler) : m_scheduler(scheduler) { }
        UpstreamLoad total(const std::string &instanceId) const override;

    private:
        EngineScheduler &m_scheduler;
    };

    void recordActivity();
    bool isLedgerComplete() const;
    std::optional<EngineChoice> choose(const PlacementRequest &request, const ServicePool &pool);
    void record(const PlacementRequest &request, const EngineChoice &choice);

    NodeState &m_state;
    const Clock &m_clock;
    PlacementLedger m_ledger;
    Loads m_loads;
    std::optional<TimePoint> m_activeSince; // of the current role as a scheduler
    TimePoint m_lastRequest{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ENGINE_SCHEDULER_HPP_INCLUDED
