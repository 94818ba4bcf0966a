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

// What a node knows of the weights that operators have named and of when they did so, from the
// platform's store and from its peers.
class WeightNamingTracker
{
public:
    // Told of each version about which more is known now.
    using OnChange = std::function<void(const std::string &model, std::uint64_t version,
                                        const WeightHistory &history)>;

    WeightNamingTracker(const Clock &clock, std::string node, OnChange onChange)
        : m_clock(clock), m_node(std::move(node)), m_onChange(std::move(onChange))
    { }

    // The store holds the naming; `notBefore`: when it surely did not hold it yet.
    void recordFromStore(const std::string &model, std::uint64_t version,
                         std::optional<TimePoint> notBefore);

    // A peer's word, also of versions that this node has not read itself: it may be the one that
    // the store turns away.
    void recordFromPeer(const std::string &peer, const NamingAges &named);

    // A mark shows that a version that is known was named after that moment, at which the newest
    // weights were `newestBefore`.
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
    std::map<std::string, std::uint64_t> m_newestRead; // by model; peers may know newer ones
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_WEIGHT_NEWS_HPP_INCLUDED
