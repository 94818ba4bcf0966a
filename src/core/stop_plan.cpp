// SPDX-License-Identifier: MIT
#include "fordwood/stop_plan.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// From this time after the signal, callers have had time to learn of the stop: requests are taken
// only if they have their answer before its end even if they use all their time.
constexpr Duration kNoticePeriod = std::chrono::milliseconds(2'800);

// Until this part of the stop has passed, requests of which nothing is known are sent to upstreams.
constexpr double kUnknownShare = 0.35;

// The platform stops routing new connections to the node after two readiness checks, a second
// apart, have failed.
constexpr Duration kOutOfRotationAfter = std::chrono::milliseconds(3'200);

// The end of the stop, reserved for the last answers and for the work after them.
constexpr Duration kEndReserve = std::chrono::milliseconds(600);
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

bool StopPlan::mayTake(const Request &request, TimePoint now) const
{
    if (!hasBegun() || request.answerBy <= endsAt())
        return true;
    return elapsed(now) < kNoticePeriod && canEnd(request, now);
}

bool StopPlan::canEnd(const Request &request, TimePoint now) const
{
    if (!hasBegun() || request.answerBy <= endsAt())
        return true;
    if (request.usualTime)
        return now + *request.usualTime <= endsAt();
    return elapsed(now) < kUnknownShare * m_stopWithin;
}

bool StopPlan::isOutOfRotation(TimePoint now) const
{
    return hasBegun() && elapsed(now) >= kOutOfRotationAfter;
}

} // namespace fordwood
