// SPDX-License-Identifier: MIT
#include "fordwood/stream_holders.hpp"

#include <map>
#include <set>
#include <string_view>
#include <utility>

#include "fordwood/relay_role.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Of streams whose node is lost with four in five others, about three in five stay known.
constexpr std::size_t kHolders = 4;

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
    // The first node of each failure domain comes before all others.
    std::map<std::string_view, std::size_t> firsts;
    for (std::size_t n = 0; n < m_nodes.size(); ++n) {
        const auto [it, isNew] = firsts.try_emplace(m_nodes[n].failureDomain, n);
        if (!isNew
            && rendezvousWeight(key, m_hashes[n]) > rendezvousWeight(key, m_hashes[it->second]))
            it->second = n;
    }
    std::vector<std::uint64_t> firstHashes;
    std::vector<std::size_t> firstNodes;
    for (const auto &[domain, n] : firsts) {
        firstHashes.push_back(m_hashes[n]);
        firstNodes.push_back(n);
    }
    std::set<std::size_t> chosen;
    for (const std::size_t it : rendezvousOrder(key, firstHashes, kHolders))
        chosen.insert(firstNodes[it]);
    if (chosen.size() < kHolders) {
        for (const std::size_t it : rendezvousOrder(key, m_hashes, 2 * kHolders)) {
            if (chosen.size() < kHolders)
                chosen.insert(it);
        }
    }
    for (const std::size_t it : chosen)
        holders.push_back(&m_nodes[it]);
    return holders;
}

} // namespace fordwood
