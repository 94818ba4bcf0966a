// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_STREAM_HOLDERS_HPP_INCLUDED
#define FORDWOOD_STREAM_HOLDERS_HPP_INCLUDED

#include <cstdint>
#include <string>
#include <vector>

#include "fordwood/scheduler_ranking.hpp"
#include "fordwood/stream_origins.hpp"

namespace fordwood {

// Selects the nodes that remember where a stream began, besides the node that sends it. All nodes
// that know the same nodes select the same ones. In a small fleet these are all nodes, so that one
// survivor is enough. In a large one they are a few nodes of different failure domains: the work of
// a node stays the same in a fleet of any size.
class StreamHolders
{
public:
    void setNodes(std::vector<SchedulerNode> nodes);

    std::vector<const SchedulerNode *> holdersOf(StreamKey key) const;

private:
    std::vector<SchedulerNode> m_nodes;
    std::vector<std::uint64_t> m_hashes; // of their names
};

} // namespace fordwood

#endif // FORDWOOD_STREAM_HOLDERS_HPP_INCLUDED
