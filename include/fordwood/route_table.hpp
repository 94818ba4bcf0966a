// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ROUTE_TABLE_HPP_INCLUDED
#define FORDWOOD_ROUTE_TABLE_HPP_INCLUDED

#include <map>
#include <string_view>
#include <unordered_map>

#include "fordwood/serving_config.hpp"

namespace fordwood {

// Looks up the routes, teams, services and stores of a configuration. Immutable; each request keeps
// the table that was current when it arrived.
class RouteTable
{
public:
    explicit RouteTable(ServingConfig config);

    // Finds the host's route with the longest prefix of the path; null if none matches. `host` may
    // include a port and `path` a query.
    const ServiceRoute *findRoute(std::string_view host, std::string_view path) const;

    // Finds the team with this API key; null if there is none.
    const ServingTeam *findTeam(std::string_view key) const;

    const ServicePool *findService(std::string_view name) const;

    // Finds the context store at the address; null if there is none.
    const ContextStore *findStore(std::string_view address) const;

    // Selects the service for a request by the traffic split of the route. All nodes select the
    // same service for the same request id.
    static const std::string &targetOf(const ServiceRoute &route, std::string_view requestId);

    const ServingConfig &config() const { return m_config; }
    bool hasTeams() const { return !m_config.teams.empty(); }

private:
    ServingConfig m_config;
    std::map<std::string, std::vector<const ServiceRoute *>, std::less<>> m_routes; // by host
    std::map<std::string, const ServingTeam *, std::less<>> m_teams; // by key
    std::map<std::string, const ServicePool *, std::less<>> m_services;
};

} // namespace fordwood

#endif // FORDWOOD_ROUTE_TABLE_HPP_INCLUDED
