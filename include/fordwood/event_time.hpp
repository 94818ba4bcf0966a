// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_EVENT_TIME_HPP_INCLUDED
#define FORDWOOD_EVENT_TIME_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"

namespace fordwood {

// When something happened, as far as a node can tell. It has heard of it at some moment, which says
// nothing of how long ago it happened; only a moment at which it surely had not happened yet does.
// A decision that must not come too late counts from `earliest`, one that must not come too soon
// from `latest`.
struct EventTime
{
    std::optional<TimePoint> earliest; // nothing: it may be any time ago
    TimePoint latest{};

    // For what this node was there to see.
    static EventTime at(TimePoint moment) { return {moment, moment}; }

    // Takes in what another one knows of the same event. False when that tells nothing new.
    bool narrow(const EventTime &other);

    bool operator==(const EventTime &) const = default;
};

} // namespace fordwood

#endif // FORDWOOD_EVENT_TIME_HPP_INCLUDED
