// SPDX-License-Identifier: MIT
#include "fordwood/engine_chooser.hpp"

#include <algorithm>
#include <set>
#include <string_view>

#include "fordwood/engine_groups.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Costs are measured in prompt tokens to compute; see docs/design/10-platform.md.

// Recomputing context that a store holds would cost the whole fleet and not only this request, but
// such context is fetched. Context that no store holds is probably new.
constexpr double kComputeWeight = 1.0;
// The preferred engine may already have the context from a request of another node.
constexpr double kPreferredComputeWeight = 0.9;
// Recomputing a context that another engine has costs the fleet more than this request's wait.
constexpr double kRecomputeWeight = 4.0;
// For short prompts. They come from all nodes, and most of them share a few contexts.
constexpr double kShortPreferredWeight = 0.2;
constexpr double kShortSecondWeight = 2.0;
constexpr double kShortOtherWeight = 4.0;
// Cost of fetching a token of context relative to computing it, including the wait for the links.
constexpr double kFetchWeight = 0.2;
// Links between failure domains are half as fast.
constexpr double kCrossDomainFactor = 2.0;
// Approximate time that an engine keeps a context after its last use: long prompts fill its memory
// within seconds, short ones only after minutes.
constexpr Duration kLongContextKept = std::chrono::seconds(3);
constexpr Duration kShortContextKept = std::chrono::seconds(20);
// Each running request slightly slows down all the others.
constexpr double kRunningRequestCost = 60.0;
// Share of an engine's queued work that a short prompt waits for.
constexpr double kShortQueueShare = 0.3;
// A request beyond the slots waits until another request has finished.
constexpr double kMissingSlotCost = 12'000.0;
// A request beyond the engine's memory preempts others, whose prompts are then recomputed.
constexpr double kMissingMemoryWeight = 4.0;
// A short prompt among long ones waits for their computation, and they evict its context.
constexpr double kShortOutsideGroupCost = 6'000.0;
// A long prompt among short ones does this to about a hundred of them.
constexpr double kLongInShortGroupCost = 25'000.0;
// An answer on replaced weights loses a fifth of its value.
constexpr double kOldWeightsCost = 6'000.0;
// The same where engines that are in time come first: among them, a longer wait loses nothing.
constexpr double kOldWeightsCostInTime = 25'000.0;
// An engine whose requests all fail is used only if there is no other.
constexpr double kFailureCost = 60'000.0;
// One in this many slots may be taken by a request that a peer has not reported yet.
constexpr std::size_t kSlotsPerUnreportedRequest = 8;
// Margin for waits that take longer than estimated: an engine may be slower than the others, and
// peers may have sent it prompts that they have not reported yet.
constexpr Duration kFirstTokenMargin = std::chrono::seconds(1);

} // namespace

bool EngineChooser::mayUse(const UpstreamRecord &engine, const Query &query,
                           const UpstreamHealth &health) const
{
    if (query.tried.contains(engine.instanceId) || health.isPaused(engine.instanceId))
        return false;
    const auto version = engine.weightVersions.find(query.prompt.model);
    // Versions begin at 1. With 0 (unknown), the request could not require a version.
    return version != engine.weightVersions.end() && version->second != 0;
}

bool EngineChooser::beginsInTime(std::uint64_t version, Duration firstTokenDelay,
                                 const WeightHistory &weights) const
{
    const auto replaced = weights.supersededAt(version);
    if (!replaced)
        return true;
    // If it is unknown when the weights were replaced, that may have been long ago: only nodes that
    // know the time may use them.
    if (!replaced->earliest)
        return false;
    // A fixed estimate of the wait would be too short where requests queue, and would leave engines
    // idle that could still start the request at once.
    const Duration begins = m_clock.now() - *replaced->earliest + firstTokenDelay;
    return begins + kFirstTokenMargin < m_limits.weightsWithin;
}

