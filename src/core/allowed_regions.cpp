// SPDX-License-Identifier: MIT
#include "fordwood/allowed_regions.hpp"

#include <algorithm>

namespace fordwood {

namespace {

const std::vector<std::string> kNoRestriction;

bool includes(const std::string &region, const std::vector<std::string> &allowed)
{
    return allowed.empty() || std::find(allowed.begin(), allowed.end(), region) != allowed.end();
}

} // namespace

AllowedRegions::AllowedRegions(const ServiceRoute &route, const ServingTeam *team)
    : m_routeRegions(route.allowedRegions),
      m_teamRegions(team != nullptr ? team->allowedRegions : kNoRestriction)
{ }

bool AllowedRegions::allows(const std::string &failureDomain, const DomainRegions &regions) const
{
    if (isUnrestricted())
        return true;
    const auto region = regions.find(failureDomain);
    return region != regions.end() && includes(region->second, m_routeRegions)
           && includes(region->second, m_teamRegions);
}

} // namespace fordwood
