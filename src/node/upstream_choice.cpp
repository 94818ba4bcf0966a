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

// Maximum expected wait at an engine, in target latencies. With a longer one, a long prompt is
// refused at once.
constexpr double kMaxWait = 0.7;

// Upstreams that a lender considers besides the preferred one.
constexpr std::size_t kMaxPlaceAlternatives = 15;

// A node with more unusable engines than this has a problem of its own.
constexpr std::size_t kMaxAvoided = 32;

// Removes stores outside the regions that the request is restricted to: its context must not be
// saved there.
void dropForbiddenSaveTargets(const AdmittedCall &call, const DomainRegions &regions,
                              EngineChoice &choice)
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

// Whether the expected wait is so long that the answer would be late anyway. Serving the request
// would delay others as well, while a caller that is refused at once can retry.
bool exceedsMaxWait(NodeState &state, const AdmittedCall &call, const EngineChoice &choice)
{
    if (!state.settings().mechanisms.earlyRefusals)
        return false;
    const Duration wait = state.pace(call.pool->name).timeFor(choice.queuedTokens);
    const std::chrono::duration<double, std::nano> maxWait
        = kMaxWait * std::chrono::duration<double, std::nano>(call.route->targetLatency);
    return call.route->targetLatency.count() > 0 && wait > maxWait;
}

std::optional<EngineChoice> bestEngine(NodeState &state, const AdmittedCall &call,
                                       const platform::CallerHead &caller, const CallPlan &plan,
                                       const std::vector<const UpstreamRecord *> &candidates)
{
    const std::string isolatedTeam
        = call.team != nullptr && call.team->isolated ? call.team->name : "";
    const EngineChooser::Query question{*caller.prompt,
                                        isolatedTeam,
                                        state.weights(caller.prompt->model),
                                        *call.pool->engine,
                                        plan.tried(),
                                        state.shortPromptEngines(*call.pool),
                                        state.consideredShare(),
                                        stableHash(caller.requestId, plan.sends()),
                                        state.rateLimitedCandidates(candidates),
                                        state.pace(call.pool->name)};
    return state.engines().choose(question, candidates, state.loads(), state.health(),
                                  state.contexts());
}

// Whether this node may let the engine fetch context from the address. A scheduler may not know yet
// that this node's requests to the source fail, or that it has other weights by now.
bool isUsableSource(NodeState &state, const AdmittedCall &call, const Prompt &prompt,
                    const EngineChoice &choice, const std::string &address)
{
    if (address.empty() || !state.settings().mechanisms.contextFromEngines)
        return false;
    const auto engines = state.upstreams().usable(call.pool->name);
    return std::any_of(engines.begin(), engines.end(), [&](const UpstreamRecord *it) {
        const auto version = it->weightVersions.find(prompt.model);
        return it->address == address && version != it->weightVersions.end()
               && version->second == choice.weightVersion
               && !state.health().isPaused(it->instanceId);
    });
}

// Lets the engine fetch from another engine the shared parts that no store holds.
void fetchFromEngine(NodeState &state, const Prompt &prompt, const std::string &address,
                     EngineChoice &choice)
{
    const std::size_t parts = std::min(prompt.parts.size(), EngineChooser::kMaxExchangedParts + 1);
    for (std::size_t n = 0; n + 1 < parts; ++n) {
        if (!choice.fetchFrom[n].empty()
            || !state.contexts().holderOf(choice.salt, prompt.parts[n].id).address.empty())
            continue;
        choice.fetchFrom[n] = address;
        choice.sourceEngine = address;
    }
}

// Tokens to compute if the engine has none of the context that it does not fetch.
std::size_t tokensNotFetched(const Prompt &prompt, const EngineChoice &choice)
{
    std::size_t tokens = prompt.tokensIn;
    for (std::size_t n = 0; n < prompt.parts.size(); ++n) {
        if (!choice.fetchFrom[n].empty())
            tokens -= std::min(tokens, prompt.parts[n].tokens);
    }
    return tokens;
}

UpstreamAttempt engineAttempt(NodeState &state, const AdmittedCall &call,
                              const platform::CallerHead &caller, EngineChoice choice)
{
    dropForbiddenSaveTargets(call, state.settings().regions, choice);
    EngineChooser::recordSent(choice, *caller.prompt, state.contexts());
    UpstreamAttempt attempt;
    attempt.upstream = *state.upstreams().find(choice.instanceId);
    attempt.load = choice.load;
    attempt.model = caller.prompt->model;
    if (!choice.sourceEngine.empty())
        state.metrics().count("fordwood_context_from_engines_total");
    attempt.engine = std::move(choice);
    attempt.fetchDeadline = state.fetchDeadline();
    return attempt;
}

