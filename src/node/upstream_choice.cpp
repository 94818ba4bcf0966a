// SPDX-License-Identifier: MIT
#include "node/upstream_choice.hpp"

#include <algorithm>
#include <functional>
#include <set>

#include "fordwood/allowed_regions.hpp"
#include "fordwood/engine_groups.hpp"
#include "fordwood/rendezvous.hpp"
#include "fordwood/service_chooser.hpp"

namespace fordwood::node {

namespace {

// The wait at an engine, in target latencies, from which a long prompt is refused at once.
constexpr double kLongestWait = 0.7;

// Context of a prompt that is bound to regions is saved in no other.
void keepContextAtHome(const AdmittedCall &call, const DomainRegions &regions, EngineChoice &choice)
{
    const AllowedRegions allowedRegions(*call.route, call.team);
    if (allowedRegions.isUnrestricted())
        return;
    for (std::string &address : choice.saveTo) {
        const ContextStore *store = call.table->findStore(address);
        if (store != nullptr && !allowedRegions.allows(store->failureDomain, regions))
            address.clear();
    }
}

// Whether the answer would be late anyway: work for it would make others late as well, while a
// caller that is told so at once can come again.
bool waitsTooLong(Traffic &traffic, const AdmittedCall &call, const EngineChoice &choice)
{
    if (!traffic.settings().mechanisms.earlyRefusals)
        return false;
    const Duration wait = traffic.pace(call.pool->name).timeFor(choice.queuedTokens);
    const std::chrono::duration<double, std::nano> longest
        = kLongestWait * std::chrono::duration<double, std::nano>(call.route->targetLatency);
    return call.route->targetLatency.count() > 0 && wait > longest;
}

std::optional<EngineChoice> bestEngine(Traffic &traffic, const AdmittedCall &call,
                                       const platform::CallerHead &caller, const CallPlan &plan,
                                       const std::vector<const UpstreamRecord *> &candidates)
{
    const std::string walled = call.team != nullptr && call.team->isolated ? call.team->name : "";
    const EngineChooser::Query question{*caller.prompt,
                                        walled,
                                        traffic.weights(caller.prompt->model),
                                        *call.pool->engine,
                                        plan.tried(),
                                        traffic.shortGroup(*call.pool),
                                        traffic.candidateFraction(),
                                        stableHash(caller.requestId, plan.sends()),
                                        traffic.boundedAmong(candidates),
                                        traffic.pace(call.pool->name)};
    return traffic.engines().choose(question, candidates, traffic.loads(), traffic.health(),
                                    traffic.contexts());
}

UpstreamChoice chooseEngine(Traffic &traffic, const AdmittedCall &call,
                            const platform::CallerHead &caller, const CallPlan &plan,
                            bool answerBegun, const std::vector<const UpstreamRecord *> &candidates)
{
    // Short prompts are computed sooner than asked about.
    if (!isShortPrompt(*caller.prompt, *call.pool->engine) && traffic.isWaking())
        return {};
    auto choice = bestEngine(traffic, call, caller, plan, candidates);
    if (!choice)
        return {};
    if (!choice->isShort && !answerBegun && waitsTooLong(traffic, call, *choice))
        return {std::nullopt, std::move(choice), std::nullopt};
    keepContextAtHome(call, traffic.settings().regions, *choice);
    EngineChooser::recordSent(*choice, *caller.prompt, traffic.contexts());
    UpstreamChoice chosen;
    chosen.attempt.emplace();
    chosen.attempt->upstream = *traffic.upstreams().find(choice->instanceId);
    chosen.attempt->load = choice->load;
    chosen.attempt->model = caller.prompt->model;
    chosen.attempt->engine = std::move(*choice);
    chosen.attempt->fetchUntil = traffic.fetchUntil();
    return chosen;
}

// Long prompts wait for short ones, which take next to no time; the urgency of the team, or of the
// route, decides within each kind.
int enginePriority(const AdmittedCall &call, const EngineChoice &engine, bool shortFirst)
{
    constexpr int kKinds = 5; // of the ten priorities that an engine knows, for either kind
    const auto ofTeam = call.team != nullptr ? call.team->priority : std::nullopt;
    const int urgency = std::clamp(ofTeam.value_or(call.route->priority), 0, kKinds - 1);
    const bool goesFirst = engine.isShort || !shortFirst;
    return goesFirst ? urgency : kKinds + urgency;
}

UpstreamChoice chooseAmong(Traffic &traffic, const AdmittedCall &call,
                           const platform::CallerHead &caller, const CallPlan &plan,
                           bool answerBegun, const std::vector<const UpstreamRecord *> &candidates)
{
    if (call.pool->engine && caller.prompt)
        return chooseEngine(traffic, call, caller, plan, answerBegun, candidates);
    const UpstreamRecord *best
        = fordwood::chooseUpstream(candidates, plan.tried(), traffic.settings().node.failureDomain,
                                   stableHash(caller.requestId), traffic.loads(), traffic.health());
    UpstreamChoice chosen;
    if (best != nullptr)
        chosen.attempt.emplace().upstream = *best;
    return chosen;
}

using MayServe = std::function<bool(const UpstreamRecord &)>;

MayServe servingFor(const Traffic &traffic, const AdmittedCall &call)
{
    const AllowedRegions allowedRegions(*call.route, call.team);
    return [allowedRegions, &regions = traffic.settings().regions](const UpstreamRecord &it) {
        return allowedRegions.isUnrestricted() || allowedRegions.allows(it.failureDomain, regions);
    };
}

// Where nothing but limits and backoffs stands in the way, it is known now that the request cannot
// be served. `tried`: upstreams that it does not go to again, though its caller may come back to
// them.
std::optional<Unavailability> unavailability(Traffic &traffic, const AdmittedCall &call,
                                             const MayServe &mayServe,
                                             const std::set<std::string> &tried)
{
    Unavailability found;
    std::optional<Duration> backoff; // until the first one ends
    for (const UpstreamRecord *it : traffic.upstreams().usable(call.pool->name)) {
        if (!mayServe(*it))
            continue;
        const Duration remaining = traffic.gate().backoffs().remaining(it->instanceId);
        if (remaining > Duration::zero())
            backoff = std::min(backoff.value_or(remaining), remaining);
        else if (traffic.gate().isLimited(it->instanceId))
            found.reason = Reason::UpstreamLimited;
        else if (tried.contains(it->instanceId))
            continue;
        else
            return std::nullopt;
        found.upstream = it->instanceId;
    }
    if (found.reason == Reason::UpstreamLimited) {
        found.retryAfter = traffic.returnAfterLimit(*call.pool);
        return found;
    }
    if (!backoff)
        return std::nullopt;
    found.reason = Reason::UpstreamBackoff;
    found.retryAfter = traffic.returnAfterBackoff(*call.pool, *backoff);
    return found;
}

} // namespace

UpstreamChoice chooseUpstream(Traffic &traffic, const AdmittedCall &call,
                              const platform::CallerHead &caller, const CallPlan &plan,
                              bool answerBegun)
{
    const MayServe mayServe = servingFor(traffic, call);
    auto candidates = traffic.candidates(*call.pool);
    std::erase_if(candidates, [&](const UpstreamRecord *it) { return !mayServe(*it); });
    UpstreamChoice chosen = chooseAmong(traffic, call, caller, plan, answerBegun, candidates);
    if (!chosen.attempt && candidates.empty())
        chosen.unavailable = unavailability(traffic, call, mayServe, plan.tried());
    return chosen;
}

std::optional<std::chrono::milliseconds> returnAfterAll(Traffic &traffic, const AdmittedCall &call)
{
    const auto found = unavailability(traffic, call, servingFor(traffic, call), {});
    return found ? std::optional(found->retryAfter) : std::nullopt;
}

http::request_header<> upstreamHead(const http::request_header<> &head, const AdmittedCall &call,
                                    const UpstreamAttempt &attempt, const UpstreamHeadTerms &terms)
{
    platform::UpstreamStamp stamp;
    stamp.instanceId = attempt.upstream.instanceId;
    stamp.team = call.team != nullptr ? call.team->name : "";
    stamp.patience = terms.patience;
    stamp.resumeFrom = terms.resumeFrom;
    if (attempt.engine.weightVersion > 0) {
        stamp.weightVersion = attempt.engine.weightVersion;
        stamp.contextSalt = attempt.engine.salt;
        stamp.fetchFrom = attempt.engine.fetchFrom;
        stamp.saveTo = attempt.engine.saveTo;
        if (attempt.engine.isFetching())
            stamp.fetchUntil = attempt.fetchUntil;
        stamp.priority = enginePriority(call, attempt.engine, terms.shortFirst);
    }
    http::request_header<> result;
    result.method_string(head.method_string());
    result.target(head.target());
    result.version(11);
    platform::writeUpstreamHead(head, stamp, result);
    return result;
}

} // namespace fordwood::node
