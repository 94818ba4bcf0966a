// SPDX-License-Identifier: MIT
#include "node/upstream_paths.hpp"

#include "adapters/observe/event_log.hpp"

namespace fordwood::node {

namespace {

using adapters::Event;
using adapters::logEvent;
using State = UpstreamReach::State;

} // namespace

UpstreamPaths::UpstreamPaths(const Clock &clock, const UpstreamDirectory &upstreams,
                             adapters::Metrics &metrics)
    : m_upstreams(upstreams), m_metrics(metrics), m_reach(clock)
{ }

void UpstreamPaths::connected(const UpstreamRecord &upstream)
{
    m_metrics.count("fordwood_upstream_connects_total");
    m_reach.connected(upstream.service);
    updateState(upstream.service, "");
}

void UpstreamPaths::connectFailed(const UpstreamRecord &upstream, const ErrorCode &cause)
{
    m_metrics.count("fordwood_upstream_connect_failures_total");
    fail(upstream, cause.message());
}

void UpstreamPaths::channelFailed(const UpstreamRecord &upstream)
{
    fail(upstream, "connection lost");
}

void UpstreamPaths::fail(const UpstreamRecord &upstream, const std::string &cause)
{
    m_reach.failed(upstream.service, upstream.instanceId,
                   m_upstreams.usable(upstream.service).size());
    updateState(upstream.service, cause);
}

void UpstreamPaths::tick()
{
    for (const std::string &it : m_reach.servicesWithFailures())
        updateState(it, "");
    m_metrics.setGauge("fordwood_unreachable_services", static_cast<double>(m_states.size()));
}

void UpstreamPaths::updateState(const std::string &service, const std::string &cause)
{
    const State state = m_reach.state(service);
    const auto known = m_states.find(service);
    if (state == (known == m_states.end() ? State::Reachable : known->second))
        return;
    if (state == State::Reachable) {
        m_states.erase(known);
        logEvent(Event::UpstreamsReachable, {{"service", service}});
        return;
    }
    m_states[service] = state;
    logEvent(Event::UpstreamsUnreachable, {{"service", service},
                                           {"failed", m_reach.failedUpstreams(service).size()},
                                           {"upstreams", m_upstreams.usable(service).size()},
                                           {"cause", cause}});
}

} // namespace fordwood::node