UpstreamChoice chooseEngine(NodeState &state, const AdmittedCall &call,
                            const platform::CallerHead &caller, const CallPlan &plan, bool mustGoOn,
                            const std::vector<const UpstreamRecord *> &candidates)
{
    // Short prompts do not wait until a context store answers: computing them takes less time.
    if (!isShortPrompt(*caller.prompt, *call.pool->engine) && state.isRecoveringFromStall())
        return {};
    auto choice = bestEngine(state, call, caller, plan, candidates);
    if (!choice)
        return {};
    if (!choice->isShort && !mustGoOn && exceedsMaxWait(state, call, *choice))
        return {std::nullopt, std::move(choice), std::nullopt};
    UpstreamChoice chosen;
    chosen.attempt = engineAttempt(state, call, caller, std::move(*choice));
    return chosen;
}

// The engine runs short prompts, which take very little time, before long ones. Within each kind
// the priority of the team decides, or else that of the route.
int enginePriority(const AdmittedCall &call, const EngineChoice &engine, bool shortFirst)
{
    constexpr int kPrioritiesPerKind = 5; // engines have ten priorities, half of them for each kind
    const auto teamPriority = call.team != nullptr ? call.team->priority : std::nullopt;
    const int urgency
        = std::clamp(teamPriority.value_or(call.route->priority), 0, kPrioritiesPerKind - 1);
    const bool goesFirst = engine.isShort || !shortFirst;
    return goesFirst ? urgency : kPrioritiesPerKind + urgency;
}

UpstreamChoice chooseAmong(NodeState &state, const AdmittedCall &call,
                           const platform::CallerHead &caller, const CallPlan &plan, bool mustGoOn,
                           const std::vector<const UpstreamRecord *> &candidates)
{
    if (call.pool->engine && caller.prompt)
        return chooseEngine(state, call, caller, plan, mustGoOn, candidates);
    const UpstreamRecord *best
        = fordwood::chooseUpstream(candidates, plan.tried(), state.settings().node.failureDomain,
                                   stableHash(caller.requestId), state.loads(), state.health());
    UpstreamChoice chosen;
    if (best != nullptr)
        chosen.attempt.emplace().upstream = *best;
    return chosen;
}

using UpstreamFilter = std::function<bool(const UpstreamRecord &)>;

UpstreamFilter regionFilter(const NodeState &state, const AdmittedCall &call)
{
    const AllowedRegions allowedRegions(*call.route, call.team);
    return [allowedRegions, &regions = state.settings().regions](const UpstreamRecord &it) {
        return allowedRegions.isUnrestricted() || allowedRegions.allows(it.failureDomain, regions);
    };
}

// Whether an upstream has the version at which a stream began.
auto isOf(const StreamOrigin &origin)
{
    return [&origin](const UpstreamRecord *it) { return it->softwareVersion == origin.version; };
}

// The upstreams that may be sent the request now.
std::vector<const UpstreamRecord *> allowedCandidates(NodeState &state, const AdmittedCall &call,
                                                      const UpstreamFilter &isAllowed)
{
    auto candidates = state.candidates(*call.pool);
    std::erase_if(candidates, [&](const UpstreamRecord *it) { return !isAllowed(*it); });
    return candidates;
}

// Whether an upstream may serve the request at any time.
UpstreamFilter allowedFilter(const NodeState &state, const AdmittedCall &call,
                             const ChoiceTerms &terms)
{
    return [isInRegion = regionFilter(state, call), &terms](const UpstreamRecord &it) {
        return isInRegion(it) && (!terms.origin || isOf(*terms.origin)(&it));
    };
}

// Finds out whether only rate limits and backoffs prevent the request from being sent, in which
// case it is already known that it cannot be served. `tried`: upstreams to which this request is
// not sent again. They do not count as available, though they may accept a later request of the
// caller.
std::optional<Unavailability> findUnavailability(NodeState &state, const AdmittedCall &call,
                                                 const UpstreamFilter &isAllowed,
                                                 const std::set<std::string> &tried)
{
    Unavailability found;
    std::optional<Duration> backoff; // time until the first one ends
    for (const UpstreamRecord *it : state.upstreams().usable(call.pool->name)) {
        if (!isAllowed(*it))
            continue;
        const Duration remaining = state.gate().backoffs().remaining(it->instanceId);
        if (remaining > Duration::zero())
            backoff = std::min(backoff.value_or(remaining), remaining);
        else if (state.gate().isLimited(it->instanceId))
            found.reason = Reason::UpstreamLimited;
        else if (tried.contains(it->instanceId))
            continue;
        else
            return std::nullopt;
        found.upstream = it->instanceId;
    }
    if (found.reason == Reason::UpstreamLimited) {
        found.retryAfter = state.retryAfterLimit(*call.pool);
        return found;
    }
    if (!backoff)
        return std::nullopt;
    found.reason = Reason::UpstreamBackoff;
    found.retryAfter = state.retryAfterBackoff(*call.pool, *backoff);
    return found;
}

} // namespace

