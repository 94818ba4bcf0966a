// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_APPS_ENTRYD_API_HPP_INCLUDED
#define FORDWOOD_APPS_ENTRYD_API_HPP_INCLUDED

#include <memory>
#include <string>
#include <variant>

#include <tl/expected.hpp>

#include "adapters/http/caller_server.hpp"
#include "apps/entryd/team_index.hpp"
#include "fordwood/call.hpp"
#include "fordwood/fleet_view.hpp"

namespace fordwood::apps {

// What requests are served from: a fleet view and the index of its teams.
struct ServingState
{
    explicit ServingState(std::shared_ptr<const FleetView> fleetView)
        : view(std::move(fleetView)), teams(view->configuration())
    { }

    std::shared_ptr<const FleetView> view;
    TeamIndex teams;
};

// A caller's parsed request.
struct ParsedRequest
{
    CallRequest call; // without its id
    adapters::UpstreamRequest upstream;
};

// Sets the weight version of a completion request, in its header and in the cache salt that
// separates the contexts of different teams and weight versions.
void setWeightVersion(adapters::UpstreamRequest &request, const CallRequest &call,
                      const std::string &version);

// Parses a caller's request into the call (team, target, deadline) and the request to send
// upstream. Returns a direct answer where no upstream is needed, and a verdict if the request is
// rejected.
tl::expected<std::variant<ParsedRequest, adapters::DirectAnswer>, Verdict>
parseRequest(const ServingState &state, adapters::CallerRequest message, TimePoint now);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_ENTRYD_API_HPP_INCLUDED
