// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED
#define FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED

#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/stall_detector.hpp"

namespace fordwood {

// Until when a node's copy of the platform's store is known to have been whole: whatever it learns
// next happened after that. Without it a node that starts, wakes, or was cut off would take old
// news for new.
class ReplicaFreshness
{
public:
    explicit ReplicaFreshness(const Clock &clock) : m_clock(clock), m_stallDetector(clock) { }

    // The copy holds what the store answered to a call that was sent at that time.
    void storeAnswered(TimePoint asked);

    // The store had nothing new to tell until then. Not believed just after this process stood
    // still, since the answer may have waited in its sockets.
    void storeHadNoChanges(TimePoint until);

    // A peer that learnt from the store itself, so long ago, that its copy was whole has nothing
    // that this node lacks. Not believed just after a standstill either.
    void peerHadNoChanges(Duration age);

    // The store was restored from a snapshot: what showed that the copy was whole says nothing of
    // what the store holds now.
    void storeRestored();

    // Regular work, several times a second.
    void tick() { checkStall(); }

    // Nothing: the copy was never known to be whole.
    std::optional<TimePoint> completeAsOf() const { return m_completeAsOf; }

    // How long ago the store itself showed that the copy was whole; nothing: never. Peers hear this
    // and not completeAsOf(), in which their own words come back to them.
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

#endif // FORDWOOD_COPY_FRESHNESS_HPP_INCLUDED