UpstreamChoice chooseUpstream(NodeState &state, const AdmittedCall &call,
                              const platform::CallerHead &caller, const CallPlan &plan,
                              const ChoiceTerms &terms)
{
    const UpstreamFilter isAllowed = allowedFilter(state, call, terms);
    const auto candidates = allowedCandidates(state, call, isAllowed);
    UpstreamChoice chosen = chooseAmong(state, call, caller, plan, terms.mustGoOn, candidates);
    if (!chosen.attempt && candidates.empty())
        chosen.unavailable = findUnavailability(state, call, isAllowed, plan.tried());
    return chosen;
}

PlaceExchange::Question placeQuestion(NodeState &state, const AdmittedCall &call,
                                      const platform::CallerHead &caller, const CallPlan &plan,
                                      const ChoiceTerms &terms, const UpstreamAttempt &attempt)
{
    PlaceExchange::Question question;
    question.group = state.placeGroup(attempt.upstream);
    const std::uint64_t preferred = stableHash(attempt.upstream.instanceId);
    std::vector<std::uint64_t> others;
    for (const UpstreamRecord *it :
         allowedCandidates(state, call, allowedFilter(state, call, terms))) {
        const std::uint64_t id = stableHash(it->instanceId);
        if (id != preferred && question.group.shard.contains(id)
            && !plan.tried().contains(it->instanceId) && !state.health().isPaused(it->instanceId)
            && state.brittleUpstreams().isBrittle(it->instanceId))
            others.push_back(id);
    }
    // Requests that find their preferred upstream full spread over the others.
    const std::uint64_t request = stableHash(caller.requestId, plan.sends());
    question.upstreams.push_back(preferred);
    for (const std::size_t it : rendezvousOrder(request, others, kMaxPlaceAlternatives))
        question.upstreams.push_back(others[it]);
    return question;
}

std::optional<UpstreamAttempt> attemptAt(NodeState &state, const AdmittedCall &call,
                                         const platform::CallerHead &caller, const CallPlan &plan,
                                         const ChoiceTerms &terms, std::uint64_t upstream)
{
    auto candidates = allowedCandidates(state, call, allowedFilter(state, call, terms));
    std::erase_if(candidates,
                  [&](const UpstreamRecord *it) { return stableHash(it->instanceId) != upstream; });
    // The request has a place, so it is not late.
    constexpr bool kMustGoOn = true;
    return chooseAmong(state, call, caller, plan, kMustGoOn, candidates).attempt;
}

bool isVersionGone(NodeState &state, const StreamOrigin &origin)
{
    const auto usable = state.upstreams().usable(origin.service);
    return !usable.empty() && !std::any_of(usable.begin(), usable.end(), isOf(origin));
}

bool isBoundToVersion(NodeState &state, const std::optional<StreamOrigin> &origin)
{
    if (!origin)
        return false;
    const auto usable = state.upstreams().usable(origin->service);
    return !std::all_of(usable.begin(), usable.end(), isOf(*origin));
}

std::optional<EngineShard> scheduledShard(NodeState &state, const AdmittedCall &call,
                                          const platform::CallerHead &caller)
{
    if (!call.pool->engine || !caller.prompt || !state.settings().mechanisms.engineScheduler
        || !AllowedRegions(*call.route, call.team).isUnrestricted())
        return std::nullopt;
    const EngineShard shard
        = shardFor(caller.prompt->contextHash(), state.upstreams().usable(call.pool->name).size());
    if (!state.placements().hasScheduler(call.pool->name, shard))
        return std::nullopt;
    return shard;
}

PlacementRequest placementRequest(NodeState &state, const AdmittedCall &call,
                                  const platform::CallerHead &caller, const CallPlan &plan,
                                  const EngineShard &shard, const RequestFingerprint &fingerprint)
{
    PlacementRequest request;
    request.service = call.pool->name;
    request.shard = shard;
    request.prompt = *caller.prompt;
    if (call.team != nullptr) {
        request.team = stableHash(call.team->name);
        request.isolatedTeam = call.team->isolated ? call.team->name : "";
    }
    request.fingerprint = fingerprint.low;
    request.targetLatency = call.route->targetLatency;
    request.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(
        plan.policy().answerBy - state.clock().now());
    for (const std::string &it : plan.tried())
        request.avoid.push_back(stableHash(it));
    for (const UpstreamRecord *it : state.upstreams().usable(call.pool->name)) {
        if (request.avoid.size() >= kMaxAvoided)
            break;
        if (state.health().isPaused(it->instanceId))
            request.avoid.push_back(stableHash(it->instanceId));
    }
    return request;
}