// Estimates how long a request waits at an engine for its first token. All work there counts, even
// what a short prompt may overtake: an engine excluded because of its queue is not idle meanwhile.
Duration EngineChooser::timeToFirstToken(const UpstreamLoad &load, const Query &query,
                                         const VersionInfo &weights) const
{
    const Prompt &prompt = query.prompt;
    const EngineTraits &traits = query.traits;
    const std::size_t requests = load.running + 1;
    const std::size_t held = load.tokensHeld + prompt.tokensIn + prompt.maxTokensOut;
    std::size_t concurrent = traits.slots;
    // If the memory holds fewer requests than there are slots, the memory limits how many run at
    // once.
    if (held > 0 && traits.contextTokens > 0)
        concurrent = std::min(concurrent, requests * traits.contextTokens / held);
    const std::size_t places = concurrent - concurrent / kSlotsPerUnreportedRequest;
    const std::size_t mustEnd = requests - std::min(requests, places);
    const double tokens = static_cast<double>(load.tokensToCompute + prompt.tokensIn)
                          + storeWait(weights, static_cast<double>(prompt.sharedTokens()));
    return query.pace.timeFor(tokens) + query.pace.timeUntilFinished(mustEnd, concurrent);
}

// Work that the store sends before this context, in tokens to compute; zero if the context is
// recomputed instead.
double EngineChooser::storeWait(const VersionInfo &weights, double sharedTokens) const
{
    const double waitingTokens = kFetchWeight * storeQueue(weights);
    const bool isFetched
        = waitingTokens + sharedTokens * kFetchWeight <= sharedTokens * readAgainWeight();
    return isFetched || !m_limits.mechanisms.computingInstead ? waitingTokens : 0.0;
}

// Tokens queued at the stores from which the context is fetched. A part that is not stored ends the
// fetch. Transfers of different stores run at the same time.
double EngineChooser::storeQueue(const VersionInfo &weights)
{
    double most = 0.0;
    for (std::size_t n = 0; n < weights.stored.size() && weights.stored[n].isHeld(); ++n)
        most = std::max(most, weights.stored[n].queuedTokens);
    return most;
}

// Work to be computed before a prompt. A short prompt overtakes long ones that wait, but not those
// that are being computed.
double EngineChooser::queueCost(const UpstreamLoad &load, const PromptInfo &promptInfo) const
{
    return static_cast<double>(load.tokensToCompute)
           * (promptInfo.isShort ? kShortQueueShare : 1.0);
}

double EngineChooser::waitingCost(const UpstreamLoad &load, const PromptInfo &promptInfo,
                                  const Query &query) const
{
    double cost = queueCost(load, promptInfo);
    cost += kRunningRequestCost * static_cast<double>(load.running);
    if (load.running >= query.traits.slots)
        cost += kMissingSlotCost * static_cast<double>(load.running - query.traits.slots + 1);
    cost += kMissingMemoryWeight * static_cast<double>(missingMemory(load, query));
    return cost;
}

// Tokens that would exceed the engine's memory if it ran this request as well.
std::size_t EngineChooser::missingMemory(const UpstreamLoad &load, const Query &query)
{
    const std::size_t memory = load.tokensHeld + query.prompt.tokensIn + query.prompt.maxTokensOut;
    return memory - std::min(memory, query.traits.contextTokens);
}

// Ranks the engines for the context in the same order on all nodes, those of the matching group
// first.
void EngineChooser::rank(std::vector<Candidate> &candidates, const PromptInfo &promptInfo,
                         const std::set<std::string> &shortGroup)
{
    for (Candidate &it : candidates) {
        const std::string &id = it.engine->instanceId;
        it.isInMatchingGroup = shortGroup.contains(id) == promptInfo.isShort;
        it.hash = stableHash(id);
        it.weight = rendezvousWeight(promptInfo.context, it.hash);
    }
    std::sort(candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
        return std::pair(a.isInMatchingGroup, a.weight) > std::pair(b.isInMatchingGroup, b.weight);
    });
    for (std::size_t n = 0; n < candidates.size(); ++n)
        candidates[n].rank = n;
}

// Cost of computing the shared context at the engine, per token of the context. All nodes send the
// short prompts of a context to the same engine and the overflow to the same second one, so that
// these engines probably have it. The more engines keep a context, the less memory is left for
// other contexts.
double EngineChooser::recomputeWeight(const Candidate &candidate,
                                      const PromptInfo &promptInfo) const
{
    if (!promptInfo.isShort) {
        if (candidate.weights->isAtEngine)
            return readAgainWeight();
        return candidate.rank == 0 ? kPreferredComputeWeight : kComputeWeight;
    }
    if (candidate.rank == 0)
        return kShortPreferredWeight;
    return candidate.rank == 1 ? kShortSecondWeight : kShortOtherWeight;
}

