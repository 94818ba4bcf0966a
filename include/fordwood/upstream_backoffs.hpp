// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_BACKOFFS_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_BACKOFFS_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <string>

#include "fordwood/clock.hpp"

namespace fordwood {

// Which upstreams want nothing from this node for now.
//
// The load pattern that it answers: an upstream sheds load, rejects requests within milliseconds
// and says when it takes some again. Its quick rejections make it look idle, so that without this
// it gets more requests than before, each of which fails its caller or costs a retry.
class UpstreamBackoffs
{
public:
    explicit UpstreamBackoffs(const Clock &clock) : m_clock(clock) { }

    // The upstream asks this node for a backoff from now on; ten minutes at most are kept to. Of
    // several the one that ends last holds. Whether the end is another one now.
    bool addBackoff(const std::string &instanceId, Duration length);

    bool isBackingOff(const std::string &instanceId) const;

    // Until requests may go there again; zero: now.
    Duration remaining(const std::string &instanceId) const;

    // The upstream's life is over.
    void forget(const std::string &instanceId) { m_until.erase(instanceId); }

    // Drops what is over.
    void tick();

    // Upstreams that are kept, for the metrics.
    std::size_t size() const { return m_until.size(); }

private:
    const Clock &m_clock;
    std::map<std::string, TimePoint> m_until; // by instance id
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_BACKOFFS_HPP_INCLUDED
