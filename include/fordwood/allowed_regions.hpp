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

// The regions that a request may go to, with its prompt and its context: where the route and the
// team both name regions, both bind. A failure domain whose region is not known is in none of them.
class AllowedRegions
{
public:
    // `team`: null for a request without one.
    AllowedRegions(const ServiceRoute &route, const ServingTeam *team);

    // Whether any region will do.
    bool isUnrestricted() const { return m_routeRegions.empty() && m_teamRegions.empty(); }

    bool allows(const std::string &failureDomain, const DomainRegions &regions) const;

private:
    const std::vector<std::string> &m_routeRegions;
    const std::vector<std::string> &m_teamRegions;
};

} // namespace fordwood

#endif // FORDWOOD_HOMES_HPP_INCLUDED
