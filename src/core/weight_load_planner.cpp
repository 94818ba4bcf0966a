// SPDX-License-Identifier: MIT
#include "fordwood/weight_load_planner.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

WeightLoadPlanner::WeightLoadPlanner(std::string node, std::uint64_t boot, const Clock &clock,
                                     Limits limits, std::uint64_t seed)
    : m_node(std::move(node)), m_boot(boot), m_clock(clock), m_limits(limits), m_random(seed)
{ }

void WeightLoadPlanner::setTargets(std::vector<LoadTarget> targets, std::uint64_t configVersion,
                                   std::size_t maxConcurrentLoads, std::size_t members)
{
    m_configVersion = configVersion;
    m_maxConcurrentLoads = std::max<std::size_t>(1, maxConcurrentLoads);
    m_members = std::max<std::size_t>(1, members);
    std::map<std::string, std::vector<LoadTarget>> wanted;
    for (LoadTarget &it : targets)
        wanted[it.upstream].push_back(std::move(it));
    std::erase_if(m_engines, [&](const auto &it) { return wanted.count(it.first) == 0; });
    for (auto &[upstream, own] : wanted) {
        const auto [it, isNewEngine] = m_engines.try_emplace(upstream);
        Engine &engine = it->second;
        if (engine.targets == own)
            continue;
        engine.targets = std::move(own);
        engine.weights = WeightsState::Unknown;
        engine.nextTarget.reset();
        engine.nextRead = m_clock.now();
        // Nothing indicates that an engine new to this node has the wrong weights. An engine whose
        // wanted version has changed last reported the old version.
        if (!isNewEngine)
            hold(upstream, engine, true);
    }
}

void WeightLoadPlanner::engineRead(const std::string &upstream,
                                   const std::optional<EngineState> &state)
{
    const auto it = m_engines.find(upstream);
    if (it != m_engines.end()) {
        it->second.isReadPending = false;
        if (state)
            updateState(upstream, it->second, *state);
        else
            it->second.weights = WeightsState::Unknown; // it cannot be ordered now
    }
    const bool own = m_slot && m_slot->upstream == upstream;
    if (m_stage == Stage::Verifying && own)
        return handleVerified();
    const bool busy = state && state->loading && m_clock.now() < m_orderEnd;
    if (m_stage == Stage::ReadingBack && own && !busy)
        startRelease();
}

void WeightLoadPlanner::updateState(const std::string &upstream, Engine &engine,
                                    const EngineState &state)
{
    engine.loading = state.loading;
    engine.nextTarget.reset();
    for (const LoadTarget &it : engine.targets) {
        const auto served = state.versions.find(it.model);
        if (served != state.versions.end() && served->second != it.weightVersion)
            engine.nextTarget = it;
    }
    engine.weights = engine.nextTarget ? WeightsState::Outdated : WeightsState::Current;
    hold(upstream, engine, engine.nextTarget.has_value() || engine.loading);
}

void WeightLoadPlanner::tableRead(const std::optional<StoredTable> &stored)
{
    if (m_stage != Stage::Reading)
        return;
    if (!stored)
        return scheduleRetry();
    trackSlots(stored->table);
    const auto &slots = stored->table.slots;
    const auto own
        = std::find_if(slots.begin(), slots.end(), [&](const LoadSlot &it) { return isOwn(it); });
    if (own == slots.end()) {
        m_mustRelease = false;
        return takeSlot(*stored);
    }
    // Either a write whose reply was lost took effect after all, or a slot still has to be
    // released.
    const bool inTime = m_clock.now() < m_takeStarted + m_limits.startWithin;
    if (!m_mustRelease && m_slot && *own == *m_slot && inTime)
        return verify();
    releaseSlot(*stored);
}

void WeightLoadPlanner::takeSlot(const StoredTable &stored)
{
    const auto upstream = nextOutdatedEngine();
    if (!upstream || stored.table.configVersion > m_configVersion)
        return scheduleRetry();
    LoadTable table = stored.table;
    std::erase_if(table.slots, [&](const LoadSlot &it) { return isStale(it); });
    const bool busy = std::any_of(table.slots.begin(), table.slots.end(),
                                  [&](const LoadSlot &it) { return it.upstream == *upstream; });
    m_lastTried = *upstream;
    if (busy || table.slots.size() >= m_maxConcurrentLoads)
        return scheduleRetry();
    table.configVersion = m_configVersion;
    m_slot = LoadSlot{++table.lastFence, m_node, m_boot, *upstream};
    table.slots.push_back(*m_slot);
    m_takeStarted = m_clock.now();
    m_stage = Stage::Taking;
    m_actions.emplace_back(SwapLoadTable{stored.revision, std::move(table)});
}

void WeightLoadPlanner::releaseSlot(const StoredTable &stored)
{
    LoadTable table = stored.table;
    std::erase_if(table.slots, [&](const LoadSlot &it) { return isOwn(it); });
    m_mustRelease = true;
    m_stage = Stage::Releasing;
    m_actions.emplace_back(SwapLoadTable{stored.revision, std::move(table)});
}

void WeightLoadPlanner::tableSwapped(std::optional<bool> done)
{
    if (m_stage != Stage::Taking && m_stage != Stage::Releasing)
        return;
    if (!done || (!*done && m_stage == Stage::Releasing))
        return readTable(); // reading the table shows the result
    if (!*done)
        return scheduleRetry();
    if (m_stage == Stage::Releasing) {
        m_mustRelease = false;
        m_slot.reset();
        m_stage = Stage::Idle;
        m_nextTableRead = m_clock.now(); // go on with the next engine
        return;
    }
    verify();
}

