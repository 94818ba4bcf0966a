// SPDX-License-Identifier: MIT
#include "fordwood/homes.hpp"

#include <algorithm>

namespace fordwood {

namespace {

const std::vector<std::string> kAnywhere;

bool isAmong(const std::string &region, const std::vector<std::string> &homes)
{
    return homes.empty() || std::find(homes.begin(), homes.end(), region) != homes.end();
}

} // namespace

Homes::Homes(const ServiceRoute &route, const ServingTeam *team)
    : m_ofRoute(route.allowedRegions), m_ofTeam(team != nullptr ? team->allowedRegions : kAnywhere)
{ }

bool Homes::allows(const std::string &failureDomain, const DomainRegions &regions) const
{
    if (isAnywhere())
        return true;
    const auto region = regions.find(failureDomain);
    return region != regions.end() && isAmong(region->second, m_ofRoute)
           && isAmong(region->second, m_ofTeam);
}

} // namespace fordwood
