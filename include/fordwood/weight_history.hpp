// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED
#define FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/event_time.hpp"

namespace fordwood {

// The weight versions that were named for one model, each with the time of its naming as far as it
// is known. A version counts as old from the naming of the first newer one, also when further ones
// follow.
class WeightHistory
{
public:
    // False when it tells nothing new.
    bool note(std::uint64_t version, const EventTime &named);

    // Nothing where the version was not named, as far as known.
    std::optional<EventTime> find(std::uint64_t version) const;

    // Zero while none was named.
    std::uint64_t newest() const;

    // When the first version above this one was named; nothing when it is the newest.
    std::optional<EventTime> superseded(std::uint64_t version) const;

    const std::map<std::uint64_t, EventTime> &named() const { return m_named; }

private:
    std::map<std::uint64_t, EventTime> m_named;
};

} // namespace fordwood

#endif // FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED
