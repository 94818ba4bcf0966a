// SPDX-License-Identifier: MIT
#include "fordwood/served_versions.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Bounds what peers can make this node remember. A rollout has two or three versions.
constexpr std::size_t kMaxVersions = 32;

} // namespace

bool ServedVersions::isRecent(const Presence &presence) const
{
    return presence.upstreams > 0
           || (presence.lastSeen != TimePoint{}
               && m_clock.now() - presence.lastSeen < m_streamLifetime);
}

void ServedVersions::dropOld(Versions &versions) const
{
    std::erase_if(versions, [this](const auto &it) { return !isRecent(it.second); });
}

void ServedVersions::add(const std::string &service, const std::string &version)
{
    Versions &versions = m_services[service];
    versions[version].upstreams += 1;
    dropOld(versions);
}

void ServedVersions::remove(const std::string &service, const std::string &version)
{
    Presence &presence = m_services[service][version];
    presence.upstreams -= std::min<std::size_t>(presence.upstreams, 1);
    presence.lastSeen = m_clock.now();
}

void ServedVersions::observe(const std::string &service, const std::string &version)
{
    Versions &versions = m_services[service];
    dropOld(versions);
    if (versions.size() < kMaxVersions || versions.contains(version))
        versions[version].lastSeen = m_clock.now();
}

void ServedVersions::setFollowing(bool isFollowing)
{
    if (isFollowing && !m_isFollowing)
        interrupt();
    m_isFollowing = isFollowing;
}

void ServedVersions::extendStreamLifetime(Duration lifetime)
{
    if (lifetime <= m_streamLifetime)
        return;
    // Versions that left longer ago than the lifetime so far are not remembered.
    m_observedSince = std::max(m_observedSince, m_clock.now() - m_streamLifetime);
    m_streamLifetime = lifetime;
}

std::set<std::string> ServedVersions::recent(const std::string &service) const
{
    std::set<std::string> found;
    const auto versions = m_services.find(service);
    if (versions == m_services.end())
        return found;
    for (const auto &[version, presence] : versions->second) {
        if (isRecent(presence))
            found.insert(version);
    }
    return found;
}

} // namespace fordwood
