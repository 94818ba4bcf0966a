// SPDX-License-Identifier: MIT
#include "fordwood/placement_ledger.hpp"

#include <algorithm>

#include "fordwood/upstream_loads.hpp"

namespace fordwood {

void PlacementLedger::add(const PlacementId &id, const Placement &placement)
{
    end(id);
    Entry entry;
    entry.engine = UpstreamLoads::keyOf(placement.engine);
    entry.load = placement.load;
    entry.computedBy = placement.computedBy;
    entry.endsBy = placement.endsBy;
    m_loads[entry.engine] += {1, entry.load.tokensToCompute, entry.load.tokensHeld};
    for (const auto &[store, tokens] : placement.fetchTokens) {
        entry.fetchTokens.emplace_back(UpstreamLoads::keyOf(store), tokens);
        m_loads[entry.fetchTokens.back().first] += {1, tokens, 0};
    }
    entry.estimate = placement.estimate;
    entry.placedAt = m_clock.now();
    if (entry.estimate.firstToken > Duration(0))
        m_waiting[entry.engine].emplace(entry.placedAt + entry.estimate.firstToken, id);
    entry.shortRequestOf = placement.shortRequestOf;
    if (!entry.shortRequestOf.empty())
        m_runningShort[entry.shortRequestOf] += 1;
    m_expiries.emplace(std::min(entry.computedBy, entry.endsBy), id);
    m_placements.emplace(id, entry);
}

std::optional<PlacementLedger::FirstToken> PlacementLedger::promptComputed(const PlacementId &id)
{
    const auto it = m_placements.find(id);
    if (it == m_placements.end() || it->second.isComputed)
        return std::nullopt;
    Entry &entry = it->second;
    m_expiries.erase({std::min(entry.computedBy, entry.endsBy), id});
    promptComputed(entry);
    m_expiries.emplace(entry.endsBy, id);
    if (entry.estimate.firstToken <= Duration(0))
        return std::nullopt;
    const auto waiting = m_waiting.find(entry.engine);
    waiting->second.erase({entry.placedAt + entry.estimate.firstToken, id});
    if (waiting->second.empty())
        m_waiting.erase(waiting);
    return FirstToken{entry.engine, entry.estimate, m_clock.now() - entry.placedAt};
}

std::optional<WaitingPrompt> PlacementLedger::firstDue(std::uint64_t engine) const
{
    const auto it = m_waiting.find(engine);
    if (it == m_waiting.end())
        return std::nullopt;
    const Entry &entry = m_placements.at(it->second.begin()->second);
    return WaitingPrompt{entry.placedAt, entry.estimate.firstToken};
}

void PlacementLedger::promptComputed(Entry &entry)
{
    entry.isComputed = true;
    subtract(entry.engine, {0, entry.load.tokensToCompute, 0});
    for (const auto &[store, tokens] : entry.fetchTokens)
        subtract(store, {1, tokens, 0});
}

void PlacementLedger::end(const PlacementId &id)
{
    const auto it = m_placements.find(id);
    if (it == m_placements.end())
        return;
    promptComputed(id);
    const Entry &entry = it->second;
    m_expiries.erase({entry.endsBy, id});
    subtract(entry.engine, {1, 0, entry.load.tokensHeld});
    const auto runningShort = m_runningShort.find(entry.shortRequestOf);
    if (runningShort != m_runningShort.end() && --runningShort->second == 0)
        m_runningShort.erase(runningShort);
    m_placements.erase(it);
}

void PlacementLedger::subtract(std::uint64_t upstream, const UpstreamLoad &load)
{
    const auto it = m_loads.find(upstream);
    it->second -= load;
    if (it->second.running == 0)
        m_loads.erase(it);
}

void PlacementLedger::removeExpired()
{
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_clock.now()) {
        const PlacementId id = m_expiries.begin()->second;
        const Entry &entry = m_placements.at(id);
        if (entry.isComputed || entry.endsBy <= m_clock.now())
            end(id);
        else
            promptComputed(id);
    }
}

UpstreamLoad PlacementLedger::total(const std::string &instanceId) const
{
    const auto it = m_loads.find(UpstreamLoads::keyOf(instanceId));
    return it == m_loads.end() ? UpstreamLoad{} : it->second;
}

std::string PlacementLedger::shortRequestOf(const PlacementId &id) const
{
    const auto it = m_placements.find(id);
    return it == m_placements.end() ? std::string() : it->second.shortRequestOf;
}

std::size_t PlacementLedger::runningShort(const std::string &serviceShard) const
{
    const auto it = m_runningShort.find(serviceShard);
    return it == m_runningShort.end() ? 0 : it->second;
}

} // namespace fordwood
