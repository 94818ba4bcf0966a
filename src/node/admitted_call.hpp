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
    // Only for resumable streams:
    StreamKey stream = 0; // the same for all attempts of the caller
    TimePoint callerDeadline{}; // the caller makes no attempt after it
};

// How long a request of the route may take, whatever its caller allows.
std::chrono::milliseconds longestTimeout(const ServiceRoute &route);

// Fills `call` until a check fails. Returns the reason to refuse the request, or nothing if it is
// admitted.
std::optional<Reason> admitCall(const NodeState &state, const http::request_header<> &head,
                                const platform::CallerHead &caller, TimePoint arrived,
                                AdmittedCall &call);

// Whether the caller already has a part of the stream that it asks for.
bool continuesStream(const AdmittedCall &call, const platform::CallerHead &caller);

// Directs a request that continues a stream to the service where the stream began. Returns false if
// the route does not lead there.
bool directTo(const std::string &service, AdmittedCall &call);

// The fingerprint of the request's content, which is the same each time the request is repeated.
RequestFingerprint fingerprintOf(const http::request_header<> &head, const AdmittedCall &call,
                                 std::string_view body);

// What the request is known by, with the shared parts of its prompt.
RequestIdentity identityOf(const RequestFingerprint &whole, const AdmittedCall &call,
                           const platform::CallerHead &caller);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ADMITTED_CALL_HPP_INCLUDED
