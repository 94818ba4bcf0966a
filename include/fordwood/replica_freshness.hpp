// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED
#define FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED

#include <map>
#include <optional>

#include "fordwood/clock.hpp"
#include "fordwood/stall_detector.hpp"
#include "fordwood/store_version.hpp"

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

    // A peer's replica, which has reached `version`, was complete `age` ago; `evidence` says how
    // the peer knows. Counts once this node's replica has reached the version as well. Also ignored
    // just after a stall.
    enum class Evidence {
        Store, // the store itself showed it to the peer
        Peer, // a peer of the peer did
    };
    void peerWasComplete(const StoreVersion &version, Duration age, Evidence evidence);

    // This node's replica has reached the version.
    void replicaReached(const StoreVersion &version);

    // The store was restored from a snapshot, so earlier evidence of completeness no longer
    // applies.
    void storeRestored();

    // To be called several times a second.
    void tick() { checkStall(); }

    // Empty: the replica was never known to be complete.
    std::optional<TimePoint> completeAsOf() const { return m_completeAsOf; }

    // How long ago that was; empty: never.
    std::optional<Duration> age() const { return ageOf(m_completeAsOf); }

    // How long ago the store itself showed that the replica was complete; empty: never. Peers are
    // sent this value and not completeAsOf(), which includes what peers reported and would return
    // it to them.
    std::optional<Duration> ageFromStore() const;

    // How long ago the store showed that to this node or to a peer; empty: never. For nodes that
    // hear no node that reads the store. They must not pass it on.
    std::optional<Duration> ageFromReader() const;

private:
    // What a peer reported of a version that this node's replica lacks.
    struct Report
    {
        TimePoint asOf{};
        std::optional<TimePoint> confirmedByReader;
    };

    void checkStall();
    bool hasJustResumed();
    void apply(const Report &report);
    std::optional<Duration> ageOf(const std::optional<TimePoint> &moment) const;

    const Clock &m_clock;
    StoreVersion m_reached; // by the replica
    std::optional<TimePoint> m_completeAsOf;
    std::optional<TimePoint> m_confirmedByStore;
    std::optional<TimePoint> m_confirmedByReader; // by this node or a peer that reads the store
    std::map<StoreVersion, Report> m_reports; // of versions that the replica lacks
    StallDetector m_stallDetector;
    std::optional<TimePoint> m_resumedAt;
};

} // namespace fordwood

#endif // FORDWOOD_REPLICA_FRESHNESS_HPP_INCLUDED
