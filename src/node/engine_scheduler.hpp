// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ENGINE_SCHEDULER_HPP_INCLUDED
#define FORDWOOD_NODE_ENGINE_SCHEDULER_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "fordwood/engine_chooser.hpp"
#include "fordwood/engine_paces.hpp"
#include "fordwood/load_view.hpp"
#include "fordwood/placement_admission.hpp"
#include "fordwood/placement_ledger.hpp"
#include "fordwood/serving_config.hpp"
#include "node/placement_messages.hpp"
#include "node/short_prompt_groups.hpp"

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

    // Periodic work. Without requests nothing else removes placements that are past their time.
    void tick();

    // Requests that are placed and have not ended.
    std::size_t openPlacements() const { return m_ledger.size(); }

private:
    // The recorded loads, and more at an engine that is very slow at the moment.
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
    // The ledger's load and, until the ledger is complete, the exchanged one.
    UpstreamLoad recordedLoad(const std::string &instanceId) const;
    PlacementLedger::Estimate estimate(const PlacementRequest &request,
                                       const EngineChoice &choice) const;
    double &usualRatio(const std::string &service, bool isShort) const;
    void recordEnd(const PlacementId &id, bool hasPaused);
    void observe(const PlacementLedger::FirstToken &firstToken);
    std::optional<EngineChoice> choose(const PlacementRequest &request, const ServicePool &pool);
    void record(const PlacementRequest &request, const EngineChoice &choice);

    NodeState &m_state;
    const Clock &m_clock;
    PlacementLedger m_ledger;
    EnginePaces m_paces;
    Loads m_loads;
    ShortPromptGroups m_shortGroups;
    std::map<std::string, PlacementAdmission> m_admissions; // by service
    // Usual ratio of actual to expected times to first token, by service and kind of prompt.
    mutable std::map<std::pair<std::string, bool>, double> m_usualRatios;
    std::optional<TimePoint> m_activeSince; // of the current role as a scheduler
    TimePoint m_lastRequest{};
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ENGINE_SCHEDULER_HPP_INCLUDED
