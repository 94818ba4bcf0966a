// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_ROUTE_TABLE_HPP_INCLUDED
#define FORDWOOD_ROUTE_TABLE_HPP_INCLUDED

#include <map>
#include <string_view>
#include <unordered_map>

#include "fordwood/serving_config.hpp"

namespace fordwood {

// Answers the questions that each request asks of a configuration. Immutable; requests keep the
// table under which they arrived.
class RouteTable
{
public:
    explicit RouteTable(ServingConfig config);

    // The route of the host whose prefix begins the path and is longest; null when there is none.
    // `host` may carry a port, `path` a query.
    const ServiceRoute *findRoute(std::string_view host, std::string_view path) const;

    // The team that holds the key; null when nobody does.
    const ServingTeam *findTeam(std::string_view key) const;

    const ServicePool *findService(std::string_view name) const;

    // The store of kept context at the address; null when there is none.
    const ContextStore *findStore(std::string_view address) const;

    // The service that takes a request, by the weights of the route. The same request id gives the
    // same service on every node.
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
