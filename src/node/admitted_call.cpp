// SPDX-License-Identifier: MIT
#include "node/admitted_call.hpp"

#include <algorithm>

namespace fordwood::node {

namespace {

// The timeout of requests that state none.
constexpr std::chrono::milliseconds kDefaultTimeout{30'000};

std::string_view toStringView(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

CallPolicy policyOf(const ServiceRoute &route, const platform::CallerHead &caller,
                    TimePoint arrived)
{
    std::chrono::milliseconds timeout = caller.timeout.value_or(kDefaultTimeout);
    if (route.timeout.count() > 0)
        timeout = std::min(timeout, route.timeout);
    CallPolicy terms;
    terms.mayRunAgain = route.mayRunAgain();
    terms.resumable = route.streaming && route.resumable;
    terms.maxAttempts = route.maxAttempts;
    terms.answerBy = arrived + timeout;
    return terms;
}

} // namespace

std::optional<Reason> admitCall(const NodeState &state, const http::request_header<> &head,
                                const platform::CallerHead &caller, TimePoint arrived,
                                AdmittedCall &call)
{
    call.table = state.table();
    if (!call.table)
        return Reason::NotReady;
    if (caller.requestId.empty())
        return Reason::MalformedRequest;
    call.route
        = call.table->findRoute(toStringView(head[http::field::host]), toStringView(head.target()));
    if (call.route == nullptr)
        return Reason::UnknownRoute;
    if (call.table->hasTeams())
        call.team = call.table->findTeam(caller.teamKey);
    if (call.table->hasTeams() && call.team == nullptr && !call.route->isPublic)
        return Reason::UnknownTeam;
    call.pool = call.table->findService(RouteTable::targetOf(*call.route, caller.requestId));
    if (call.pool == nullptr)
        return Reason::NoUpstream;
    call.terms = policyOf(*call.route, caller, arrived);
    if (!state.canFinishBeforeStop(call.terms.answerBy))
        return Reason::Stopping;
    return std::nullopt;
}

RequestFingerprint fingerprintOf(const http::request_header<> &head, const AdmittedCall &call,
                                 std::string_view body)
{
    return fordwood::fingerprintOf(
        {toStringView(head.method_string()), toStringView(head[http::field::host]),
         toStringView(head.target()), call.team != nullptr ? call.team->name : "", body});
}

} // namespace fordwood::node