double EngineChooser::readAgainWeight() const
{
    return m_limits.mechanisms.readAgainWeight ? kRecomputeWeight : kComputeWeight;
}

double EngineChooser::oldWeightsCost(std::uint64_t version, const Query &query) const
{
    const auto replaced = query.weights.supersededAt(version);
    const bool losesValue = replaced
                            && (!replaced->earliest
                                || m_clock.now() - *replaced->earliest >= m_limits.oldWeightsGrace);
    if (!losesValue)
        return 0.0;
    return query.maxDelay > Duration::zero() ? kOldWeightsCostInTime : kOldWeightsCost;
}

EngineChooser::VersionInfo EngineChooser::weightsInfo(std::uint64_t version, const Query &query,
                                                      const LoadView &loads,
                                                      const ContextDirectory &contexts) const
{
    const Prompt &prompt = query.prompt;
    VersionInfo weights;
    weights.version = version;
    weights.salt = contextSalt(prompt.model, version, query.isolatedTeam);
    weights.cost = oldWeightsCost(version, query);
    weights.isSuperseded = query.weights.supersededAt(version).has_value();
    for (std::size_t n = 0; n + 1 < prompt.parts.size(); ++n) {
        StoredPart part;
        if (m_limits.mechanisms.contextStores)
            part.holder = contexts.holderOf(weights.salt, prompt.parts[n].id);
        if (part.isHeld())
            part.queuedTokens
                = static_cast<double>(loads.total(part.holder.address).tokensToCompute);
        weights.stored.push_back(std::move(part));
        if (!query.fetchesFromEngines)
            break; // without exact loads, the first part stands for all
    }
    weights.isStored = query.fetchesFromEngines && !weights.stored.empty()
                       && std::all_of(weights.stored.begin(), weights.stored.end(),
                                      [](const StoredPart &it) { return it.isHeld(); });
    return weights;
}

// Finds the engines from which the context can be fetched, as far as stores do not hold it. An
// engine that fails or is silent is left out: a fetch from a dead engine takes several hundred
// milliseconds, and computing the context about 170.
void EngineChooser::findSources(const std::vector<Candidate> &candidates,
                                const PromptInfo &promptInfo, const Query &query,
                                const LoadView &loads, const UpstreamHealth &health,
                                const ContextDirectory &contexts) const
{
    if (!query.fetchesFromEngines || !m_limits.mechanisms.contextFromEngines || promptInfo.isShort)
        return;
    std::map<VersionInfo *, std::vector<const UpstreamRecord *>> holders;
    for (const Candidate &it : candidates) {
        const std::string &id = it.engine->instanceId;
        if (it.holdsContext && !it.weights->isStored && !it.engine->address.empty()
            && health.failureRate(id) == 0.0 && !health.isSilent(id))
            holders[it.weights].push_back(it.engine);
    }
    for (const auto &[weights, engines] : holders) {
        for (const UpstreamRecord *it :
             contexts.engineSources(engines, weights->salt, promptInfo.context,
                                    query.prompt.sharedTokens(), kLongContextKept)) {
            const std::size_t queued = loads.total(it->address).tokensToCompute;
            weights->sources.push_back({it, static_cast<double>(queued)});
        }
    }
}

// Transfers over a link run one after the other.
double EngineChooser::fetchCost(double sharedTokens, double waitingTokens, bool isNear)
{
    return kFetchWeight * waitingTokens
           + sharedTokens * kFetchWeight * (isNear ? 1.0 : kCrossDomainFactor);
}

// Time to move computed context over a link, in tokens that an engine computes meanwhile.
double EngineChooser::transferTokens(double tokens, double linkMbps, const Query &query)
{
    constexpr double kBitsPerByte = 8.0;
    constexpr double kBitsPerMsOfMbps = 1'000.0;
    const double ms = tokens * static_cast<double>(query.traits.tokenBytes) * kBitsPerByte
                      / (linkMbps * kBitsPerMsOfMbps);
    return ms * query.pace.tokensPerSecond() / 1'000.0;
}

