// SPDX-License-Identifier: MIT
#include "fordwood/weight_rollout.hpp"

#include <algorithm>
#include <tuple>

namespace fordwood {

void WeightRollout::setEngines(const std::vector<const UpstreamRecord *> &engines)
{
    std::map<std::string, Engine> next;
    for (const UpstreamRecord *it : engines) {
        Engine &engine = next[it->instanceId];
        const auto known = m_engines.find(it->instanceId);
        if (known != m_engines.end())
            engine = known->second;
        engine.address = it->address;
        // Also when it is older than before: the engine has gone back, and is to be ordered again.
        engine.versions = it->weightVersions;
    }
    m_engines = std::move(next);
    std::erase_if(m_loads, [&](const auto &it) { return !m_engines.contains(it.first); });
    std::erase_if(m_shown, [&](const auto &it) { return !m_engines.contains(it.first); });
}

void WeightRollout::forgetShown(const std::string &instanceId, const std::string &model)
{
    const auto it = m_shown.find(instanceId);
    if (it == m_shown.end())
        return;
    it->second.erase(model);
    if (it->second.empty())
        m_shown.erase(it);
}

void WeightRollout::setTarget(const std::string &model, std::uint64_t version)
{
    std::uint64_t &target = m_targets[model];
    target = std::max(target, version);
}

std::optional<std::string> WeightRollout::modelBehind(const Engine &engine) const
{
    for (const auto &[model, version] : engine.versions) {
        const auto target = m_targets.find(model);
        if (target != m_targets.end() && version < target->second)
            return model;
    }
    return std::nullopt;
}

// How far the engine's weights lie back, by version numbers.
std::uint64_t WeightRollout::versionsBehind(const Engine &engine) const
{
    std::uint64_t most = 0;
    for (const auto &[model, version] : engine.versions) {
        const auto target = m_targets.find(model);
        if (target != m_targets.end() && version < target->second)
            most = std::max(most, target->second - version);
    }
    return most;
}

std::set<std::string> WeightRollout::loading() const
{
    std::set<std::string> ids;
    for (const auto &[id, load] : m_loads)
        ids.insert(id);
    return ids;
}

void WeightRollout::giveUp(const std::string &instanceId)
{
    m_loads.erase(instanceId);
    const auto it = m_engines.find(instanceId);
    if (it != m_engines.end())
        it->second.notBefore = m_clock.now() + m_limits.pause;
}

// Whether the engine serves what it was ordered to load. If newer weights were named meanwhile, it
// waits for its turn like the others.
bool WeightRollout::isDone(const Engine &engine, const Load &load) const
{
    if (!modelBehind(engine))
        return true;
    const auto version = engine.versions.find(load.model);
    return load.ordered && version != engine.versions.end() && version->second >= load.version;
}

std::size_t WeightRollout::mostAtOnce() const
{
    return std::max<std::size_t>(
        1, static_cast<std::size_t>(m_limits.loadingPart * static_cast<double>(m_engines.size())));
}

// While some engines load, as many again are drained for their turn. Those with the oldest weights
// come first: an engine that has just loaded what was replaced since is of use for longer.
void WeightRollout::startLoads(const LoadBook &loads)
{
    struct Behind
    {
        std::uint64_t versions = 0;
        std::size_t running = 0;
        std::string instanceId;
    };
    std::vector<Behind> behind;
    for (const auto &[id, engine] : m_engines) {
        if (modelBehind(engine) && !m_loads.contains(id) && m_clock.now() >= engine.notBefore)
            behind.push_back({versionsBehind(engine), loads.total(id).running, id});
    }
    std::sort(behind.begin(), behind.end(), [](const Behind &a, const Behind &b) {
        return std::tie(b.versions, a.running, a.instanceId)
               < std::tie(a.versions, b.running, b.instanceId);
    });
    for (const Behind &it : behind) {
        if (m_loads.size() >= 2 * mostAtOnce())
            return;
        Load load;
        load.since = m_clock.now();
        load.nextStep = load.since + m_limits.announceLead;
        m_loads.emplace(it.instanceId, load);
    }
}

bool WeightRollout::mayOrder() const
{
    const auto loading = std::count_if(m_loads.begin(), m_loads.end(), [](const auto &it) {
        return it.second.ordered.has_value();
    });
    return static_cast<std::size_t>(loading) < mostAtOnce();
}

std::vector<RolloutAction> WeightRollout::tick(const std::optional<FencedLock::Holding> &holding,
                                               const LoadBook &loads)
{
    const TimePoint now = m_clock.now();
    if (!holding || now < holding->actFrom - m_limits.longestDrain || now >= holding->actUntil) {
        m_loads.clear();
        m_actions.clear();
        return {};
    }
    startLoads(loads);
    std::vector<std::string> late;
    for (auto &[id, load] : m_loads) {
        if (now - load.since >= m_limits.longestLoad)
            late.push_back(id);
        else if (now >= holding->actFrom && now >= load.nextStep && !load.isAsking)
            step(id, load, loads, holding->fence);
    }
    for (const std::string &it : late)
        giveUp(it);
    return std::exchange(m_actions, {});
}

void WeightRollout::step(const std::string &instanceId, Load &load, const LoadBook &loads,
                         std::int64_t fence)
{
    const Engine &engine = m_engines.at(instanceId);
    if (load.stage == Stage::Draining) {
        const bool isDrained = loads.total(instanceId).running == 0
                               || m_clock.now() - load.since >= m_limits.longestDrain;
        if (!isDrained || !mayOrder())
            return;
    }
    const std::optional<std::string> model = modelBehind(engine);
    if (load.stage == Stage::Ready && model && (load.ordered || mayOrder())) {
        load.stage = Stage::Loading;
        load.isAsking = true;
        load.ordered = m_clock.now();
        load.model = *model;
        load.version = m_targets.at(*model);
        m_actions.emplace_back(OrderWeights{instanceId, engine.address, *model, load.version, fence,
                                            load.ordersTaken});
        return;
    }
    load.isAsking = true;
    m_actions.emplace_back(AskReport{instanceId, engine.address});
}

void WeightRollout::reportRead(const std::string &instanceId,
                               const std::optional<EngineReport> &report)
{
    const auto it = m_loads.find(instanceId);
    if (it == m_loads.end())
        return;
    Load &load = it->second;
    load.isAsking = false;
    load.nextStep = m_clock.now() + m_limits.reportEvery;
    if (!report) {
        if (!load.ordered)
            giveUp(instanceId);
        return;
    }
    Engine &engine = m_engines.at(instanceId);
    for (const auto &[model, version] : report->weightVersions) {
        if (version <= engine.versions[model])
            continue;
        engine.versions[model] = version;
        m_shown[instanceId][model] = {version, m_clock.now()};
    }
    if (isDone(engine, load)) {
        m_loads.erase(it);
        return;
    }
    const bool isFromBefore = load.ordered && report->ordersTaken <= load.ordersTaken
                              && m_clock.now() - *load.ordered < m_limits.reportLag;
    if (report->busy || isFromBefore)
        return;
    load.ordersTaken = report->ordersTaken;
    load.stage = Stage::Ready;
    load.nextStep = m_clock.now();
}

void WeightRollout::orderAnswered(const std::string &instanceId, OrderResult result)
{
    const auto it = m_loads.find(instanceId);
    if (it == m_loads.end())
        return;
    Load &load = it->second;
    load.isAsking = false;
    load.stage = Stage::Loading;
    switch (result) {
    case OrderResult::Accepted:
    case OrderResult::AlreadyDone:
    case OrderResult::Conflict:
        load.nextStep = m_clock.now() + m_limits.reportEvery;
        return;
    case OrderResult::Unknown:
        load.nextStep = m_clock.now() + m_limits.lateOrder;
        return;
    case OrderResult::Fenced:
        m_fenceRefused = true;
        giveUp(instanceId);
        return;
    case OrderResult::Refused:
        giveUp(instanceId);
        return;
    }
}

} // namespace fordwood
