// SPDX-License-Identifier: MIT
#ifndef FORDWOOD_NODE_ADMITTED_CALL_HPP_INCLUDED
#define FORDWOOD_NODE_ADMITTED_CALL_HPP_INCLUDED

#include <memory>
#include <optional>

#include <boost/beast/http/message.hpp>

#include "fordwood/call_plan.hpp"
#include "fordwood/reason.hpp"
#include "fordwood/request_fingerprint.hpp"
#include "fordwood/route_table.hpp"
#include "node/node_state.hpp"
#include "platform/caller_messages.hpp"

namespace fordwood::node {

namespace http = boost::beast::http;

// The parts of the current configuration that apply to a request.
struct AdmittedCall
{
    std::shared_ptr<const RouteTable>
        table; // owns route, team and pool; null: no configuration yet
    const ServiceRoute *route = nullptr;
    const ServingTeam *team = nullptr; // null on a public route
    const ServicePool *pool = nullptr;
    CallPolicy terms;
};

// Fills `call` until a check fails. Returns the reason to refuse the request, or nothing if it is
// admitted.
std::optional<Reason> admitCall(const NodeState &state, const http::request_header<> &head,
                                const platform::CallerHead &caller, TimePoint arrived,
                                AdmittedCall &call);

// The fingerprint of the request's content, which is the same each time the request is repeated.
RequestFingerprint fingerprintOf(const http::request_header<> &head, const AdmittedCall &call,
                                 std::string_view body);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ADMITTED_CALL_HPP_INCLUDED
