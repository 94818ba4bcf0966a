// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED
#define FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/event_time.hpp"

namespace fordwood {

// What is known about when a weight version was named.
struct WeightNaming
{
    EventTime named;
    // The newest version that had already been named at `named.earliest`, so `named.earliest`
    // bounds the time of replacement only for this version and newer ones; an older version may
    // have been replaced long before. Zero: none had been named. Empty: unknown.
    std::optional<std::uint64_t> newestBefore;

    // Merges what another node knows. Returns false if that changes nothing.
    bool narrow(const WeightNaming &other);

    bool operator==(const WeightNaming &) const = default;
};

// The weight versions that were named for one model, with the known bounds on the time of each
// naming. A version is old from the naming of the next newer one, no matter how many follow.
class WeightHistory
{
public:
    // Returns false if that changes nothing.
    bool record(std::uint64_t version, const WeightNaming &naming);

    // Empty if the version is not known to be named.
    std::optional<WeightNaming> find(std::uint64_t version) const;

    // Zero if none was named.
    std::uint64_t newest() const;

    // When the next newer version was named; empty if this is the newest.
    std::optional<EventTime> supersededAt(std::uint64_t version) const;

    const std::map<std::uint64_t, WeightNaming> &named() const { return m_named; }

private:
    std::map<std::uint64_t, WeightNaming> m_named;
};

} // namespace fordwood

#endif // FORDWOOD_WEIGHT_HISTORY_HPP_INCLUDED
