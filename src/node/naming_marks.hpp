// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_NAMING_MARKS_HPP_INCLUDED
#define FORDWOOD_NODE_NAMING_MARKS_HPP_INCLUDED

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>

#include "fordwood/clock.hpp"
#include "fordwood/store_replica.hpp"
#include "node/store_client.hpp"
#include "node/weight_naming_tracker.hpp"

namespace fordwood::node {

// Persists a bound on the age of namings beyond the lifetime of all nodes: a key in the platform's
// store whose lease expires a fixed time after the naming. As long as the key exists, the naming is
// no older than that, except for outages of the store, during which leases do not run. Clocks of
// different nodes are never compared. Without marks, nodes that all restart at the same time could
// not use engines with replaced weights, which right after a naming are all engines.
class NamingMarks
{
public:
    struct Limits
    {
        Duration ttl{}; // from the naming to the expiry of its mark
        Duration minLease{}; // the shortest lease that the store grants
    };

    NamingMarks(const Clock &clock, StoreClient &store, const StoreReplica &replica,
                WeightNamingTracker &tracker, Limits limits)
        : m_clock(clock), m_store(store), m_replica(replica), m_tracker(tracker), m_limits(limits)
    { }

    // Reads the marks in the copy of the store, which was complete as of the given time.
    void read(std::optional<TimePoint> completeAsOf);

    // Writes missing marks. `delay`: time after a naming during which this node leaves writing to
    // other nodes.
    void write(Duration delay);

    // The key of a mark. Its value is the newest previously named version, as decimal text.
    static std::string keyOf(const std::string &model, std::uint64_t version);

private:
    using Naming = std::pair<std::string, std::uint64_t>; // model, version
    struct Write
    {
        bool isPending = false; // a call to the store is in flight
        TimePoint nextAttempt{};
    };

    Duration leaseFor(const WeightNaming &naming) const;
    void grant(const Naming &naming, std::uint64_t newestBefore, Duration lease);
    void put(const Naming &naming, std::uint64_t newestBefore, std::int64_t lease);
    void onWriteFinished(const Naming &naming);

    const Clock &m_clock;
    StoreClient &m_store;
    const StoreReplica &m_replica;
    WeightNamingTracker &m_tracker;
    const Limits m_limits;
    std::map<Naming, Write> m_writes;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NAMING_MARKS_HPP_INCLUDED
