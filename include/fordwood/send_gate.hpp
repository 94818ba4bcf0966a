// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_SEND_GATE_HPP_INCLUDED
#define FORDWOOD_SEND_GATE_HPP_INCLUDED

#include <cstdint>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/cold_gate.hpp"
#include "fordwood/limit_gate.hpp"
#include "fordwood/upstream_backoffs.hpp"

namespace fordwood {

// Decides whether this node may send a request to an upstream. An upstream may accept a limited
// rate from all nodes together, because it is cold, because it advertises a limit, or both (then
// the smaller rate applies), or may have asked for a backoff. First attempts, retries and resumed
// streams all use this gate.
class SendGate
{
public:
    // `self`: the name of this node; `runId`: a number unique to this run of this node.
    SendGate(const Clock &clock, ColdGate::Limits limits, const std::string &self,
             std::uint64_t runId)
        : m_cold(clock, limits, self), m_limits(clock, runId), m_backoffs(clock)
    { }

    // Whether a request may be sent to the upstream now. `coldPerSecond`: the configured rate of a
    // cold upstream; zero: unlimited.
    bool maySend(const std::string &instanceId, double coldPerSecond)
    {
        if (m_backoffs.isBackingOff(instanceId))
            return false;
        // Both gates are called, because LimitGate::maySend() also records that this node has a
        // request.
        const bool isWithinLimit = m_limits.maySend(instanceId);
        return m_cold.maySend(instanceId, coldPerSecond) && isWithinLimit;
    }

    // Records that a request is sent to the upstream.
    void recordSend(const std::string &instanceId)
    {
        m_cold.recordSend(instanceId);
        m_limits.recordSend(instanceId);
    }

    // Whether the upstream's rate is limited, for either reason.
    bool isRateLimited(const std::string &instanceId) const
    {
        return m_cold.isCold(instanceId) || isLimited(instanceId);
    }

    bool isLimited(const std::string &instanceId) const
    {
        return m_limits.upstreamLimits().perSecond(instanceId).has_value();
    }

    // Drops all state of an upstream instance that has ended.
    void forget(const std::string &instanceId)
    {
        m_cold.forget(instanceId);
        m_limits.forget(instanceId);
        m_backoffs.forget(instanceId);
    }

    ColdGate &coldGate() { return m_cold; }
    LimitGate &limitGate() { return m_limits; }
    const LimitGate &limitGate() const { return m_limits; }
    UpstreamBackoffs &backoffs() { return m_backoffs; }

private:
    ColdGate m_cold;
    LimitGate m_limits;
    UpstreamBackoffs m_backoffs;
};

} // namespace fordwood

#endif // FORDWOOD_SEND_GATE_HPP_INCLUDED
