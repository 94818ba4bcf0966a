// SPDX-License-Identifier: MIT
#include "fordwood/weight_rollout.hpp"

#include <algorithm>
#include <tuple>

namespace fordwood {

void WeightRollout::setEngine(const UpstreamRecord &engine)
{
    if (engine.draining || engine.weightVersions.empty()) {
        removeEngine(engine.instanceId);
        return;
    }
    Engine &known = m_engines[engine.instanceId];
    known.address = engine.address;
    // Even if the version is older than before: the engine has gone back to it and has to be
    // ordered again.
    known.versions = engine.weightVersions;
}

void WeightRollout::removeEngine(const std::string &instanceId)
{
    m_engines.erase(instanceId);
    m_loads.erase(instanceId);
    m_reportedVersions.erase(instanceId);
}

void WeightRollout::update(UpstreamDirectory &upstreams)
{
    for (const std::string &it : upstreams.takeChanged()) {
        if (const UpstreamRecord *record = upstreams.find(it))
            setEngine(*record);
        else
            removeEngine(it);
    }
}

void WeightRollout::forgetReported(const std::string &instanceId, const std::string &model)
{
    const auto it = m_reportedVersions.find(instanceId);
    if (it == m_reportedVersions.end())
        return;
    it->second.erase(model);
    if (it->second.empty())
        m_reportedVersions.erase(it);
}

void WeightRollout::setTarget(const std::string &model, std::uint64_t version)
{
    std::uint64_t &target = m_targets[model];
    target = std::max(target, version);
}

std::optional<std::string> WeightRollout::outdatedModel(const Engine &engine) const
{
    for (const auto &[model, version] : engine.versions) {
        const auto target = m_targets.find(model);
        if (target != m_targets.end() && version < target->second)
            return model;
    }
    return std::nullopt;
}

// The largest number of versions that the engine is behind for any model.
std::uint64_t WeightRollout::versionsBehind(const Engine &engine) const
{
    std::uint64_t maxBehind = 0;
    for (const auto &[model, version] : engine.versions) {
        const auto target = m_targets.find(model);
        if (target != m_targets.end() && version < target->second)
            maxBehind = std::max(maxBehind, target->second - version);
    }
    return maxBehind;
}

std::set<std::string> WeightRollout::loading() const
{
    std::set<std::string> ids;
    for (const auto &[id, load] : m_loads) {
        if (load.stage != Stage::RequestingReport)
            ids.insert(id);
    }
    return ids;
}

std::map<std::string, OutdatedEngine>
WeightRollout::outdatedEngines(const FencedLock::Holding &holding) const
{
    const bool isQuiet = m_clock.now() < holding.actFrom;
    std::map<std::string, OutdatedEngine> found;
    for (const auto &[id, engine] : m_engines) {
        const std::optional<std::string> model = outdatedModel(engine);
        if (!model)
            continue;
        const RolloutWait wait = isQuiet ? RolloutWait::QuietTime : waitReason(id, engine);
        found[id] = {*model, engine.versions.at(*model), m_targets.at(*model), wait};
    }
    return found;
}

RolloutWait WeightRollout::waitReason(const std::string &instanceId, const Engine &engine) const
{
    const auto it = m_loads.find(instanceId);
    if (it == m_loads.end()) {
        if (m_clock.now() >= engine.retryAt)
            return RolloutWait::Turn;
        return engine.isSilent ? RolloutWait::Silent : RolloutWait::Pause;
    }
    switch (it->second.stage) {
    case Stage::RequestingReport:
        return engine.isSilent ? RolloutWait::Silent : RolloutWait::Report;
    case Stage::Draining:
        return RolloutWait::Drain;
    case Stage::Loading:
        return it->second.isOrderUnanswered ? RolloutWait::Answer : RolloutWait::Load;
    }
    return RolloutWait::Turn;
}

void WeightRollout::abandonLoad(const std::string &instanceId)
{
    m_loads.erase(instanceId);
    const auto it = m_engines.find(instanceId);
    if (it != m_engines.end())
        it->second.retryAt = m_clock.now() + m_limits.retryPause;
}

// Whether the engine serves the version it was ordered to load. If newer weights were named in the
// meantime, it waits for its turn like the others.
bool WeightRollout::isDone(const Engine &engine, const Load &load) const
{
    if (!outdatedModel(engine))
        return true;
    const auto version = engine.versions.find(load.model);
    return load.orderedAt && version != engine.versions.end() && version->second >= load.version;
}

// In a small fleet half of the engines go on serving, even if more could load without slowing each
// other down.
std::size_t WeightRollout::maxConcurrentLoads() const
{
    const auto part
        = static_cast<std::size_t>(m_limits.loadingShare * static_cast<double>(m_engines.size()));
    return std::clamp<std::size_t>(m_engines.size() / 2, 1,
                                   std::max(m_limits.minLoadingLimit, part));
}

// Counts engines that are loading and engines that are being drained to load next.
std::size_t WeightRollout::maxDrainedOrLoading() const
{
    return std::max(maxConcurrentLoads(), std::min(2 * maxConcurrentLoads(), m_engines.size() / 2));
}

std::size_t WeightRollout::drainedOrLoading() const
{
    return static_cast<std::size_t>(
        std::count_if(m_loads.begin(), m_loads.end(),
                      [](const auto &it) { return it.second.stage != Stage::RequestingReport; }));
}

std::size_t WeightRollout::requestingReport(bool silent) const
{
    return static_cast<std::size_t>(
        std::count_if(m_loads.begin(), m_loads.end(), [&](const auto &it) {
            return it.second.stage == Stage::RequestingReport
                   && m_engines.at(it.first).isSilent == silent;
        }));
}

// While some engines load, others are drained to load next. Those with the oldest weights come
// first, because an engine that has just loaded weights that were replaced since then stays useful
// for longer. Engines that did not answer are counted separately, since they may be down for a long
// time.
void WeightRollout::startLoads(const UpstreamLoadTracker &loads)
{
    struct Candidate
    {
        std::uint64_t versions = 0;
        std::size_t running = 0;
        std::string instanceId;
    };
    std::vector<Candidate> candidates;
    for (const auto &[id, engine] : m_engines) {
        if (outdatedModel(engine) && !m_loads.contains(id) && m_clock.now() >= engine.retryAt)
            candidates.push_back({versionsBehind(engine), loads.total(id).running, id});
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::tie(b.versions, a.running, a.instanceId)
               < std::tie(a.versions, b.running, b.instanceId);
    });
    for (const Candidate &it : candidates) {
        const bool isSilent = m_engines.at(it.instanceId).isSilent;
        const std::size_t others = requestingReport(isSilent) + (isSilent ? 0 : drainedOrLoading());
        if (others >= maxDrainedOrLoading())
            continue;
        Load load;
        load.since = m_clock.now();
        load.nextStep = load.since;
        m_loads.emplace(it.instanceId, load);
    }
}