// Reads the engine's state again while holding the slot: no other node can order it now.
void WeightLoadPlanner::verify()
{
    const auto engine = m_engines.find(m_slot->upstream);
    if (engine == m_engines.end())
        return startRelease();
    m_stage = Stage::Verifying;
    requestState(m_slot->upstream, engine->second);
}

void WeightLoadPlanner::handleVerified()
{
    const auto engine = m_engines.find(m_slot->upstream);
    const TimePoint sendBy = m_takeStarted + m_limits.startWithin;
    if (engine == m_engines.end() || engine->second.weights != WeightsState::Outdated
        || engine->second.loading || m_clock.now() >= sendBy)
        return startRelease();
    const LoadTarget &target = *engine->second.nextTarget;
    m_stage = Stage::Ordering;
    m_orderEnd = sendBy + m_limits.maxOrderTime;
    m_actions.emplace_back(OrderLoad{target.upstream, target.address, target.model,
                                     target.weightVersion, m_slot->fence, sendBy, m_orderEnd});
}

void WeightLoadPlanner::orderEnded(const std::string &upstream)
{
    if (m_stage != Stage::Ordering || m_slot->upstream != upstream)
        return;
    m_stage = Stage::ReadingBack;
    const auto engine = m_engines.find(upstream);
    if (engine != m_engines.end())
        requestState(upstream, engine->second);
}

void WeightLoadPlanner::tick()
{
    const TimePoint now = m_clock.now();
    for (auto &[upstream, engine] : m_engines) {
        if (!engine.isReadPending && now >= engine.nextRead)
            requestState(upstream, engine);
    }
    const bool isAwaitingEngine = m_stage == Stage::Verifying || m_stage == Stage::ReadingBack;
    if (isAwaitingEngine && m_engines.count(m_slot->upstream) == 0)
        startRelease(); // another node owns the engine now
    const bool wanted = m_mustRelease || nextOutdatedEngine();
    if (m_stage == Stage::Idle && wanted && now >= m_nextTableRead)
        readTable();
}

std::vector<LoadAction> WeightLoadPlanner::takeActions()
{
    return std::exchange(m_actions, {});
}

bool WeightLoadPlanner::isHeld(const std::string &upstream) const
{
    const auto it = m_engines.find(upstream);
    return it != m_engines.end() && it->second.held;
}

std::size_t WeightLoadPlanner::pendingLoads() const
{
    return static_cast<std::size_t>(
        std::count_if(m_engines.begin(), m_engines.end(),
                      [](const auto &it) { return it.second.weights == WeightsState::Outdated; }));
}

void WeightLoadPlanner::requestState(const std::string &upstream, Engine &engine)
{
    engine.isReadPending = true;
    engine.nextRead = m_clock.now() + m_limits.readEvery;
    m_actions.emplace_back(ReadEngine{upstream, engine.targets.front().address});
}

void WeightLoadPlanner::hold(const std::string &upstream, Engine &engine, bool held)
{
    if (std::exchange(engine.held, held) != held)
        m_actions.emplace_back(HoldEngine{upstream, held});
    // A held engine is read more often, since each read may end the hold.
    if (held)
        engine.nextRead = std::min(engine.nextRead, m_clock.now() + m_limits.minRetryPause);
}

void WeightLoadPlanner::readTable()
{
    m_stage = Stage::Reading;
    m_actions.emplace_back(ReadLoadTable{});
}

// Records since when each slot has been seen unchanged.
void WeightLoadPlanner::trackSlots(const LoadTable &table)
{
    std::map<std::int64_t, SeenSlot> seen;
    for (const LoadSlot &it : table.slots) {
        const auto known = m_seenSlots.find(it.fence);
        const bool same = known != m_seenSlots.end() && known->second.slot == it;
        seen[it.fence] = {it, same ? known->second.since : m_clock.now()};
    }
    m_seenSlots = std::move(seen);
}

bool WeightLoadPlanner::isStale(const LoadSlot &slot) const
{
    const auto it = m_seenSlots.find(slot.fence);
    const Duration longest = m_limits.startWithin + m_limits.maxOrderTime + m_limits.margin;
    return it != m_seenSlots.end() && m_clock.now() - it->second.since > longest;
}

std::optional<std::string> WeightLoadPlanner::nextOutdatedEngine() const
{
    std::optional<std::string> first;
    for (const auto &[name, engine] : m_engines) {
        if (engine.weights != WeightsState::Outdated || engine.loading)
            continue;
        if (name > m_lastTried)
            return name;
        if (!first)
            first = name;
    }
    return first;
}

void WeightLoadPlanner::startRelease()
{
    m_mustRelease = true;
    readTable();
}

// Schedules the next read of the table. The pause grows with the fleet, so that all nodes together
// read it at a bounded rate.
void WeightLoadPlanner::scheduleRetry()
{
    m_stage = Stage::Idle;
    const Duration least = std::max(m_limits.minRetryPause,
                                    m_limits.retryPausePerMember * static_cast<int>(m_members));
    const auto jitter = static_cast<std::int64_t>(
        m_random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, least.count())));
    m_nextTableRead = m_clock.now() + least / 2 + Duration(jitter);
}

} // namespace fordwood
