// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_REPLICA_READ_PLAN_HPP_INCLUDED
#define FORDWOOD_NODE_REPLICA_READ_PLAN_HPP_INCLUDED

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/clock.hpp"

namespace fordwood::node {

// Decides from which peer a node reads the changes that its replica lacks, and whether it reads
// these or a snapshot of everything.
//
// Load pattern: hundreds of nodes read from two peers, and one of these is slow or gone. A node
// must get a change from another peer then, within the time that a change may take. It must not ask
// for a snapshot because a read failed: a snapshot is a thousand times larger than the change, and
// all other readers are in the same state.
class ReplicaReadPlan
{
public:
    enum class Kind {
        Changes, // since the replica's version
        Snapshot,
    };

    struct Read
    {
        std::string address;
        Kind kind = Kind::Changes;

        bool operator==(const Read &) const = default;
    };

    enum class Outcome {
        Done,
        Silent, // nothing arrived
        Cut, // the answer began, but not all of it arrived in time
        Rejected,
        NoSnapshots, // the peer's version has none
    };

    explicit ReplicaReadPlan(const Clock &clock) : m_clock(clock) { }

    // The next read, if there is one to make now. `peers`: addresses that may be read from, best
    // first. `isEmpty`: the replica has nothing yet.
    std::optional<Read> next(const std::vector<std::string> &peers, bool isEmpty);

    // A read has ended. `pause`: how long the peer wants no further read of this kind.
    void ended(const Read &read, Outcome outcome, std::optional<Duration> pause = std::nullopt);

    // Reads in a row that failed.
    std::size_t failures() const { return m_failures; }

private:
    struct Peer
    {
        TimePoint avoidUntil{};
        TimePoint deferredUntil{}; // applies to snapshots
        bool hasNoSnapshots = false;
    };

    bool needsSnapshot(const Peer &peer, bool isEmpty) const;

    const Clock &m_clock;
    std::map<std::string, Peer> m_peers; // by address; those with a failure
    std::size_t m_failures = 0;
    std::size_t m_cutReads = 0; // of changes, since the last read that was done
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_REPLICA_READ_PLAN_HPP_INCLUDED
