// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_EVENT_TIME_HPP_INCLUDED
#define FORDWOOD_EVENT_TIME_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"

namespace fordwood {

// Bounds on the time of an event that a node did not see itself. The moment at which the node
// learns of the event only bounds it from above; a lower bound is a moment at which the event
// cannot have happened yet. A deadline that must not be missed counts from `earliest`, a waiting
// time that must not be too short from `latest`.
struct EventTime
{
    std::optional<TimePoint> earliest; // empty: no lower bound
    TimePoint latest{};

    // For an event that this node saw itself.
    static EventTime at(TimePoint moment) { return {moment, moment}; }

    // Narrows the bounds with those of another node for the same event. Returns false if that
    // changes nothing.
    bool narrow(const EventTime &other);

    bool operator==(const EventTime &) const = default;
};

} // namespace fordwood

#endif // FORDWOOD_EVENT_TIME_HPP_INCLUDED
