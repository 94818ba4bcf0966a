// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SERVED_VERSIONS_HPP_INCLUDED
#define FORDWOOD_SERVED_VERSIONS_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <set>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Tracks at which software versions of a service the streams that are not over yet may have begun.
//
// Load pattern: a service has one version almost all the time, and several during a rollout, which
// may stop half way. A version that has left still counts for as long as a stream may live.
class ServedVersions
{
public:
    explicit ServedVersions(const Clock &clock) : m_clock(clock), m_observedSince(clock.now()) { }

    // An upstream of the version was added or removed.
    void add(const std::string &service, const std::string &version);
    void remove(const std::string &service, const std::string &version);

    // Another node has seen the version, which this node may not know of yet.
    void observe(const std::string &service, const std::string &version);

    // Changes may have been missed: what was seen until now does not count as complete.
    void interrupt() { m_observedSince = m_clock.now(); }

    // Whether changes reach this node at all. What comes and goes while they do not is not seen.
    void setFollowing(bool isFollowing);

    // Extends the longest time from the first attempt of a caller to the end of its last one.
    void extendStreamLifetime(Duration lifetime);

    // The versions at which a stream may have begun that is not over yet, as far as this node has
    // seen.
    std::set<std::string> recent(const std::string &service) const;
    bool hasSeveral(const std::string &service) const { return recent(service).size() > 1; }

    // Whether this node has followed all changes for as long as a stream may live, so that there
    // are no other versions than the recent ones, except for what it does not know yet.
    bool isComplete() const
    {
        return m_isFollowing && m_clock.now() - m_observedSince >= m_streamLifetime;
    }

private:
    struct Presence
    {
        std::size_t upstreams = 0;
        TimePoint lastSeen{}; // counts once there are no upstreams
    };

    using Versions = std::map<std::string, Presence>; // by version

    bool isRecent(const Presence &presence) const;
    void dropOld(Versions &versions) const;

    const Clock &m_clock;
    std::map<std::string, Versions> m_services; // by service
    Duration m_streamLifetime{};
    TimePoint m_observedSince;
    bool m_isFollowing = true;
};

} // namespace fordwood

#endif // FORDWOOD_SERVED_VERSIONS_HPP_INCLUDED