// Cost of fetching the context from the stores that hold it. Without exact loads, or if the
// configuration does not name the speed of the links, a token costs the same at each store.
double EngineChooser::storeFetchCost(const Candidate &candidate, const PromptInfo &promptInfo,
                                     const Query &query)
{
    const VersionInfo &weights = *candidate.weights;
    const auto isNear = [&](const StoredPart &it) {
        return it.holder.failureDomain == candidate.engine->failureDomain;
    };
    const bool isExact = query.fetchesFromEngines && query.traits.tokenBytes > 0
                         && weights.stored.front().holder.linkMbps > 0.0;
    if (!isExact)
        return fetchCost(promptInfo.sharedTokens, storeQueue(weights),
                         isNear(weights.stored.front()));
    double moving = 0.0; // an engine's transfers run one after the other
    double waiting = 0.0; // those of different stores wait at the same time
    for (std::size_t n = 0; n < weights.stored.size() && weights.stored[n].isHeld(); ++n) {
        const StoredPart &part = weights.stored[n];
        const double factor = isNear(part) ? 1.0 : kCrossDomainFactor;
        const auto tokens = static_cast<double>(query.prompt.parts[n].tokens);
        moving += transferTokens(factor * tokens, part.holder.linkMbps, query);
        moving += std::chrono::duration<double>(part.holder.firstByteDelay).count()
                  * query.pace.tokensPerSecond();
        waiting = std::max(waiting, transferTokens(part.queuedTokens, part.holder.linkMbps, query));
    }
    return waiting + moving;
}

// The engine from which fetching the context costs least, and that cost; nullptr if there is none.
// Addresses are compared, since an engine that has restarted has another instance id.
std::pair<const UpstreamRecord *, double>
EngineChooser::cheapestSource(const Candidate &candidate, const PromptInfo &promptInfo,
                              const Query &query)
{
    std::pair<const UpstreamRecord *, double> best(nullptr, 0.0);
    for (const Source &it : candidate.weights->sources) {
        if (it.engine->address == candidate.engine->address)
            continue;
        const bool isNear = it.engine->failureDomain == candidate.engine->failureDomain;
        const double factor = isNear ? 1.0 : kCrossDomainFactor;
        const double cost
            = query.traits.linkMbps > 0.0
                  ? transferTokens(it.queuedTokens + factor * promptInfo.sharedTokens,
                                   query.traits.linkMbps, query)
                  : fetchCost(promptInfo.sharedTokens,
                              it.queuedTokens + storeQueue(*candidate.weights), isNear);
        if (best.first == nullptr || cost < best.second)
            best = {it.engine, cost};
    }
    return best;
}

// Cost of providing the shared context at the engine. If the source's link has more queued than
// recomputing the context costs the fleet, the context is recomputed, so that a slow link delays
// few answers.
double EngineChooser::contextCost(Candidate &candidate, const PromptInfo &promptInfo,
                                  const Query &query) const
{
    if (candidate.holdsContext)
        return 0.0;
    const auto [source, sourceCost] = cheapestSource(candidate, promptInfo, query);
    if (source != nullptr && sourceCost <= promptInfo.sharedTokens * readAgainWeight()) {
        candidate.source = source;
        candidate.contextTokens = sourceCost;
        return sourceCost;
    }
    const VersionInfo &weights = *candidate.weights;
    candidate.contextTokens = promptInfo.sharedTokens;
    if (weights.stored.empty() || !weights.stored.front().isHeld())
        return promptInfo.sharedTokens * recomputeWeight(candidate, promptInfo);
    const double fetching = storeFetchCost(candidate, promptInfo, query);
    const double computing = promptInfo.sharedTokens * readAgainWeight();
    candidate.fetches = fetching <= computing || !m_limits.mechanisms.computingInstead;
    if (candidate.fetches)
        candidate.contextTokens = fetching;
    return candidate.fetches ? fetching : computing;
}

// Whether the engine has the context, is preferred for it, is an assigned cold engine or belongs to
// the random sample.
bool EngineChooser::isConsidered(const Candidate &candidate, const Query &query)
{
    constexpr std::size_t kPreferred = 2; // engines at the top of the shared ranking
    return candidate.holdsContext || candidate.rank < kPreferred
           || query.assignedColdEngines.contains(candidate.engine->instanceId)
           || hashFraction(rendezvousWeight(query.sampleSeed, candidate.hash))
                  < query.candidateFraction;
}

