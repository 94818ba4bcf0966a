// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED
#define FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/event_time.hpp"

namespace fordwood {

// What is known of when weights were named.
struct WeightNaming
{
    EventTime named;
    // The newest weights that had been named at `named.earliest`, which bounds the age of what came
    // after them only: what was replaced before may have been so for long. Zero: none had been
    // named. Nothing: not known.
    std::optional<std::uint64_t> newestBefore;

    // Takes in what another one knows. False when that tells nothing new.
    bool narrow(const WeightNaming &other);

    bool operator==(const WeightNaming &) const = default;
};

// The weight versions that were named for one model, each with the time of its naming as far as it
// is known. A version counts as old from the naming of the first newer one, also when further ones
// follow.
class WeightHistory
{
public:
    // False when it tells nothing new.
    bool record(std::uint64_t version, const WeightNaming &naming);

    // Nothing where the version was not named, as far as known.
    std::optional<WeightNaming> find(std::uint64_t version) const;

    // Zero while none was named.
    std::uint64_t newest() const;

    // When the first version above this one was named; nothing when it is the newest.
    std::optional<EventTime> supersededAt(std::uint64_t version) const;

    const std::map<std::uint64_t, WeightNaming> &named() const { return m_named; }

private:
    std::map<std::uint64_t, WeightNaming> m_named;
};

} // namespace fordwood

#endif // FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED
