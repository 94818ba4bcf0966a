// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ALLOWED_REGIONS_HPP_INCLUDED
#define FORDWOOD_ALLOWED_REGIONS_HPP_INCLUDED

#include <map>
#include <string>
#include <vector>

#include "fordwood/serving_config.hpp"

namespace fordwood {

// The region of each failure domain, as far as known.
using DomainRegions = std::map<std::string, std::string>;

// The regions that a request may be sent to, with its prompt and context. If both the route and the
// team list regions, a region must be in both lists. A failure domain of unknown region is allowed
// only if neither lists any.
class AllowedRegions
{
public:
    // `team` is null for a request without a team.
    AllowedRegions(const ServiceRoute &route, const ServingTeam *team);

    // Whether all regions are allowed.
    bool isUnrestricted() const { return m_routeRegions.empty() && m_teamRegions.empty(); }

    bool allows(const std::string &failureDomain, const DomainRegions &regions) const;

private:
    const std::vector<std::string> &m_routeRegions;
    const std::vector<std::string> &m_teamRegions;
};

} // namespace fordwood

#endif // FORDWOOD_ALLOWED_REGIONS_HPP_INCLUDED
