// SPDX-License-Identifier: MIT
#include "fordwood/stop_plan.hpp"

namespace fordwood {

namespace {

// From this time after the signal, requests that may take longer than the rest of the stop are
// rejected. The platform tolerates it if requests from the first 3 s of the stop do not finish.
constexpr Duration kAcceptAllPeriod = std::chrono::milliseconds(2'800);

// The platform stops routing new connections to the node after two readiness checks, a second
// apart, have failed.
constexpr Duration kOutOfRotationAfter = std::chrono::milliseconds(3'200);

// The end of the stop, reserved for the last answers and for the work after them.
constexpr Duration kEndReserve = std::chrono::milliseconds(500);
constexpr int kMaxReserveDivisor = 4; // of a short stop

} // namespace

Duration StopPlan::elapsed(TimePoint now) const
{
    return m_signalledAt ? now - *m_signalledAt : Duration::zero();
}

TimePoint StopPlan::endsAt() const
{
    return *m_signalledAt + m_stopWithin - std::min(kEndReserve, m_stopWithin / kMaxReserveDivisor);
}

bool StopPlan::mayTake(TimePoint answerBy, TimePoint now) const
{
    return !hasBegun() || elapsed(now) < kAcceptAllPeriod || answerBy <= endsAt();
}

bool StopPlan::isOutOfRotation(TimePoint now) const
{
    return hasBegun() && elapsed(now) >= kOutOfRotationAfter;
}

} // namespace fordwood
