// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_NODE_ENDPOINTS_HPP_INCLUDED
#define FORDWOOD_NODE_NODE_ENDPOINTS_HPP_INCLUDED

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "fordwood/scheduler_ranking.hpp"
#include "node/net.hpp"

namespace fordwood::node {

// The parsed addresses of the nodes that take part in placement messages.
class NodeEndpoints
{
public:
    // Replaces the nodes. Returns those whose addresses are valid.
    std::vector<SchedulerNode> assign(std::vector<SchedulerNode> nodes)
    {
        m_byAddress.clear();
        std::erase_if(nodes, [this](const SchedulerNode &it) {
            const auto endpoint = parseEndpoint<udp>(it.address);
            if (endpoint)
                m_byAddress[it.address] = *endpoint;
            return !endpoint;
        });
        return nodes;
    }

    // Null for null and for a node that is not among them.
    const udp::endpoint *find(const SchedulerNode *node) const
    {
        if (node == nullptr)
            return nullptr;
        const auto it = m_byAddress.find(node->address);
        return it == m_byAddress.end() ? nullptr : &it->second;
    }

private:
    std::map<std::string, udp::endpoint> m_byAddress;
};

} // namespace fordwood::node

#endif // FORDWOOD_NODE_NODE_ENDPOINTS_HPP_INCLUDED
