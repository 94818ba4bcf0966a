// SPDX-License-Identifier: MIT
#include "fordwood/route_table.hpp"

#include <algorithm>
#include <cctype>
#include <numeric>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Normalizes a Host header to the keys of m_routes: lower case, no port.
std::string hostName(std::string_view host)
{
    std::string name(host.substr(0, host.rfind(':')));
    std::transform(name.begin(), name.end(), name.begin(),
                   [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
    return name;
}

bool byLongestPrefix(const ServiceRoute *a, const ServiceRoute *b)
{
    return a->pathPrefix.size() > b->pathPrefix.size();
}

} // namespace

RouteTable::RouteTable(ServingConfig config) : m_config(std::move(config))
{
    for (const ServiceRoute &it : m_config.routes)
        m_routes[hostName(it.host)].push_back(&it);
    for (auto &[host, routes] : m_routes)
        std::stable_sort(routes.begin(), routes.end(), byLongestPrefix);
    for (const ServingTeam &team : m_config.teams) {
        for (const std::string &it : team.keys)
            m_teams[it] = &team;
    }
    for (const ServicePool &it : m_config.services)
        m_services[it.name] = &it;
}

const ServiceRoute *RouteTable::findRoute(std::string_view host, std::string_view path) const
{
    const auto routes = m_routes.find(hostName(host));
    if (routes == m_routes.end())
        return nullptr;
    const std::string_view plain = path.substr(0, path.find('?'));
    for (const ServiceRoute *it : routes->second) {
        if (plain.starts_with(it->pathPrefix))
            return it;
    }
    return nullptr;
}

const ServingTeam *RouteTable::findTeam(std::string_view key) const
{
    const auto it = m_teams.find(key);
    return it == m_teams.end() ? nullptr : it->second;
}

const ServicePool *RouteTable::findService(std::string_view name) const
{
    const auto it = m_services.find(name);
    return it == m_services.end() ? nullptr : it->second;
}

const ContextStore *RouteTable::findStore(std::string_view address) const
{
    const auto it
        = std::find_if(m_config.stores.begin(), m_config.stores.end(),
                       [&](const ContextStore &store) { return store.address == address; });
    return it == m_config.stores.end() ? nullptr : &*it;
}

const std::string &RouteTable::targetOf(const ServiceRoute &route, std::string_view requestId)
{
    const double sum
        = std::accumulate(route.targets.begin(), route.targets.end(), 0.0,
                          [](double total, const SplitTarget &it) { return total + it.weight; });
    double left = hashFraction(stableHash(requestId)) * sum;
    for (const SplitTarget &it : route.targets) {
        left -= it.weight;
        if (left < 0)
            return it.service;
    }
    return route.targets.back().service;
}

} // namespace fordwood
