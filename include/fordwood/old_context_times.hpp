// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_OLD_CONTEXT_TIMES_HPP_INCLUDED
#define FORDWOOD_OLD_CONTEXT_TIMES_HPP_INCLUDED

#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/event_time.hpp"
#include "fordwood/stall_detector.hpp"

namespace fordwood {

// The times at which context of old weights may be fetched from a context store, and freed there.
// The nodes that fetch do not ask the node that frees, and may not hear of the new weights: each
// node has a lease on a part that ends by itself, at a time that depends only on what the node knew
// last. So no part is freed while it may still be read, however long nodes are cut off or
// suspended.
struct OldContextTimes
{
    // How long context of old weights is still fetched after newer weights were named. The time
    // differs between parts, by a hash of the part's id, because engines change to the new weights
    // one after the other over about this period. So all requests for one context change over
    // together, requests for other contexts are still served from the stores, and the stores free
    // their space gradually.
    static constexpr Duration kMinUseTime = std::chrono::milliseconds(3'500);
    static constexpr Duration kMaxUseTime = std::chrono::seconds(10);
    static Duration useTimeOf(const std::string &partId);
    // By how much a node may take a naming, or its own knowledge, for younger than it is. Peers
    // tell ages as of the sending of their messages, and a message may wait unnoticed in each
    // process that reads it on its way: two that forward it, and the node.
    static constexpr Duration kMaxAgeError = 3 * StallDetector::kMinStall;
    // How long after its request was sent a fetch may still run; engines reject later ones.
    static constexpr Duration kMaxFetchTime = std::chrono::milliseconds(1'500);
    // For messages in transit.
    static constexpr Duration kMargin = std::chrono::milliseconds(500);

    // Fetches of the part may start before this time; nothing: none may. `superseded`: when newer
    // weights were named; nothing: this node knows of none. `completeAsOf`: the time up to which
    // this node knows all weights that were named, see ReplicaFreshness. Weights that it does not
    // know may have been named right after.
    static std::optional<TimePoint> fetchUntil(const std::string &partId,
                                               const std::optional<EventTime> &superseded,
                                               std::optional<TimePoint> completeAsOf);

    // No fetch of the part runs at any node from this time on, so it may be freed.
    static TimePoint freeFrom(const std::string &partId, const EventTime &superseded)
    {
        return superseded.latest + unusedAfter(partId);
    }

    // How long after the naming of newer weights that is.
    static Duration unusedAfter(const std::string &partId)
    {
        return useTimeOf(partId) + kMaxAgeError + kMaxFetchTime + kMargin;
    }
};

} // namespace fordwood

#endif // FORDWOOD_OLD_CONTEXT_TIMES_HPP_INCLUDED
