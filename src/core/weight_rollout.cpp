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
    for (const auto &[id, load] : m_loads) {
        if (load.stage != Stage::Asking)
            ids.insert(id);
    }
    return ids;
}

std::map<std::string, EngineBehind> WeightRollout::behind(const FencedLock::Holding &holding) const
{
    const bool isQuiet = m_clock.now() < holding.actFrom;
    std::map<std::string, EngineBehind> found;
    for (const auto &[id, engine] : m_engines) {
        const std::optional<std::string> model = modelBehind(engine);
        if (!model)
            continue;
        const RolloutWait wait = isQuiet ? RolloutWait::QuietTime : waitOf(id, engine);
        found[id] = {*model, engine.versions.at(*model), m_targets.at(*model), wait};
    }
    return found;
}

RolloutWait WeightRollout::waitOf(const std::string &instanceId, const Engine &engine) const
{
    const auto it = m_loads.find(instanceId);
    if (it == m_loads.end()) {
        if (m_clock.now() >= engine.notBefore)
            return RolloutWait::Turn;
        return engine.isSilent ? RolloutWait::Silent : RolloutWait::Pause;
    }
    switch (it->second.stage) {
    case Stage::Asking:
        return engine.isSilent ? RolloutWait::Silent : RolloutWait::Report;
    case Stage::Draining:
        return RolloutWait::Drain;
    case Stage::Loading:
        return it->second.isUnanswered ? RolloutWait::Answer : RolloutWait::Load;
    }
    return RolloutWait::Turn;
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

// Of few engines half go on serving, however many might load without slowing each other down.
std::size_t WeightRollout::mostAtOnce() const
{
    const auto part
        = static_cast<std::size_t>(m_limits.loadingPart * static_cast<double>(m_engines.size()));
    return std::clamp<std::size_t>(m_engines.size() / 2, 1, std::max(m_limits.leastLoading, part));
}

// Those that load, and those that are drained for their turn.
std::size_t WeightRollout::mostKeptFree() const
{
    return std::max(mostAtOnce(), std::min(2 * mostAtOnce(), m_engines.size() / 2));
}

std::size_t WeightRollout::keptFree() const
{
    return static_cast<std::size_t>(
        std::count_if(m_loads.begin(), m_loads.end(),
                      [](const auto &it) { return it.second.stage != Stage::Asking; }));
}

std::size_t WeightRollout::asked(bool silent) const
{
    return static_cast<std::size_t>(
        std::count_if(m_loads.begin(), m_loads.end(), [&](const auto &it) {
            return it.second.stage == Stage::Asking && m_engines.at(it.first).isSilent == silent;
        }));
}

// While some engines load, others are drained for their turn. Those with the oldest weights
// come first: an engine that has just loaded what was replaced since is of use for longer. Engines
// that did not answer are asked beside the others, since they may be down for long.
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
        const bool isSilent = m_engines.at(it.instanceId).isSilent;
        const std::size_t others = asked(isSilent) + (isSilent ? 0 : keptFree());
        if (others >= mostKeptFree())
            continue;
        Load load;
        load.since = m_clock.now();
        load.nextStep = load.since;
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
    // What has come to its weights without an order of this holder.
    std::erase_if(m_loads, [this](const auto &it) {
        return !it.second.ordered && !modelBehind(m_engines.at(it.first));
    });
    startLoads(loads);
    std::vector<std::string> late;
    for (auto &[id, load] : m_loads) {
        const bool mayAct = now >= holding->actFrom || load.stage == Stage::Asking;
        if (now - load.since >= m_limits.longestLoad)
            late.push_back(id);
        else if (mayAct && now >= load.nextStep && !load.isAsking)
            step(id, load, loads, holding->fence);
    }
    for (const std::string &it : late)
        giveUp(it);
    return std::exchange(m_actions, {});
}

void WeightRollout::step(const std::string &instanceId, Load &load, const LoadBook &loads,
                         std::int64_t fence)
{
    if (load.stage != Stage::Draining) {
        load.isAsking = true;
        m_actions.emplace_back(AskReport{instanceId, m_engines.at(instanceId).address});
        return;
    }
    const bool isDrained = loads.total(instanceId).running == 0
                           || m_clock.now() - load.since >= m_limits.longestDrain;
    if (isDrained && mayOrder())
        order(instanceId, load, fence);
}

// The order bears the count of orders that was reported, so the report may be of a while ago.
void WeightRollout::order(const std::string &instanceId, Load &load, std::int64_t fence)
{
    const Engine &engine = m_engines.at(instanceId);
    const std::optional<std::string> model = modelBehind(engine);
    if (!model)
        return;
    load.stage = Stage::Loading;
    load.isAsking = true;
    load.ordered = m_clock.now();
    load.isUnanswered = false;
    load.model = *model;
    load.version = m_targets.at(*model);
    m_actions.emplace_back(
        OrderWeights{instanceId, engine.address, *model, load.version, fence, load.ordersTaken});
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
    Engine &engine = m_engines.at(instanceId);
    engine.isSilent = !report;
    if (!report) {
        noteMissed(instanceId, load);
        return;
    }
    load.reportsMissed = 0;
    for (const auto &[model, version] : report->weightVersions) {
        if (version <= engine.versions[model])
            continue;
        engine.versions[model] = version;
        m_shown[instanceId][model] = {version, m_clock.now()};
    }
    if (isDone(engine, load)) {
        m_shownAnew = true;
        m_loads.erase(it);
        return;
    }
    if (load.stage == Stage::Asking && keptFree() >= mostKeptFree())
        m_loads.erase(it); // it waits for its turn like the others
    else
        noteState(load, *report);
}

// One that has gone down leaves its turn to another; one that loads may miss a report.
void WeightRollout::noteMissed(const std::string &instanceId, Load &load)
{
    load.reportsMissed += 1;
    const bool mayLoad = load.ordered && !load.isUnanswered;
    if (!mayLoad || load.reportsMissed >= m_limits.mostReportsMissed)
        giveUp(instanceId);
}

void WeightRollout::noteState(Load &load, const EngineReport &report)
{
    const TimePoint now = m_clock.now();
    if (load.stage == Stage::Asking) {
        load.since = now;
        load.nextStep = now + m_limits.announceLead;
    }
    if (report.busy) {
        load.stage = Stage::Loading;
        load.ordered = load.ordered.value_or(now); // by an earlier order that was late
        return;
    }
    const bool isFromBefore = load.ordered && !load.isUnanswered
                              && report.ordersTaken <= load.ordersTaken
                              && now - *load.ordered < m_limits.reportLag;
    if (isFromBefore)
        return;
    // An order that got no answer and was not taken leaves the turn to any engine that is ready; on
    // the same count of orders a repeat is safe, since the engine does only one of the two.
    load.ordered.reset();
    load.ordersTaken = report.ordersTaken;
    if (load.stage == Stage::Loading)
        load.nextStep = now;
    load.stage = Stage::Draining;
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
        load.isUnanswered = true;
        load.nextStep = m_clock.now();
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
