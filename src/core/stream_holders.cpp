// SPDX-License-Identifier: MIT
#include "fordwood/stream_holders.hpp"

#include <set>
#include <utility>

#include "fordwood/relay_role.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Of streams whose node is lost with four in five others, about three in five stay known.
constexpr std::size_t kHolders = 4;

// Candidates that are considered for the sake of different failure domains.
constexpr std::size_t kCandidates = 4 * kHolders;

} // namespace

void StreamHolders::setNodes(std::vector<SchedulerNode> nodes)
{
    m_nodes = std::move(nodes);
    m_hashes.clear();
    for (const SchedulerNode &it : m_nodes)
        m_hashes.push_back(stableHash(it.name));
}

std::vector<const SchedulerNode *> StreamHolders::holdersOf(StreamKey key) const
{
    std::vector<const SchedulerNode *> holders;
    if (m_nodes.size() <= kSmallFleet) {
        for (const SchedulerNode &it : m_nodes)
            holders.push_back(&it);
        return holders;
    }
    const std::vector<std::size_t> order = rendezvousOrder(key, m_hashes, kCandidates);
    std::set<std::string> domains;
    std::vector<const SchedulerNode *> others; // of failure domains that have a holder already
    for (const std::size_t it : order) {
        const SchedulerNode &node = m_nodes[it];
        if (holders.size() < kHolders && domains.insert(node.failureDomain).second)
            holders.push_back(&node);
        else
            others.push_back(&node);
    }
    for (std::size_t n = 0; n < others.size() && holders.size() < kHolders; ++n)
        holders.push_back(others[n]);
    return holders;
}

} // namespace fordwood
