// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_WEIGHT_NAMING_TRACKER_HPP_INCLUDED
#define FORDWOOD_NODE_WEIGHT_NAMING_TRACKER_HPP_INCLUDED

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>

#include "fordwood/clock.hpp"
#include "fordwood/weight_history.hpp"
#include "node/peer_messages.hpp"

namespace fordwood::node {

// Tracks which weight versions operators have named, and bounds on when they did so, from the
// platform's store and from peers.
class WeightNamingTracker
{
public:
    // Called when the bounds for a version have become tighter.
    using OnChange = std::function<void(const std::string &model, std::uint64_t version,
                                        const WeightHistory &history)>;

    WeightNamingTracker(const Clock &clock, std::string node, OnChange onChange)
        : m_clock(clock), m_node(std::move(node)), m_onChange(std::move(onChange))
    { }

    // The store contains the naming. `notBefore`: a time at which it did not contain it yet.
    void recordFromStore(const std::string &model, std::uint64_t version,
                         std::optional<TimePoint> notBefore);

    // Records ages received from a peer. They may include versions that this node has not read: the
    // store may be rejecting this node only.
    void recordFromPeer(const std::string &peer, const NamingAges &named);

    // A mark shows that a known version was named after `moment`, when the newest version was
    // `newestBefore`.
    void recordFromMark(const std::string &model, std::uint64_t version, TimePoint moment,
                        std::uint64_t newestBefore);

    NamingAges agesForPeers() const;

    // By model.
    const std::map<std::string, WeightHistory> &histories() const { return m_histories; }

private:
    void record(const std::string &model, std::uint64_t version, const WeightNaming &naming,
                const std::string &from);

    const Clock &m_clock;
    const std::string m_node;
    const OnChange m_onChange;
    std::map<std::string, WeightHistory> m_histories;
    std::map<std::string, std::uint64_t> m_newestRead; // by model; peers may have read newer ones
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_WEIGHT_NAMING_TRACKER_HPP_INCLUDED
