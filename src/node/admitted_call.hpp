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

// What the configuration in force says of a request.
struct AdmittedCall
{
    std::shared_ptr<const RouteTable> table; // the rest stands in it; null: no configuration yet
    const ServiceRoute *route = nullptr;
    const ServingTeam *team = nullptr; // null on a public route
    const ServicePool *pool = nullptr;
    CallTerms terms;
};

// Fills `call` as far as the request gets, and tells why it must be refused; nothing: it need not.
std::optional<Reason> admitCall(const NodeState &state, const http::request_header<> &head,
                                const platform::CallerHead &caller, TimePoint arrived,
                                AdmittedCall &call);

// The name of the request by its content.
RequestFingerprint fingerprintOf(const http::request_header<> &head, const AdmittedCall &call,
                                 std::string_view body);

} // namespace fordwood::node

#endif // FORDWOOD_NODE_ADMITTED_CALL_HPP_INCLUDED