void EngineChooser::computeCost(Candidate &candidate, const PromptInfo &promptInfo,
                                const Query &query, const LoadView &loads,
                                const UpstreamHealth &health) const
{
    const std::string &id = candidate.engine->instanceId;
    candidate.load = loads.total(id);
    candidate.cost = waitingCost(candidate.load, promptInfo, query)
                     + kFailureCost * health.failureRate(id) + candidate.weights->cost
                     + contextCost(candidate, promptInfo, query);
    if (health.isSilent(id))
        candidate.cost += kFailureCost;
    if (!candidate.isInMatchingGroup)
        candidate.cost += promptInfo.isShort ? kShortOutsideGroupCost : kLongInShortGroupCost;
    candidate.expectedDelay = expectedDelay(candidate, promptInfo, query);
    candidate.isLate
        = query.maxDelay > Duration::zero() && candidate.expectedDelay > query.maxDelay;
}

// A request beyond the slots waits for the end of another one. One beyond the memory preempts
// another, whose prompt is then computed again.
Duration EngineChooser::expectedDelay(const Candidate &candidate, const PromptInfo &promptInfo,
                                      const Query &query) const
{
    const UpstreamLoad &load = candidate.load;
    const double ownTokens = static_cast<double>(query.prompt.tokensIn) - promptInfo.sharedTokens;
    const double tokens = queueCost(load, promptInfo) + ownTokens + candidate.contextTokens
                          + kMissingMemoryWeight * static_cast<double>(missingMemory(load, query));
    const std::size_t slots = query.traits.slots;
    const std::size_t mustEnd = load.running + 1 - std::min(load.running + 1, slots);
    return query.pace.timeFor(tokens) + query.pace.timeUntilFinished(mustEnd, slots);
}

double candidateFractionFor(std::size_t liveNodes)
{
    // This many nodes do little harm if they choose at the same time without seeing each other's
    // choices.
    constexpr double kMaxNodesPerEngine = 12.0;
    return std::min(1.0,
                    kMaxNodesPerEngine / static_cast<double>(std::max<std::size_t>(liveNodes, 1)));
}

std::optional<EngineChoice>
EngineChooser::choose(const Query &query, const std::vector<const UpstreamRecord *> &engines,
                      const LoadView &loads, const UpstreamHealth &health,
                      ContextDirectory &contexts) const
{
    const Prompt &prompt = query.prompt;
    std::map<std::uint64_t, VersionInfo> weights; // by version
    std::vector<Candidate> candidates;
    for (const UpstreamRecord *it : engines) {
        if (!mayUse(*it, query, health))
            continue;
        const std::uint64_t version = it->weightVersions.at(prompt.model);
        auto known = weights.find(version);
        if (known == weights.end())
            known = weights.emplace(version, weightsInfo(version, query, loads, contexts)).first;
        if (known->second.isSuperseded) {
            const Duration wait
                = timeToFirstToken(loads.total(it->instanceId), query, known->second);
            if (!beginsInTime(version, wait, query.weights))
                continue;
        }
        Candidate entry;
        entry.engine = it;
        entry.weights = &known->second;
        candidates.push_back(entry);
    }
    if (candidates.empty())
        return std::nullopt;
    PromptInfo promptInfo;
    promptInfo.isShort = isShortPrompt(prompt, query.traits);
    promptInfo.context = prompt.contextHash();
    promptInfo.sharedTokens = static_cast<double>(prompt.sharedTokens());
    rank(candidates, promptInfo, query.shortGroup);
    const Duration keptFor = promptInfo.isShort ? kShortContextKept : kLongContextKept;
    for (Candidate &it : candidates) {
        it.holdsContext = contexts.isContextAtEngine(it.engine->instanceId, it.weights->salt,
                                                     promptInfo.context, keptFor);
        it.weights->isAtEngine = it.weights->isAtEngine || it.holdsContext;
    }
    findSources(candidates, promptInfo, query, loads, health, contexts);
    std::erase_if(candidates, [&](const Candidate &it) { return !isConsidered(it, query); });
    for (Candidate &it : candidates)
        computeCost(it, promptInfo, query, loads, health);
    const auto best = std::min_element(
        candidates.begin(), candidates.end(), [](const Candidate &a, const Candidate &b) {
            return std::pair(a.isLate, a.cost) < std::pair(b.isLate, b.cost);
        });
    return complete(*best, promptInfo, query, contexts);
}

