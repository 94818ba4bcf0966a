// SPDX-License-Identifier: MIT
#include "fordwood/load_planner.hpp"

#include <algorithm>
#include <utility>

namespace fordwood {

LoadPlanner::LoadPlanner(std::string node, std::uint64_t boot, const Clock &clock, Limits limits,
                         std::uint64_t seed)
    : m_node(std::move(node)), m_boot(boot), m_clock(clock), m_limits(limits), m_random(seed)
{ }

void LoadPlanner::setTargets(std::vector<LoadTarget> targets, std::uint64_t configVersion,
                             std::size_t mostAtOnce, std::size_t members)
{
    m_configVersion = configVersion;
    m_mostAtOnce = std::max<std::size_t>(1, mostAtOnce);
    m_members = std::max<std::size_t>(1, members);
    std::map<std::string, std::vector<LoadTarget>> wanted;
    for (LoadTarget &it : targets)
        wanted[it.upstream].push_back(std::move(it));
    std::erase_if(m_engines, [&](const auto &it) { return wanted.count(it.first) == 0; });
    for (auto &[upstream, own] : wanted) {
        const auto [it, fresh] = m_engines.try_emplace(upstream);
        Engine &engine = it->second;
        if (engine.targets == own)
            continue;
        engine.targets = std::move(own);
        engine.fit = Fit::Unknown;
        engine.wrong.reset();
        engine.nextCheck = m_clock.now();
        // Of an engine that is new to this node nothing speaks against its weights; of one whose
        // wanted version has changed, its own word was that it serves the old one.
        if (!fresh)
            hold(upstream, engine, true);
    }
}

void LoadPlanner::engineRead(const std::string &upstream, const std::optional<EngineState> &state)
{
    const auto it = m_engines.find(upstream);
    if (it != m_engines.end()) {
        it->second.checking = false;
        if (state)
            judge(upstream, it->second, *state);
        else
            it->second.fit = Fit::Unknown; // there is no use in ordering it now
    }
    const bool own = m_slot && m_slot->upstream == upstream;
    if (m_stage == Stage::Verifying && own)
        return verified();
    const bool busy = state && state->loading && m_clock.now() < m_orderEnd;
    if (m_stage == Stage::ReadingBack && own && !busy)
        startRelease();
}

void LoadPlanner::judge(const std::string &upstream, Engine &engine, const EngineState &state)
{
    engine.loading = state.loading;
    engine.wrong.reset();
    for (const LoadTarget &it : engine.targets) {
        const auto served = state.versions.find(it.model);
        if (served != state.versions.end() && served->second != it.weightVersion)
            engine.wrong = it;
    }
    engine.fit = engine.wrong ? Fit::Wrong : Fit::Right;
    hold(upstream, engine, engine.wrong.has_value() || engine.loading);
}

void LoadPlanner::tableRead(const std::optional<StoredTable> &stored)
{
    if (m_stage != Stage::Reading)
        return;
    if (!stored)
        return rest();
    observe(stored->table);
    const auto &slots = stored->table.slots;
    const auto own
        = std::find_if(slots.begin(), slots.end(), [&](const LoadSlot &it) { return isOwn(it); });
    if (own == slots.end()) {
        m_releasing = false;
        return take(*stored);
    }
    // A write whose reply was lost has taken effect after all, or a slot is still to be given up.
    const bool inTime = m_clock.now() < m_takeBegan + m_limits.startWithin;
    if (!m_releasing && m_slot && *own == *m_slot && inTime)
        return verify();
    giveUp(*stored);
}

void LoadPlanner::take(const StoredTable &stored)
{
    const auto upstream = nextWrong();
    if (!upstream || stored.table.configVersion > m_configVersion)
        return rest();
    LoadTable table = stored.table;
    std::erase_if(table.slots, [&](const LoadSlot &it) { return isStale(it); });
    const bool busy = std::any_of(table.slots.begin(), table.slots.end(),
                                  [&](const LoadSlot &it) { return it.upstream == *upstream; });
    m_lastTried = *upstream;
    if (busy || table.slots.size() >= m_mostAtOnce)
        return rest();
    table.configVersion = m_configVersion;
    m_slot = LoadSlot{++table.lastFence, m_node, m_boot, *upstream};
    table.slots.push_back(*m_slot);
    m_takeBegan = m_clock.now();
    m_stage = Stage::Taking;
    m_actions.emplace_back(SwapLoadTable{stored.revision, std::move(table)});
}

void LoadPlanner::giveUp(const StoredTable &stored)
{
    LoadTable table = stored.table;
    std::erase_if(table.slots, [&](const LoadSlot &it) { return isOwn(it); });
    m_releasing = true;
    m_stage = Stage::Releasing;
    m_actions.emplace_back(SwapLoadTable{stored.revision, std::move(table)});
}

void LoadPlanner::tableSwapped(std::optional<bool> done)
{
    if (m_stage != Stage::Taking && m_stage != Stage::Releasing)
        return;
    if (!done || (!*done && m_stage == Stage::Releasing))
        return lookAtTable(); // reading back settles it
    if (!*done)
        return rest();
    if (m_stage == Stage::Releasing) {
        m_releasing = false;
        m_slot.reset();
        m_stage = Stage::Idle;
        m_nextLook = m_clock.now(); // the next engine
        return;
    }
    verify();
}

// Looks at the engine once more, with the slot in hand: nobody else orders it now.
void LoadPlanner::verify()
{
    const auto engine = m_engines.find(m_slot->upstream);
    if (engine == m_engines.end())
        return startRelease();
    m_stage = Stage::Verifying;
    check(m_slot->upstream, engine->second);
}

void LoadPlanner::verified()
{
    const auto engine = m_engines.find(m_slot->upstream);
    const TimePoint sendBy = m_takeBegan + m_limits.startWithin;
    if (engine == m_engines.end() || engine->second.fit != Fit::Wrong || engine->second.loading
        || m_clock.now() >= sendBy)
        return startRelease();
    const LoadTarget &target = *engine->second.wrong;
    m_stage = Stage::Ordering;
    m_orderEnd = sendBy + m_limits.longestOrder;
    m_actions.emplace_back(OrderLoad{target.upstream, target.address, target.model,
                                     target.weightVersion, m_slot->fence, sendBy, m_orderEnd});
}

void LoadPlanner::orderEnded(const std::string &upstream)
{
    if (m_stage != Stage::Ordering || m_slot->upstream != upstream)
        return;
    m_stage = Stage::ReadingBack;
    const auto engine = m_engines.find(upstream);
    if (engine != m_engines.end())
        check(upstream, engine->second);
}

void LoadPlanner::tick()
{
    const TimePoint now = m_clock.now();
    for (auto &[upstream, engine] : m_engines) {
        if (!engine.checking && now >= engine.nextCheck)
            check(upstream, engine);
    }
    const bool looking = m_stage == Stage::Verifying || m_stage == Stage::ReadingBack;
    if (looking && m_engines.count(m_slot->upstream) == 0)
        startRelease(); // it belongs to another node now
    const bool wanted = m_releasing || nextWrong();
    if (m_stage == Stage::Idle && wanted && now >= m_nextLook)
        lookAtTable();
}

std::vector<LoadAction> LoadPlanner::takeActions()
{
    return std::exchange(m_actions, {});
}

bool LoadPlanner::isHeld(const std::string &upstream) const
{
    const auto it = m_engines.find(upstream);
    return it != m_engines.end() && it->second.held;
}

std::size_t LoadPlanner::pending() const
{
    return static_cast<std::size_t>(
        std::count_if(m_engines.begin(), m_engines.end(),
                      [](const auto &it) { return it.second.fit == Fit::Wrong; }));
}

void LoadPlanner::check(const std::string &upstream, Engine &engine)
{
    engine.checking = true;
    engine.nextCheck = m_clock.now() + m_limits.checkEvery;
    m_actions.emplace_back(ReadEngine{upstream, engine.targets.front().address});
}

void LoadPlanner::hold(const std::string &upstream, Engine &engine, bool held)
{
    if (std::exchange(engine.held, held) != held)
        m_actions.emplace_back(HoldEngine{upstream, held});
    // An engine that is held is looked at more often: each look may bring it back.
    if (held)
        engine.nextCheck = std::min(engine.nextCheck, m_clock.now() + m_limits.retryLeast);
}

void LoadPlanner::lookAtTable()
{
    m_stage = Stage::Reading;
    m_actions.emplace_back(ReadLoadTable{});
}

// Remembers since when each slot of another process has been seen.
void LoadPlanner::observe(const LoadTable &table)
{
    std::map<std::int64_t, Seen> seen;
    for (const LoadSlot &it : table.slots) {
        const auto known = m_seen.find(it.fence);
        const bool same = known != m_seen.end() && known->second.slot == it;
        seen[it.fence] = {it, same ? known->second.since : m_clock.now()};
    }
    m_seen = std::move(seen);
}

bool LoadPlanner::isStale(const LoadSlot &slot) const
{
    const auto it = m_seen.find(slot.fence);
    const Duration longest = m_limits.startWithin + m_limits.longestOrder + m_limits.margin;
    return it != m_seen.end() && m_clock.now() - it->second.since > longest;
}

std::optional<std::string> LoadPlanner::nextWrong() const
{
    std::optional<std::string> first;
    for (const auto &[name, engine] : m_engines) {
        if (engine.fit != Fit::Wrong || engine.loading)
            continue;
        if (name > m_lastTried)
            return name;
        if (!first)
            first = name;
    }
    return first;
}

void LoadPlanner::startRelease()
{
    m_releasing = true;
    lookAtTable();
}

// Looks at the table again after a while that grows with the fleet, so that all nodes together read
// it at a bounded rate.
void LoadPlanner::rest()
{
    m_stage = Stage::Idle;
    const Duration least
        = std::max(m_limits.retryLeast, m_limits.retryPerMember * static_cast<int>(m_members));
    const auto jitter = static_cast<std::int64_t>(
        m_random() % static_cast<std::uint64_t>(std::max<std::int64_t>(1, least.count())));
    m_nextLook = m_clock.now() + least / 2 + Duration(jitter);
}

} // namespace fordwood