bool WeightRollout::canOrder() const
{
    const auto loading = std::count_if(m_loads.begin(), m_loads.end(), [](const auto &it) {
        return it.second.orderedAt.has_value();
    });
    return static_cast<std::size_t>(loading) < maxConcurrentLoads();
}

std::vector<RolloutAction> WeightRollout::tick(const std::optional<FencedLock::Holding> &holding,
                                               const UpstreamLoadTracker &loads)
{
    const TimePoint now = m_clock.now();
    if (!holding || now < holding->actFrom - m_limits.maxDrainTime || now >= holding->actUntil) {
        m_loads.clear();
        m_actions.clear();
        return {};
    }
    // Engines that have reached their weights without an order of this holder.
    std::erase_if(m_loads, [this](const auto &it) {
        return !it.second.orderedAt && !outdatedModel(m_engines.at(it.first));
    });
    startLoads(loads);
    std::vector<std::string> overdue;
    for (auto &[id, load] : m_loads) {
        const bool mayAct = now >= holding->actFrom || load.stage == Stage::RequestingReport;
        if (now - load.since >= m_limits.maxLoadTime)
            overdue.push_back(id);
        else if (mayAct && now >= load.nextStep && !load.isCallPending)
            advanceLoad(id, load, loads, holding->fence);
    }
    for (const std::string &it : overdue)
        abandonLoad(it);
    return std::exchange(m_actions, {});
}

