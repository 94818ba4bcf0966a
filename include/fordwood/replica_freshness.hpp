// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED
#define FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/stall_detector.hpp"

namespace fordwood {

// Tracks up to which time a node's replica of the platform's store is known to be complete:
// whatever the node learns next happened after that time. Without it a node that has just started,
// resumed or reconnected would take old changes for recent ones.
class ReplicaFreshness
{
public:
    explicit ReplicaFreshness(const Clock &clock) : m_clock(clock), m_stallDetector(clock) { }

    // The replica contains what the store answered to a call that was sent at that time.
    void storeAnswered(TimePoint sentAt);

    // The store had no changes up to that time. Ignored just after this process was stalled,
    // because the answer may have waited in its sockets.
    void storeHadNoChanges(TimePoint until);

    // A peer's replica, which the store itself showed to be complete `age` ago, has no changes that
    // this node does not have. Also ignored just after a stall.
    void peerHadNoChanges(Duration age);

    // The store was restored from a snapshot, so earlier evidence of completeness no longer
    // applies.
    void storeRestored();

    // To be called several times a second.
    void tick() { checkStall(); }

    // Empty: the replica was never known to be complete.
    std::optional<TimePoint> completeAsOf() const { return m_completeAsOf; }

    // How long ago the store itself showed that the replica was complete; empty: never. Peers are
    // sent this value and not completeAsOf(), which includes what peers reported and would return
    // it to them.
    std::optional<Duration> ageFromStore() const;

private:
    void checkStall();
    bool hasJustResumed();

    const Clock &m_clock;
    std::optional<TimePoint> m_completeAsOf;
    std::optional<TimePoint> m_confirmedByStore;
    StallDetector m_stallDetector;
    std::optional<TimePoint> m_resumedAt;
};

} // namespace fordwood

#endif // FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED
