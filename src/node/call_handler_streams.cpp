// SPDX-License-Identifier: MIT
// The part of CallHandler that takes up streams where they broke off.
#include "node/call_handler.hpp"

#include "node/call_log.hpp"

namespace fordwood::node {

// The caller has a part of the stream, which can go on only where it began.
void CallHandler::continueStream()
{
    if (m_caller.resumeFrom)
        m_eventSplitter.continueAfter(*m_caller.resumeFrom);
    m_state.checkForStall();
    m_state.upstreams().versions().extendStreamLifetime(m_call.callerDeadline - m_arrived);
    if (m_caller.firstAttempt.empty())
        continueUnnamedStream();
    else
        findOrigin();
}

// A caller that does not name its first attempt may go on only where one version is known.
void CallHandler::continueUnnamedStream()
{
    if (m_state.upstreams().versions().hasSeveral(m_call.pool->name))
        rejectLostStream(Reason::StreamOriginUnknown, kRetryAfter);
    else
        waitUntilCurrent(&CallHandler::onCurrentForUnnamed);
}

// Without evidence from the store, peers may have some.
void CallHandler::onCurrentForUnnamed(bool isCurrent)
{
    const std::set<std::string> versions = m_state.upstreams().versions().recent(m_call.pool->name);
    if (versions.size() > 1) {
        rejectLostStream(Reason::StreamOriginUnknown, kRetryAfter);
        return;
    }
    if (!isCurrent) {
        m_state.streams().findAtPeers(m_call.stream, m_call.pool->name, originReceiver());
        return;
    }
    // Another version may join before the request is sent.
    if (!versions.empty())
        m_origin = StreamOrigin{m_call.pool->name, *versions.begin()};
    beginServing();
}

void CallHandler::waitUntilCurrent(void (CallHandler::*next)(bool isCurrent))
{
    m_state.readBarrier().wait([self = shared_from_this(), next](bool isCurrent) {
        if (!self->m_isFinished)
            (self.get()->*next)(isCurrent);
    });
}

void CallHandler::findOrigin()
{
    m_state.streams().find(m_call.stream, m_call.pool->name, originReceiver());
}

StreamExchange::OnFound CallHandler::originReceiver()
{
    return [self = shared_from_this()](const std::optional<StreamOrigin> &origin) {
        if (!self->m_isFinished)
            self->onOrigin(origin);
    };
}

void CallHandler::onOrigin(const std::optional<StreamOrigin> &origin)
{
    m_origin = origin;
    if (m_origin && directTo(m_origin->service, m_call))
        beginServing();
    else
        rejectLostStream(Reason::StreamOriginUnknown, kRetryAfter);
}

// Ends a request that continues a stream which cannot go on.
void CallHandler::rejectLostStream(Reason reason, std::chrono::milliseconds retryAfter)
{
    m_plan.setReason(reason);
    if (!m_streamStarted) {
        rejectWith(m_plan.verdict(retryAfter));
        return;
    }
    m_state.metrics().countRefusal(reason);
    cutStream("cut-version-gone");
}

void CallHandler::onCurrentForVersion(bool /*isCurrent*/)
{
    startAttempt();
}

// Whether the attempt continues a stream of which the caller has a part.
bool CallHandler::resumesStream() const
{
    return m_call.terms.resumable && (m_streamStarted || m_caller.continuesStream());
}

void CallHandler::recordResumption()
{
    const std::uint64_t lastEvent = m_eventSplitter.lastId().value_or(0);
    m_state.metrics().count(m_streamStarted ? "fordwood_streams_resumed_by_node_total"
                                            : "fordwood_streams_resumed_by_caller_total");
    const std::string &firstAttempt
        = m_caller.firstAttempt.empty() ? m_caller.requestId : m_caller.firstAttempt;
    logStreamResumption({m_caller.requestId, firstAttempt, lastEvent,
                         m_streamStarted ? "node" : "caller", m_origin ? m_origin->version : "",
                         m_attempt->upstream.instanceId, m_attempt->upstream.softwareVersion});
}

// From its first event on, the stream can go on only at this version, at whatever node its caller
// takes it up.
void CallHandler::recordOrigin()
{
    if (!m_origin)
        m_origin = StreamOrigin{m_call.pool->name, m_attempt->upstream.softwareVersion};
    m_state.upstreams().versions().extendStreamLifetime(m_call.callerDeadline - m_arrived);
    m_state.streams().record({m_call.stream, *m_origin, m_call.callerDeadline});
}

} // namespace fordwood::node
