// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_UPSTREAM_REACH_HPP_INCLUDED
#define FORDWOOD_UPSTREAM_REACH_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood {

// Tracks whether this node reaches the upstreams of each service on its own network paths. A node
// can lose its paths to all upstreams while callers and other nodes still reach it; its requests
// then fail as if every upstream were down. A peer that reaches an upstream which this node does
// not shows that the path has failed and not the upstream.
//
// Load pattern: a node's open connections are reset or stop responding, and new ones are refused or
// time out, for some seconds. Meanwhile single upstreams crash, which must not look the same.
class UpstreamReach
{
public:
    enum class State {
        Reachable, // the last connection succeeded, or only one upstream's have failed since
        Doubtful, // connections to several upstreams have failed and none has succeeded since
        CutOff, // likewise, and a peer reaches one of these upstreams
    };

    struct Limits
    {
        // One upstream that cannot be reached may be down.
        std::size_t minFailedUpstreams = 2;
        // Failures further apart than this have separate causes.
        Duration failureLifetime = std::chrono::seconds(5);
        // Bounds the connections that are opened only to find out whether a path works.
        Duration probeInterval = std::chrono::milliseconds(250);
    };

    explicit UpstreamReach(const Clock &clock) : UpstreamReach(clock, Limits{}) { }
    UpstreamReach(const Clock &clock, Limits limits) : m_clock(clock), m_limits(limits) { }

    // A connection to the upstream has failed, or could not be opened, on this node's own path.
    // `upstreams`: how many the service has.
    void failed(const std::string &service, const std::string &instanceId, std::size_t upstreams);

    // A new connection to an upstream of the service was opened on this node's own path. Data on an
    // older connection shows less: it can live on while new ones are refused.
    void connected(const std::string &service);

    // A peer has opened a connection to the upstream.
    void reachedByPeer(const std::string &service, const std::string &instanceId);

    State state(const std::string &service) const;

    // Whether a connection has failed and none has succeeded since.
    bool hasFailed(const std::string &service) const;

    // The upstreams whose connections have failed since the last success.
    std::vector<std::string> failedUpstreams(const std::string &service) const;

    // Upstreams to connect to only to find out which paths work.
    struct Probe
    {
        std::optional<std::string> direct; // instance to connect to on the node's own path
        std::optional<std::string> throughPeer; // instance that a peer should connect to
    };

    // The probe that is due, if any. `upstreams`: the instances of the service that are in use.
    std::optional<Probe> takeProbe(const std::string &service,
                                   const std::vector<std::string> &upstreams);

    // The services to which connections have failed.
    std::vector<std::string> servicesWithFailures() const;

private:
    struct Service
    {
        std::map<std::string, TimePoint> failures; // since the last success, by instance
        std::size_t upstreams = 0;
        bool isCutOff = false;
        TimePoint nextProbe{};
        std::size_t probes = 0;
        bool wasProbedInDoubt = false; // the last probe
    };

    std::size_t recentFailures(const Service &service) const;
    bool isDoubtful(const Service &service) const;
    bool isRecent(const Service &service, TimePoint failedAt) const;

    const Clock &m_clock;
    const Limits m_limits;
    std::map<std::string, Service> m_services; // those with failures
};

} // namespace fordwood

#endif // FORDWOOD_UPSTREAM_REACH_HPP_INCLUDED
