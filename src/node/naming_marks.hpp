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
#include "node/weight_news.hpp"

namespace fordwood::node {

// Keeps the age of namings where it outlives all nodes: a key in the platform's store under a lease
// that runs out a fixed time after the naming. While the key is there, the naming is no older than
// that, whoever reads it, but for time in which the store was away and its leases waited; clocks of
// two nodes are never compared. Without it nodes that all start anew could not use engines that
// have the replaced weights, which just after a naming are all.
class NamingMarks
{
public:
    struct Limits
    {
        Duration life{}; // from the naming to the end of its mark
        Duration leastLease{}; // the shortest that the store grants
    };

    NamingMarks(const Clock &clock, StoreClient &store, const StoreReplica &replica,
                WeightNews &news, Limits limits)
        : m_clock(clock), m_store(store), m_replica(replica), m_news(news), m_limits(limits)
    { }

    // Learns from the marks in the copy of the store, which was whole at that time.
    void read(std::optional<TimePoint> completeAsOf);

    // Writes those that are missing. `patience`: how long after a naming this node leaves that to
    // others.
    void write(Duration patience);

    // The key of a mark. Its value is the newest version that had been named before, as text.
    static std::string keyOf(const std::string &model, std::uint64_t version);

private:
    using Naming = std::pair<std::string, std::uint64_t>; // model, version
    struct Write
    {
        bool isBusy = false; // a call is on its way
        TimePoint next{};
    };

    Duration leaseFor(const WeightNaming &naming) const;
    void grant(const Naming &naming, std::uint64_t after, Duration lease);
    void put(const Naming &naming, std::uint64_t after, std::int64_t lease);
    void finished(const Naming &naming);

    const Clock &m_clock;
    StoreClient &m_store;
    const StoreReplica &m_replica;
    WeightNews &m_news;
    const Limits m_limits;
    std::map<Naming, Write> m_writes;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NAMING_MARKS_HPP_INCLUDED