void WeightRollout::advanceLoad(const std::string &instanceId, Load &load,
                                const UpstreamLoadTracker &loads, std::int64_t fence)
{
    if (load.stage != Stage::Draining) {
        load.isCallPending = true;
        m_actions.emplace_back(FetchReport{instanceId, m_engines.at(instanceId).address});
        return;
    }
    const bool isDrained = loads.total(instanceId).running == 0
                           || m_clock.now() - load.since >= m_limits.maxDrainTime;
    if (isDrained && canOrder())
        sendOrder(instanceId, load, fence);
}

// The order contains the reported count of orders, so the report need not be recent.
void WeightRollout::sendOrder(const std::string &instanceId, Load &load, std::int64_t fence)
{
    const Engine &engine = m_engines.at(instanceId);
    const std::optional<std::string> model = outdatedModel(engine);
    if (!model)
        return;
    load.stage = Stage::Loading;
    load.isCallPending = true;
    load.orderedAt = m_clock.now();
    load.isOrderUnanswered = false;
    load.model = *model;
    load.version = m_targets.at(*model);
    m_actions.emplace_back(
        OrderWeights{instanceId, engine.address, *model, load.version, fence, load.ordersTaken});
}

void WeightRollout::reportReceived(const std::string &instanceId,
                                   const std::optional<EngineReport> &report)
{
    const auto it = m_loads.find(instanceId);
    if (it == m_loads.end())
        return;
    Load &load = it->second;
    load.isCallPending = false;
    load.nextStep = m_clock.now() + m_limits.reportEvery;
    Engine &engine = m_engines.at(instanceId);
    engine.isSilent = !report;
    if (!report) {
        handleMissedReport(instanceId, load);
        return;
    }
    load.missedReports = 0;
    for (const auto &[model, version] : report->weightVersions) {
        if (version <= engine.versions[model])
            continue;
        engine.versions[model] = version;
        m_reportedVersions[instanceId][model] = {version, m_clock.now()};
    }
    if (isDone(engine, load)) {
        m_hasNewReports = true;
        m_loads.erase(it);
        return;
    }
    if (load.stage == Stage::RequestingReport && drainedOrLoading() >= maxDrainedOrLoading())
        m_loads.erase(it); // waits for its turn like the others
    else
        handleReport(load, *report);
}

// An engine that is down gives its turn to another; a loading engine may miss a report.
void WeightRollout::handleMissedReport(const std::string &instanceId, Load &load)
{
    load.missedReports += 1;
    const bool mayLoad = load.orderedAt && !load.isOrderUnanswered;
    if (!mayLoad || load.missedReports >= m_limits.maxMissedReports)
        abandonLoad(instanceId);
}

void WeightRollout::handleReport(Load &load, const EngineReport &report)
{
    const TimePoint now = m_clock.now();
    if (load.stage == Stage::RequestingReport) {
        load.since = now;
        load.nextStep = now + m_limits.announceLead;
    }
    if (report.busy) {
        load.stage = Stage::Loading;
        load.orderedAt = load.orderedAt.value_or(now); // by an earlier order that arrived late
        return;
    }
    const bool isFromBeforeOrder = load.orderedAt && !load.isOrderUnanswered
                                   && report.ordersTaken <= load.ordersTaken
                                   && now - *load.orderedAt < m_limits.reportLag;
    if (isFromBeforeOrder)
        return;
    // An order without an answer that was not taken gives the turn to any engine that is ready.
    // Repeating it with the same count of orders is safe, since the engine carries out only one of
    // the two.
    load.orderedAt.reset();
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
    load.isCallPending = false;
    load.stage = Stage::Loading;
    switch (result) {
    case OrderResult::Accepted:
    case OrderResult::AlreadyDone:
    case OrderResult::Conflict:
        load.nextStep = m_clock.now() + m_limits.reportEvery;
        return;
    case OrderResult::Unknown:
        load.isOrderUnanswered = true;
        load.nextStep = m_clock.now();
        return;
    case OrderResult::Fenced:
        m_fenceRefused = true;
        abandonLoad(instanceId);
        return;
    case OrderResult::Refused:
        abandonLoad(instanceId);
        return;
    }
}

} // namespace fordwood
