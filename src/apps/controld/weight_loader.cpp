// SPDX-License-Identifier: MIT
#include "apps/controld/weight_loader.hpp"

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

std::optional<EngineState> parseEngineState(const std::string &body)
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

WeightLoader::WeightLoader(const std::string &storeAddress, const std::string &node,
                           std::uint64_t boot, const Clock &clock, WeightLoadListener &listener,
                           adapters::Metrics &metrics)
    : m_store(storeAddress), m_clock(clock), m_listener(listener), m_metrics(metrics),
      m_planner(node, boot, clock, {}, stableHash(node, boot))
{ }

WeightLoader::~WeightLoader()
{
    stop();
}

void WeightLoader::start()
{
    m_thread = std::thread([this] { run(); });
}

void WeightLoader::stop()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_wake.notify_all();
    if (m_thread.joinable())
        m_thread.join();
}

void WeightLoader::setPlan(Plan plan)
{
    const std::lock_guard lock(m_mutex);
    m_newPlan = std::move(plan);
    m_wake.notify_all();
}

void WeightLoader::run()
{
    while (waitForWork()) {
        std::optional<Plan> plan;
        {
            const std::lock_guard lock(m_mutex);
            plan.swap(m_newPlan);
        }
        if (plan)
            m_planner.setTargets(std::move(plan->targets), plan->configVersion,
                                 plan->maxConcurrentLoads, plan->members);
        m_planner.tick();
        for (auto actions = m_planner.takeActions(); !actions.empty();
             actions = m_planner.takeActions()) {
            for (const LoadAction &action : actions)
                std::visit([this](const auto &it) { execute(it); }, action);
        }
        m_metrics.setGauge("fordwood_loads_pending", static_cast<double>(m_planner.pendingLoads()));
    }
}

// Waits for the next period or a new plan. Returns false when the loader is being stopped.
bool WeightLoader::waitForWork()
{
    std::unique_lock lock(m_mutex);
    m_wake.wait_for(lock, kPeriod, [&] { return m_stopping || m_newPlan; });
    return !m_stopping;
}

void WeightLoader::execute(const ReadEngine &action)
{
    const auto answer = adapters::httpGet("http://" + action.address + "/load", kEngineTimeout);
    if (!answer)
        m_metrics.count("fordwood_engine_reads_failed_total");
    m_planner.engineRead(action.upstream, answer ? parseEngineState(answer->body) : std::nullopt);
}

void WeightLoader::execute(const ReadLoadTable &)
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

void WeightLoader::execute(const SwapLoadTable &action)
{
    m_metrics.count("fordwood_load_slot_writes_total");
    const auto swapped = m_store.write(
        {{kLoadTableKey, action.expectedRevision, adapters::encodeLoadTable(action.table)}},
        kStoreTimeout);
    m_planner.tableSwapped(swapped ? std::optional(*swapped) : std::nullopt);
}

void WeightLoader::execute(const OrderLoad &action)
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

void WeightLoader::execute(const HoldEngine &action)
{
    m_listener.onEnginePaused(action.upstream, action.held);
}

} // namespace fordwood::apps
