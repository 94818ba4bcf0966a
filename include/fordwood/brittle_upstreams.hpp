// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_BRITTLE_UPSTREAMS_HPP_INCLUDED
#define FORDWOOD_BRITTLE_UPSTREAMS_HPP_INCLUDED

#include <cstddef>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "fordwood/clock.hpp"
#include "fordwood/upstream_limits.hpp"

namespace fordwood {

// Tracks which upstreams are brittle: one that must reject too many requests in a second for want
// of room crashes. An upstream says so in each response, together with the number of rejections
// per second that it bears from all nodes together, so nodes exchange it as they exchange limits.
// All upstreams of a service are brittle at the same time. One that has not responded yet counts as
// brittle while others of its service are: a restarted upstream would otherwise get the full load
// before its first response.
class BrittleUpstreams
{
public:
    explicit BrittleUpstreams(const Clock &clock) : m_reports(clock) { }

    // Registers an upstream in service. Reports on other upstreams are ignored.
    void addUpstream(const std::string &instanceId, const std::string &service);

    // Drops an upstream instance that has ended.
    void forget(const std::string &instanceId);

    // Handles a response to a request that was sent at `sentAt`. `rejectionsPerSecond`: empty if
    // the response does not say that the upstream is brittle.
    std::optional<LimitChange> onAnswer(const std::string &instanceId,
                                        std::optional<double> rejectionsPerSecond,
                                        TimePoint sentAt);

    // Merges reports received from a peer, and returns the reports to send to peers.
    std::vector<LimitChange> applyUpdates(const std::vector<LimitGossip> &updates);
    std::vector<LimitGossip> updates() const { return m_reports.updates(); }

    bool isBrittle(const std::string &instanceId) const;

    // The number of upstreams that are known to be brittle, for the metrics.
    std::size_t size() const { return m_reports.limitedUpstreams(); }

private:
    void count(const LimitChange &change);

    UpstreamLimits m_reports; // of the rejections per second that each upstream bears
    std::unordered_map<std::string, std::string> m_services; // by instance id
    std::unordered_map<std::string, std::size_t> m_brittleByService;
    std::set<std::string> m_sound; // upstreams that responded without saying that they are brittle
};

} // namespace fordwood

#endif // FORDWOOD_BRITTLE_UPSTREAMS_HPP_INCLUDED
