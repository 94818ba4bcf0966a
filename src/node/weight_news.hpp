// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_WEIGHT_NEWS_HPP_INCLUDED
#define FORDWOOD_NODE_WEIGHT_NEWS_HPP_INCLUDED

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
class WeightNews
{
public:
    // Told of each version about which more is known now.
    using Learnt = std::function<void(const std::string &model, std::uint64_t version,
                                      const WeightHistory &history)>;

    WeightNews(const Clock &clock, std::string node, Learnt learnt)
        : m_clock(clock), m_node(std::move(node)), m_learnt(std::move(learnt))
    { }

    // The store holds the naming; `notBefore`: when it surely did not hold it yet.
    void read(const std::string &model, std::uint64_t version, std::optional<TimePoint> notBefore);

    // A peer's word, also of versions that this node has not read itself: it may be the one that
    // the store turns away.
    void heard(const std::string &peer, const NamedWeights &named);

    // A mark shows that a version that is known was named after that moment, at which the newest
    // weights were `after`.
    void marked(const std::string &model, std::uint64_t version, TimePoint moment,
                std::uint64_t after);

    NamedWeights forPeers() const;

    // By model.
    const std::map<std::string, WeightHistory> &all() const { return m_histories; }

private:
    void note(const std::string &model, std::uint64_t version, const WeightNaming &naming,
              const std::string &from);

    const Clock &m_clock;
    const std::string m_node;
    const Learnt m_learnt;
    std::map<std::string, WeightHistory> m_histories;
    std::map<std::string, std::uint64_t> m_newestRead; // by model; peers may know newer ones
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_WEIGHT_NEWS_HPP_INCLUDED
