// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ADAPTERS_OBSERVE_LIMIT_LOG_HPP_INCLUDED
#define FORDWOOD_ADAPTERS_OBSERVE_LIMIT_LOG_HPP_INCLUDED

#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "adapters/observe/metrics.hpp"
#include "fordwood/upstream_limits.hpp"

namespace fordwood::adapters {

// Logs changes of the limits that upstreams announce, and counts unreadable ones.
class LimitLog
{
public:
    explicit LimitLog(Metrics &metrics) : m_metrics(metrics) { }

    // `source`: the request whose answer named the limit, or the peer that reported it. `ownRate`:
    // the rate at which this node may send now, in requests per second.
    void logChange(const LimitChange &change, std::string_view source,
                   std::optional<double> ownRate);

    // Logs that an upstream is brittle, that it bears another number of rejections, or that it is
    // no longer brittle. `source`: as above.
    void logBrittleness(const LimitChange &change, std::string_view source);

    // An answer named a limit that is not a number. Counted each time, logged once per instance.
    void logUnreadable(const std::string &instanceId, const std::string &requestId);

    void forget(const std::string &instanceId) { m_unreadable.erase(instanceId); }

private:
    Metrics &m_metrics;
    std::set<std::string> m_unreadable; // instance ids that have been logged
};

} // namespace fordwood::adapters

#endif // FORDWOOD_ADAPTERS_OBSERVE_LIMIT_LOG_HPP_INCLUDED
