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

// Whether this node may send a request to an upstream that takes only so many from all nodes
// together, because it is cold, because it names a limit, or both (then the smaller rate holds), or
// that wants none for now. One question for all that sends: first sends, repeats, and streams that
// go on elsewhere.
class SendGate
{
public:
    // `self`: this node's name; `life`: a number for this life of it, another one than any other's.
    SendGate(const Clock &clock, ColdGate::Limits limits, const std::string &self,
             std::uint64_t life)
        : m_cold(clock, limits, self), m_limits(clock, life), m_backoffs(clock)
    { }

    // Whether a request may go to the upstream now. `coldPerSecond`: what it is stated to take
    // while it is cold; zero: any number.
    bool maySend(const std::string &instanceId, double coldPerSecond)
    {
        if (m_backoffs.isBackingOff(instanceId))
            return false;
        // Both are asked, as asking also says that there is a request.
        const bool isWithinLimit = m_limits.maySend(instanceId);
        return m_cold.maySend(instanceId, coldPerSecond) && isWithinLimit;
    }

    // A request goes to the upstream.
    void recordSend(const std::string &instanceId)
    {
        m_cold.recordSend(instanceId);
        m_limits.recordSend(instanceId);
    }

    // Whether the upstream takes only so many requests, for either reason.
    bool isRateLimited(const std::string &instanceId) const
    {
        return m_cold.isCold(instanceId) || isLimited(instanceId);
    }

    bool isLimited(const std::string &instanceId) const
    {
        return m_limits.upstreamLimits().perSecond(instanceId).has_value();
    }

    // The upstream's life is over.
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
