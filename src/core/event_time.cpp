// SPDX-License-Identifier: MIT
#include "fordwood/event_time.hpp"

#include <algorithm>

namespace fordwood {

namespace {

// Words of others arrive late, so that what they call the earliest moment seems later each time it
// is passed on. Smaller differences than this are not taken over: two nodes that told each other
// the same would else move it forward without end.
constexpr Duration kMinGain = std::chrono::milliseconds(500);

} // namespace

bool EventTime::narrow(const EventTime &other)
{
    const EventTime before = *this;
    latest = std::min(latest, other.latest);
    // A word that calls it younger than it is known to be comes from long ago, and tells nothing.
    const bool isPlausible = other.earliest && *other.earliest - latest < kMinGain;
    const bool isBetter = isPlausible && (!earliest || *other.earliest - *earliest >= kMinGain);
    if (isBetter)
        earliest = other.earliest;
    // Delays only make a moment seem later, and so cannot make the latest one wrong.
    if (earliest)
        earliest = std::min(*earliest, latest);
    return *this != before;
}

} // namespace fordwood
