// SPDX-License-Identifier: MIT
#include "fordwood/stop_plan.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// From this time after the signal, two readiness checks, a second apart, have failed, and callers
// come on kept connections only: requests are taken only if they have their answer before the end
// even if they use all their time. The platform expects it from 3 s on. The difference is for a
// signal that is delivered late, which the process cannot tell.
constexpr Duration kNoticePeriod = std::chrono::milliseconds(2'200);

// Until this part of the stop has passed, requests of which nothing is known are sent to upstreams.
constexpr double kUnknownShare = 0.35;

// The platform stops routing new connections to the node after two readiness checks, a second
// apart, have failed. They fail from when the process takes the signal.
constexpr Duration kOutOfRotationAfter = std::chrono::milliseconds(3'200);

// The end of the stop, reserved for the last answers, for the work after them, and for a signal
// that was delivered late. The platform counts a request as lost that is cut before the last sixth.
constexpr Duration kEndReserve = std::chrono::milliseconds(1'000);
constexpr int kLastShare = 6; // the last sixth; a short stop reserves no more

// What the work after the last request takes: last bytes, messages to peers, the log.
constexpr Duration kExitTime = std::chrono::milliseconds(300);
constexpr int kMaxExitDivisor = 4; // of a short stop

} // namespace

Duration StopPlan::elapsed(TimePoint now) const
{
    return m_signalledAt ? now - *m_signalledAt : Duration::zero();
}

TimePoint StopPlan::endsAt() const
{
    return *m_signalledAt + servingTime();
}

TimePoint StopPlan::cutsAt() const
{
    // To be ended by the platform is no worse for a request than to be cut, so a signal that may
    // have been pending for long is no reason to cut one before the last part of the stop.
    const TimePoint lastPart = m_takenAt + m_stopWithin - m_stopWithin / kLastShare;
    return std::min(m_takenAt + servingTime(), std::max(writesUntil(), lastPart));
}

TimePoint StopPlan::writesUntil() const
{
    return *m_signalledAt + m_stopWithin - exitTime();
}

Duration StopPlan::exitTime() const
{
    return std::min(kExitTime, m_stopWithin / kMaxExitDivisor);
}

// The part of the stop before its reserve.
Duration StopPlan::servingTime() const
{
    const Duration reserve = std::min(kEndReserve, m_stopWithin / kLastShare);
    return m_stopWithin - std::max(reserve, exitTime());
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
    return hasBegun() && now - m_takenAt >= kOutOfRotationAfter;
}

} // namespace fordwood
