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

// What callers are served from: a view of the fleet with the index of its teams.
struct ServingState
{
    explicit ServingState(std::shared_ptr<const FleetView> fleetView)
        : view(std::move(fleetView)), teams(view->configuration())
    { }

    std::shared_ptr<const FleetView> view;
    TeamIndex teams;
};

// A caller's request, understood.
struct Interpreted
{
    CallRequest call; // without its id
    adapters::UpstreamRequest upstream;
};

// Makes a completion's request ask for a weight version, in its headers and in the salt that keeps
// the contexts of teams and weight versions apart.
void stampWeightVersion(adapters::UpstreamRequest &request, const CallRequest &call,
                        const std::string &version);

// Understands a caller's request: who asks, for what, until when, and what is sent upstream.
// Gives an answer at once where no upstream is needed, and a verdict where it is refused.
tl::expected<std::variant<Interpreted, adapters::DirectAnswer>, Verdict>
interpret(const ServingState &state, adapters::CallerRequest message, TimePoint now);

} // namespace fordwood::apps

#endif // FORDWOOD_APPS_ENTRYD_API_HPP_INCLUDED