std::optional<UpstreamAttempt> scheduledAttempt(NodeState &state, const AdmittedCall &call,
                                                const platform::CallerHead &caller,
                                                const CallPlan &plan, const PlacementReply &reply,
                                                const std::optional<StreamOrigin> &origin)
{
    auto candidates = state.candidates(*call.pool);
    // An upstream of another version may have started since the scheduler was asked.
    std::erase_if(candidates, [&](const UpstreamRecord *it) {
        return it->instanceId != reply.instanceId || (origin && !isOf(*origin)(it));
    });
    auto choice = bestEngine(state, call, caller, plan, candidates);
    if (!choice || choice->weightVersion != reply.weightVersion)
        return std::nullopt;
    choice->loadBefore = reply.loadBefore;
    choice->queuedTokens = static_cast<double>(reply.loadBefore.tokensToCompute);
    choice->firstTokenDelay = reply.firstTokenDelay;
    choice->expectedDelay = reply.expectedDelay;
    choice->load.tokensToCompute = reply.tokensToCompute;
    if (isUsableSource(state, call, *caller.prompt, *choice, reply.sourceEngine))
        fetchFromEngine(state, *caller.prompt, reply.sourceEngine, *choice);
    else if (!reply.sourceEngine.empty())
        choice->load.tokensToCompute = tokensNotFetched(*caller.prompt, *choice);
    if (reply.saveTo.size() == choice->saveTo.size())
        choice->saveTo = reply.saveTo;
    return engineAttempt(state, call, caller, std::move(*choice));
}

PathChoice choosePath(NodeState &state, const AdmittedCall &call,
                      const platform::CallerHead &caller, const CallPlan &plan,
                      const UpstreamAttempt &attempt, const std::set<std::string> &failedProxies)
{
    if (!state.paths().needsPeer(attempt.upstream.service, plan.hasConnectFailed()))
        return {};
    const AllowedRegions allowedRegions(*call.route, call.team);
    ProxyPeers::Query query;
    query.upstreamDomain = attempt.upstream.failureDomain;
    query.hash = stableHash(caller.requestId, plan.sends());
    query.excluded = failedProxies;
    query.mayPass = [&](const std::string &failureDomain) {
        return allowedRegions.isUnrestricted()
               || allowedRegions.allows(failureDomain, state.settings().regions);
    };
    PathChoice choice;
    choice.proxy = state.paths().choosePeer(query);
    choice.isUsable = choice.proxy || !state.paths().isCutOff(attempt.upstream.service);
    return choice;
}

void reportLocalPlacement(NodeState &state, const AdmittedCall &call, const EngineShard &shard,
                          UpstreamAttempt &attempt)
{
    PlacementProgress::Local placed;
    placed.instanceId = attempt.upstream.instanceId;
    placed.load = attempt.load;
    placed.remaining = std::chrono::duration_cast<std::chrono::milliseconds>(call.terms.answerBy
                                                                             - state.clock().now());
    attempt.placement = state.placements().recordLocal(call.pool->name, shard, std::move(placed));
}

std::optional<std::chrono::milliseconds> retryAfterUnavailable(NodeState &state,
                                                               const AdmittedCall &call)
{
    const auto found = findUnavailability(state, call, regionFilter(state, call), {});
    return found ? std::optional(found->retryAfter) : std::nullopt;
}

http::request_header<> upstreamHead(const http::request_header<> &head, const AdmittedCall &call,
                                    const UpstreamAttempt &attempt,
                                    const UpstreamHeadOptions &options)
{
    platform::SystemFields stamp;
    stamp.instanceId = attempt.upstream.instanceId;
    stamp.team = call.team != nullptr ? call.team->name : "";
    stamp.timeout = options.remainingTime;
    stamp.resumeFrom = options.resumeFrom;
    if (attempt.engine.weightVersion > 0) {
        stamp.weightVersion = attempt.engine.weightVersion;
        stamp.contextSalt = attempt.engine.salt;
        stamp.fetchFrom = attempt.engine.fetchFrom;
        stamp.saveTo = attempt.engine.saveTo;
        if (attempt.engine.isFetching())
            stamp.fetchDeadline = attempt.fetchDeadline;
        stamp.priority = enginePriority(call, attempt.engine, options.shortFirst);
    }
    http::request_header<> result;
    result.method_string(head.method_string());
    result.target(head.target());
    result.version(11);
    platform::writeUpstreamHead(head, stamp, result);
    return result;
}

} // namespace fordwood::node
