// SPDX-License-Identifier: MIT
#include "node/drain_reports.hpp"

namespace fordwood::node {

std::vector<std::string> DrainReports::record(const std::vector<std::string> &instanceIds)
{
    std::vector<std::string> added;
    for (const std::string &it : instanceIds) {
        if (m_upstreams.reportDraining(it))
            added.push_back(it);
    }
    return added;
}

bool DrainReports::addOwn(const std::vector<std::string> &instanceIds)
{
    return !record(instanceIds).empty();
}

bool DrainReports::addFromPeer(const std::string &peer, const std::vector<std::string> &instanceIds)
{
    const std::vector<std::string> added = record(instanceIds);
    for (const std::string &it : added)
        m_publish(PeerDrainReport{peer, it});
    return !added.empty();
}

} // namespace fordwood::node
