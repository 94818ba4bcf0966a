// SPDX-License-Identifier: MIT
#include "node/admitted_call.hpp"

#include <algorithm>

namespace fordwood::node {

namespace {

// The timeout of requests that state none.
constexpr std::chrono::milliseconds kDefaultTimeout{30'000};

// Bounds how long a caller can make nodes remember a stream.
constexpr std::chrono::milliseconds kMaxStreamLifetime{60'000};

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
    terms.resumable = route.isResumableStream();
    terms.maxAttempts = route.maxAttempts;
    terms.answerBy = arrived + timeout;
    return terms;
}

} // namespace

std::chrono::milliseconds longestTimeout(const ServiceRoute &route)
{
    return route.timeout.count() > 0 ? route.timeout : kDefaultTimeout;
}

bool continuesStream(const AdmittedCall &call, const platform::CallerHead &caller)
{
    return call.terms.resumable && caller.continuesStream();
}

bool directTo(const std::string &service, AdmittedCall &call)
{
    const auto &targets = call.route->targets;
    const bool isTarget = std::any_of(targets.begin(), targets.end(),
                                      [&](const SplitTarget &it) { return it.service == service; });
    const ServicePool *pool = isTarget ? call.table->findService(service) : nullptr;
    if (pool == nullptr)
        return false;
    call.pool = pool;
    return true;
}

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
    call.terms = policyOf(*call.route, caller, arrived);
    const std::string &firstAttempt = call.terms.resumable && !caller.firstAttempt.empty()
                                          ? caller.firstAttempt
                                          : caller.requestId;
    call.pool = call.table->findService(RouteTable::targetOf(*call.route, firstAttempt));
    if (call.pool == nullptr)
        return Reason::NoUpstream;
    if (call.terms.resumable) {
        call.stream = streamKey(firstAttempt, call.team != nullptr ? call.team->name : "",
                                call.route->host, call.route->pathPrefix);
        call.callerDeadline = arrived
                              + std::clamp(caller.timeout.value_or(kDefaultTimeout),
                                           std::chrono::milliseconds(0), kMaxStreamLifetime);
    }
    if (!state.stop().mayTake(state.stopRequest(call), state.clock().now()))
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

RequestIdentity identityOf(const RequestFingerprint &whole, const AdmittedCall &call,
                           const platform::CallerHead &caller)
{
    // Bounds what a caller can make all nodes remember.
    constexpr std::size_t kMaxParts = 256;
    RequestIdentity identity(whole);
    if (!caller.prompt)
        return identity;
    const std::vector<PromptPart> &parts = caller.prompt->parts;
    for (std::size_t n = 0; n + 1 < parts.size() && n < kMaxParts; ++n) {
        if (!parts[n].id.empty())
            identity.parts.push_back(fingerprintOfPart(call.pool->name, parts[n].id));
    }
    return identity;
}

} // namespace fordwood::node
