// SPDX-License-Identifier: MIT
#include "fordwood/upstream_backoffs.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// An upstream that sends a value in the wrong unit must not be skipped for days.
constexpr Duration kMaxBackoff = std::chrono::minutes(10);

} // namespace

bool UpstreamBackoffs::addBackoff(const std::string &instanceId, Duration length)
{
    const TimePoint until = m_clock.now() + std::min(length, kMaxBackoff);
    if (until <= m_clock.now())
        return false;
    TimePoint &known = m_until[instanceId];
    if (until <= known)
        return false;
    known = until;
    return true;
}

bool UpstreamBackoffs::isBackingOff(const std::string &instanceId) const
{
    return !m_until.empty() && remaining(instanceId) > Duration::zero();
}

Duration UpstreamBackoffs::remaining(const std::string &instanceId) const
{
    const auto it = m_until.find(instanceId);
    return it == m_until.end() ? Duration::zero()
                               : std::max(it->second - m_clock.now(), Duration::zero());
}

void UpstreamBackoffs::tick()
{
    std::erase_if(m_until, [now = m_clock.now()](const auto &it) { return it.second <= now; });
}

} // namespace fordwood
