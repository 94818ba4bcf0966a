// SPDX-License-Identifier: MIT
#include "apps/controld/load_duty.hpp"

#include <nlohmann/json.hpp>

#include "adapters/http/http_get.hpp"
#include "adapters/observe/event_log.hpp"
#include "adapters/platform/load_table_codec.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood::apps {

namespace {

using adapters::Event;
using adapters::logEvent;
using Json = nlohmann::json;

constexpr Duration kPeriod = std::chrono::milliseconds(200);
constexpr Duration kStoreTimeout = std::chrono::seconds(2);
constexpr Duration kEngineTimeout = std::chrono::seconds(1);

std::optional<EngineState> engineState(const std::string &body)
{
    const Json json = Json::parse(body, nullptr, false);
    if (!json.is_object())
        return std::nullopt;
    EngineState state;
    state.loading = json.contains("loading") && json["loading"] == true;
    if (json.contains("versions") && json["versions"].is_object()) {
        for (const auto &[model, version] : json["versions"].items()) {
            if (version.is_string())
                state.versions[model] = version.get<std::string>();
        }
    }
    return state;
}

} // namespace

LoadDuty::LoadDuty(const std::string &storeAddress, const std::string &node, std::uint64_t boot,
                   const Clock &clock, LoadListener &listener, adapters::Metrics &metrics)
    : m_store(storeAddress), m_clock(clock), m_listener(listener), m_metrics(metrics),
      m_planner(node, boot, clock, {}, stableHash(node, boot))
{ }

LoadDuty::~LoadDuty()
{
    stop();
}

void LoadDuty::start()
{
    m_thread = std::thread([this] { run(); });
}

void LoadDuty::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void LoadDuty::setPlan(Plan plan)
{
    const std::lock_guard lock(m_mutex);
    m_plan = std::move(plan);
    m_wake.notify_all();
}

void LoadDuty::run()
{
    while (pause()) {
        std::optional<Plan> plan;
        {
            const std::lock_guard lock(m_mutex);
            plan.swap(m_plan);
        }
        if (plan)
            m_planner.setTargets(std::move(plan->targets), plan->configVersion, plan->mostAtOnce,
                                 plan->members);
        m_planner.tick();
        for (auto actions = m_planner.takeActions(); !actions.empty();
             actions = m_planner.takeActions()) {
            for (const LoadAction &action : actions)
                std::visit([this](const auto &it) { carryOut(it); }, action);
        }
        m_metrics.setGauge("fordwood_loads_pending", static_cast<double>(m_planner.pendingLoads()));
    }
}

// Waits for the next period or plan; false when the duty is being stopped.
bool LoadDuty::pause()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, kPeriod, [&] { return m_stopping || m_plan; });
    return !m_stopping;
}

void LoadDuty::carryOut(const ReadEngine &action)
{
    const auto answer = adapters::httpGet("http://" + action.address + "/load", kEngineTimeout);
    if (!answer)
        m_metrics.count("fordwood_engine_reads_failed_total");
    m_planner.engineRead(action.upstream, answer ? engineState(answer->body) : std::nullopt);
}

void LoadDuty::carryOut(const ReadLoadTable &)
{
    m_metrics.count("fordwood_platform_reads_total");
    const auto stored = m_store.get(kLoadTableKey, kStoreTimeout);
    if (!stored)
        return m_planner.tableRead(std::nullopt);
    if (!*stored)
        return m_planner.tableRead(WeightLoadPlanner::StoredTable{});
    auto table = adapters::decodeLoadTable((*stored)->value);
    if (!table) {
        logEvent(Event::LoadTableDamaged);
        return m_planner.tableRead(std::nullopt);
    }
    m_planner.tableRead(WeightLoadPlanner::StoredTable{std::move(*table), (*stored)->revision});
}

void LoadDuty::carryOut(const SwapLoadTable &action)
{
    m_metrics.count("fordwood_load_slot_writes_total");
    const auto done = m_store.write(
        {{kLoadTableKey, action.expectedRevision, adapters::encodeLoadTable(action.table)}},
        kStoreTimeout);
    m_planner.tableSwapped(done ? std::optional(*done) : std::nullopt);
}

void LoadDuty::carryOut(const OrderLoad &action)
{
    if (m_clock.now() < action.sendBy) {
        m_metrics.count("fordwood_load_orders_total");
        const Json order{
            {"fence", action.fence}, {"model", action.model}, {"version", action.weightVersion}};
        const auto answer = adapters::httpPost("http://" + action.address + "/orders", order.dump(),
                                               action.endBy - m_clock.now());
        if (answer) {
            logEvent(Event::WeightsLoaded, {{"upstream", action.upstream},
                                            {"model", action.model},
                                            {"version", action.weightVersion}});
        } else {
            m_metrics.count("fordwood_load_orders_failed_total");
            logEvent(Event::LoadFailed, {{"upstream", action.upstream}, {"why", answer.error()}});
        }
    }
    m_planner.orderEnded(action.upstream);
}

void LoadDuty::carryOut(const HoldEngine &action)
{
    m_listener.engineHeld(action.upstream, action.held);
}

} // namespace fordwood::apps
