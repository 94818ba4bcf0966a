// SPDX-License-Identifier: MIT
#include "fordwood/brittle_upstreams.hpp"

namespace fordwood {

void BrittleUpstreams::addUpstream(const std::string &instanceId, const std::string &service)
{
    m_services.emplace(instanceId, service);
    m_reports.addUpstream(instanceId);
}

void BrittleUpstreams::forget(const std::string &instanceId)
{
    const auto it = m_services.find(instanceId);
    if (it == m_services.end())
        return;
    if (m_reports.perSecond(instanceId))
        m_brittleByService[it->second] -= 1;
    m_reports.forget(instanceId);
    m_sound.erase(instanceId);
    m_services.erase(it);
}

void BrittleUpstreams::count(const LimitChange &change)
{
    const auto it = m_services.find(change.instanceId);
    if (it == m_services.end())
        return;
    std::size_t &brittle = m_brittleByService[it->second];
    brittle += change.now ? 1 : 0;
    brittle -= change.before ? 1 : 0;
    if (brittle == 0)
        m_sound.clear(); // the next time begins without knowledge of any upstream
}

std::optional<LimitChange> BrittleUpstreams::onAnswer(const std::string &instanceId,
                                                      std::optional<double> rejectionsPerSecond,
                                                      TimePoint sentAt)
{
    auto change = m_reports.onAnswer(instanceId, rejectionsPerSecond, sentAt);
    if (change)
        count(*change);
    if (m_reports.perSecond(instanceId))
        m_sound.erase(instanceId);
    else if (m_reports.limitedUpstreams() > 0 && m_services.contains(instanceId))
        m_sound.insert(instanceId);
    return change;
}

std::vector<LimitChange> BrittleUpstreams::applyUpdates(const std::vector<LimitGossip> &updates)
{
    std::vector<LimitChange> changes = m_reports.applyUpdates(updates);
    for (const LimitChange &it : changes) {
        count(it);
        if (it.now)
            m_sound.erase(it.instanceId);
    }
    return changes;
}

bool BrittleUpstreams::isBrittle(const std::string &instanceId) const
{
    if (m_reports.limitedUpstreams() == 0)
        return false;
    if (m_reports.perSecond(instanceId))
        return true;
    const auto it = m_services.find(instanceId);
    if (it == m_services.end() || m_sound.contains(instanceId))
        return false;
    const auto brittle = m_brittleByService.find(it->second);
    return brittle != m_brittleByService.end() && brittle->second > 0;
}

} // namespace fordwood