// Size that decides whether a part is worth saving.
std::size_t EngineChooser::contextToSave(const Prompt &prompt, const PromptPart &part) const
{
    return m_limits.mechanisms.smallFirstParts ? prompt.sharedTokens() : part.tokens;
}

// How long a part that is fetched occupies the store's link, relative to one that stays in the
// failure domain. Only a scheduler counts this.
std::size_t EngineChooser::linkShare(const Candidate &candidate, const Query &query,
                                     std::size_t part)
{
    const std::vector<StoredPart> &stored = candidate.weights->stored;
    const bool isFar = query.fetchesFromEngines && part < stored.size() && stored[part].isHeld()
                       && stored[part].holder.failureDomain != candidate.engine->failureDomain;
    return isFar ? static_cast<std::size_t>(kCrossDomainFactor) : 1;
}

EngineChoice EngineChooser::complete(const Candidate &candidate, const PromptInfo &promptInfo,
                                     const Query &query, ContextDirectory &contexts) const
{
    const Prompt &prompt = query.prompt;
    EngineChoice choice;
    choice.instanceId = candidate.engine->instanceId;
    choice.weightVersion = candidate.weights->version;
    choice.newestWeights = query.weights.newest();
    const auto replaced = query.weights.supersededAt(choice.weightVersion);
    if (replaced && replaced->earliest)
        choice.replacedFor = m_clock.now() - *replaced->earliest;
    choice.replicaAge = contexts.replicaAge();
    choice.salt = candidate.weights->salt;
    choice.context = promptInfo.context;
    choice.sharedTokens = prompt.sharedTokens();
    choice.isPreferred = candidate.rank == 0;
    choice.holdsContext = candidate.holdsContext;
    choice.isStored
        = !candidate.weights->stored.empty() && candidate.weights->stored.front().isHeld();
    choice.loadBefore = candidate.load;
    choice.firstTokenDelay = timeToFirstToken(candidate.load, query, *candidate.weights);
    choice.expectedDelay = candidate.expectedDelay;
    choice.isShort = promptInfo.isShort;
    choice.queuedTokens
        = queueCost(candidate.load, promptInfo)
          + kMissingMemoryWeight * static_cast<double>(missingMemory(candidate.load, query));
    std::size_t known = 0; // tokens that need not be computed
    std::set<std::string_view> partsSeen;
    for (std::size_t n = 0; n < prompt.parts.size(); ++n) {
        const bool isShared = n + 1 < prompt.parts.size();
        const bool isExchanged = isShared && n < kMaxExchangedParts;
        const PromptPart &part = prompt.parts[n];
        std::string from;
        std::string to;
        if (isExchanged && m_limits.mechanisms.contextStores) {
            if (candidate.fetches)
                from = contexts.holderOf(choice.salt, part.id).address;
            // The same part may occur several times in a prompt.
            if (from.empty() && partsSeen.insert(part.id).second)
                to = contexts.storeForSave(choice.salt, part, contextToSave(prompt, part),
                                           candidate.engine->failureDomain);
        }
        if (isExchanged && from.empty() && candidate.source != nullptr) {
            from = candidate.source->address;
            choice.sourceEngine = from;
        }
        if (isShared && candidate.holdsContext) {
            known += part.tokens;
        } else if (!from.empty()) {
            known += part.tokens;
            choice.fetchTokens[from] += part.tokens * linkShare(candidate, query, n);
        }
        choice.fetchFrom.push_back(std::move(from));
        choice.saveTo.push_back(std::move(to));
    }
    choice.load.tokensToCompute = prompt.tokensIn - std::min(prompt.tokensIn, known);
    choice.load.tokensHeld = prompt.tokensIn + prompt.maxTokensOut;
    return choice;
}

void EngineChooser::recordSent(const EngineChoice &choice, const Prompt &prompt,
                               ContextDirectory &contexts)
{
    contexts.recordSend(choice.instanceId, choice.salt, choice.context, prompt.sharedTokens(),
                        choice.holdsContext ? Duration::zero() : choice.firstTokenDelay);
    for (std::size_t n = 0; n < choice.saveTo.size(); ++n) {
        if (!choice.saveTo[n].empty())
            contexts.beginSave(choice.saveTo[n], choice.salt, prompt.parts[n]);
    }
}

} // namespace fordwood
