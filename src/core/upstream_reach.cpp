// SPDX-License-Identifier: MIT
#include "fordwood/upstream_reach.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Returns an element of the list, another one in each round; nothing if it is empty.
std::optional<std::string> inTurn(const std::vector<std::string> &list, std::size_t round)
{
    if (list.empty())
        return std::nullopt;
    return list[round % list.size()];
}

} // namespace

void UpstreamReach::failed(const std::string &service, const std::string &instanceId,
                           std::size_t upstreams)
{
    Service &entry = m_services[service];
    std::erase_if(entry.failures, [&](const auto &it) { return !isRecent(entry, it.second); });
    entry.failures[instanceId] = m_clock.now();
    entry.upstreams = upstreams;
}

void UpstreamReach::connected(const std::string &service)
{
    m_services.erase(service);
}

void UpstreamReach::reachedByPeer(const std::string &service, const std::string &instanceId)
{
    const auto it = m_services.find(service);
    if (it != m_services.end() && it->second.failures.contains(instanceId)
        && isDoubtful(it->second))
        it->second.isCutOff = true;
}

// While the node is cut off, only a success ends the state: without requests that fail, it would
// otherwise expire.
bool UpstreamReach::isRecent(const Service &service, TimePoint failedAt) const
{
    return service.isCutOff || m_clock.now() - failedAt < m_limits.failureLifetime;
}

std::size_t UpstreamReach::recentFailures(const Service &service) const
{
    return static_cast<std::size_t>(
        std::count_if(service.failures.begin(), service.failures.end(),
                      [&](const auto &it) { return isRecent(service, it.second); }));
}

bool UpstreamReach::isDoubtful(const Service &service) const
{
    const std::size_t needed
        = std::clamp<std::size_t>(service.upstreams, 1, m_limits.minFailedUpstreams);
    return recentFailures(service) >= needed;
}

UpstreamReach::State UpstreamReach::state(const std::string &service) const
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || !isDoubtful(it->second))
        return State::Reachable;
    return it->second.isCutOff ? State::CutOff : State::Doubtful;
}

bool UpstreamReach::hasFailed(const std::string &service) const
{
    const auto it = m_services.find(service);
    return it != m_services.end() && recentFailures(it->second) > 0;
}

std::vector<std::string> UpstreamReach::failedUpstreams(const std::string &service) const
{
    std::vector<std::string> found;
    const auto it = m_services.find(service);
    if (it == m_services.end())
        return found;
    for (const auto &[id, failedAt] : it->second.failures) {
        if (isRecent(it->second, failedAt))
            found.push_back(id);
    }
    return found;
}

std::optional<UpstreamReach::Probe>
UpstreamReach::takeProbe(const std::string &service, const std::vector<std::string> &upstreams)
{
    const auto it = m_services.find(service);
    if (it == m_services.end() || recentFailures(it->second) == 0)
        return std::nullopt;
    Service &entry = it->second;
    const bool isFirstInDoubt = isDoubtful(entry) && !entry.wasProbedInDoubt;
    if (m_clock.now() < entry.nextProbe && !isFirstInDoubt)
        return std::nullopt;
    entry.wasProbedInDoubt = isDoubtful(entry);
    entry.nextProbe = m_clock.now() + m_limits.probeInterval;
    const std::size_t round = entry.probes++;
    std::vector<std::string> failed;
    std::vector<std::string> others;
    for (const std::string &id : upstreams)
        (entry.failures.contains(id) ? failed : others).push_back(id);
    // Before the node counts as cut off, an upstream that has not failed shows whether any path
    // works. Afterwards those that have failed show when their paths work again: where only some
    // paths are cut, another upstream would answer all the time.
    const std::vector<std::string> &preferred = entry.isCutOff ? failed : others;
    Probe probe;
    probe.direct = inTurn(preferred.empty() ? upstreams : preferred, round);
    // Peers connect only once several upstreams have failed here. Otherwise each crash of an
    // upstream would spread through the fleet as failed probes.
    if (isDoubtful(entry) && !entry.isCutOff)
        probe.throughPeer = inTurn(failed, round);
    return probe;
}

std::vector<std::string> UpstreamReach::servicesWithFailures() const
{
    std::vector<std::string> found;
    for (const auto &[service, entry] : m_services)
        found.push_back(service);
    return found;
}

} // namespace fordwood
