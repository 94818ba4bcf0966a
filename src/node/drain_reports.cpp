// SPDX-License-Identifier: MIT
#include "node/drain_reports.hpp"

namespace fordwood::node {

std::vector<std::string> DrainReports::note(const std::vector<std::string> &instanceIds)
{
    std::vector<std::string> added;
    for (const std::string &it : instanceIds) {
        if (m_upstreams.reportDraining(it))
            added.push_back(it);
    }
    return added;
}

bool DrainReports::takeOwn(const std::vector<std::string> &instanceIds)
{
    return !note(instanceIds).empty();
}

bool DrainReports::takeFrom(const std::string &peer, const std::vector<std::string> &instanceIds)
{
    const std::vector<std::string> added = note(instanceIds);
    for (const std::string &it : added)
        m_tell(DrainingReported{peer, it});
    return !added.empty();
}

} // namespace fordwood::node
