// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_BACKOFFS_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_BACKOFFS_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Tracks the upstreams that have asked this node to back off. An upstream that sheds load rejects
// requests within milliseconds and states when it accepts some again. Its fast rejections make it
// look idle, so without this class it would get more requests than before, each of which fails or
// costs a retry.
class UpstreamBackoffs
{
public:
    explicit UpstreamBackoffs(const Clock &clock) : m_clock(clock) { }

    // The upstream asks this node to back off from now on, for at most ten minutes. Of several
    // requests the one that ends last applies. Returns whether the end of the backoff has changed.
    bool addBackoff(const std::string &instanceId, Duration length);

    bool isBackingOff(const std::string &instanceId) const;

    // The time until requests may be sent there again; zero: now.
    Duration remaining(const std::string &instanceId) const;

    // Drops all state of an upstream instance that has ended.
    void forget(const std::string &instanceId) { m_until.erase(instanceId); }

    // Drops expired backoffs.
    void tick();

    // The number of recorded backoffs, for the metrics.
    std::size_t size() const { return m_until.size(); }

private:
    const Clock &m_clock;
    std::map<std::string, TimePoint> m_until; // by instance id
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_BACKOFFS_HPP_INCLUDED
