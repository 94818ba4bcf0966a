// SPDX-License-Identifier: MIT
#include "node/admitted_call.hpp"

#include <algorithm>

namespace fordwood::node {

namespace {

// How long a caller waits that does not say.
constexpr std::chrono::milliseconds kUsualPatience{30'000};

std::string_view textOf(boost::beast::string_view text)
{
    return {text.data(), text.size()};
}

CallPolicy termsOf(const ServiceRoute &route, const platform::CallerHead &caller, TimePoint arrived)
{
    std::chrono::milliseconds patience = caller.patience.value_or(kUsualPatience);
    if (route.timeout.count() > 0)
        patience = std::min(patience, route.timeout);
    CallPolicy terms;
    terms.mayRunAgain = route.mayRunAgain();
    terms.resumable = route.streaming && route.resumable;
    terms.maxAttempts = route.maxAttempts;
    terms.answerBy = arrived + patience;
    return terms;
}

} // namespace

std::optional<Reason> admitCall(const Traffic &traffic, const http::request_header<> &head,
                                const platform::CallerHead &caller, TimePoint arrived,
                                AdmittedCall &call)
{
    call.table = traffic.table();
    if (!call.table)
        return Reason::NotReady;
    if (caller.requestId.empty())
        return Reason::MalformedRequest;
    call.route = call.table->findRoute(textOf(head[http::field::host]), textOf(head.target()));
    if (call.route == nullptr)
        return Reason::UnknownRoute;
    if (call.table->hasTeams())
        call.team = call.table->findTeam(caller.teamKey);
    if (call.table->hasTeams() && call.team == nullptr && !call.route->isPublic)
        return Reason::UnknownTeam;
    call.pool = call.table->findService(RouteTable::targetOf(*call.route, caller.requestId));
    if (call.pool == nullptr)
        return Reason::NoUpstream;
    call.terms = termsOf(*call.route, caller, arrived);
    if (!traffic.mayFinish(call.terms.answerBy))
        return Reason::Stopping;
    return std::nullopt;
}

RequestFingerprint fingerprintOf(const http::request_header<> &head, const AdmittedCall &call,
                                 std::string_view body)
{
    return fordwood::fingerprintOf({textOf(head.method_string()), textOf(head[http::field::host]),
                                    textOf(head.target()),
                                    call.team != nullptr ? call.team->name : "", body});
}

} // namespace fordwood::node
