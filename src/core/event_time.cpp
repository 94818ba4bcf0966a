// SPDX-License-Identifier: MIT
#include "fordwood/event_time.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Bounds from other nodes arrive with a delay, so `earliest` appears later each time it is passed
// on. Smaller gains than this are ignored; otherwise two nodes that send each other the same bound
// would move it forward without end.
constexpr Duration kMinGain = std::chrono::milliseconds(500);

} // namespace

bool EventTime::narrow(const EventTime &other)
{
    const EventTime before = *this;
    latest = std::min(latest, other.latest);
    // An earliest time after the known latest one comes from an outdated message and is ignored.
    const bool isPlausible = other.earliest && *other.earliest - latest < kMinGain;
    const bool isBetter = isPlausible && (!earliest || *other.earliest - *earliest >= kMinGain);
    if (isBetter)
        earliest = other.earliest;
    // Delays only move a bound to a later time, so they cannot make `latest` wrong.
    if (earliest)
        earliest = std::min(*earliest, latest);
    return *this != before;
}

} // namespace fordwood
