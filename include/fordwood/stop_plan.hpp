// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STOP_PLAN_HPP_INCLUDED
#define FORDWOOD_STOP_PLAN_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"

namespace fordwood {

// The times of a planned stop of a node, and which requests it still takes. The platform ends the
// process a fixed time after its signal, however late the process takes it. So the times count from
// the earliest time at which the signal may have been sent, but for two: requests that run go on as
// if it had just been sent, until the last sixth of the stop at least (of one of 2 s or more), and
// callers come until the platform has noticed.
class StopPlan
{
public:
    // `stopWithin`: the time from the signal until the platform ends the process.
    explicit StopPlan(Duration stopWithin) : m_stopWithin(stopWithin) { }

    // `signalledAt`, `takenAt`: the earliest and the latest time at which the signal may have been
    // sent.
    void begin(TimePoint signalledAt, TimePoint takenAt)
    {
        m_signalledAt = signalledAt;
        m_takenAt = takenAt;
    }

    bool hasBegun() const { return m_signalledAt.has_value(); }

    // The time since the signal; zero: no stop has begun.
    Duration elapsed(TimePoint now) const;

    // When requests that no upstream has begun are ended. Only while a stop lasts.
    TimePoint endsAt() const;

    // When requests that still run are ended. Only while a stop lasts.
    TimePoint cutsAt() const;

    // Until when the process waits for callers that have not received their last bytes. Only while
    // a stop lasts.
    TimePoint writesUntil() const;

    // What is known of a request.
    struct Request
    {
        TimePoint answerBy{}; // when it has its answer at the latest
        std::optional<Duration> usualTime; // that requests like it take; nullopt: not known
    };

    // Whether a request that arrives now is taken.
    bool mayTake(const Request &request, TimePoint now) const;

    // Whether a request that is sent to an upstream now can be expected to have its answer before
    // the end.
    bool canEnd(const Request &request, TimePoint now) const;

    // Whether new connections no longer arrive, so that the node may stop listening.
    bool isOutOfRotation(TimePoint now) const;

private:
    Duration exitTime() const;
    Duration servingTime() const;

    const Duration m_stopWithin;
    std::optional<TimePoint> m_signalledAt;
    TimePoint m_takenAt{};
};

} // namespace fordwood

#endif // FORDWOOD_STOP_PLAN_HPP_INCLUDED
