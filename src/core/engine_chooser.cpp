// SPDX-License-Identifier: MIT
#include "fordwood/engine_chooser.hpp"

#include <algorithm>

#include "fordwood/engine_groups.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Costs are in prompt tokens that an engine would have to compute; see docs/design/10-platform.md.

// Computing context again that the stores hold would also cost the fleet, not only this request;
// but then it is fetched. What no store holds is probably read for the first time.
constexpr double kComputeWeight = 1.0;
// The engine that all nodes prefer for a context may have it from a request of another node.
constexpr double kHomeComputeWeight = 0.9;
// Reading a context again that another engine has costs the fleet more than the request's wait.
constexpr double kReadAgainWeight = 4.0;
// For short prompts, which come from all nodes, most to few contexts.
constexpr double kShortHomeWeight = 0.2;
constexpr double kShortNextWeight = 2.0;
constexpr double kShortElsewhereWeight = 4.0;
// Moving a token of context takes a part of the time of computing it, with the wait for the links.
constexpr double kFetchWeight = 0.2;
// Links between failure domains are half as fast.
constexpr double kFarFactor = 2.0;
// How long an engine keeps a context after its last use, about: long prompts fill its memory within
// seconds, short ones do so only after minutes.
constexpr Duration kLongContextKept = std::chrono::seconds(3);
constexpr Duration kShortContextKept = std::chrono::seconds(20);
// Each running request slows every token of the others a little.
constexpr double kRunningCost = 60.0;
// The part of the waiting work of an engine that a short prompt waits for.
constexpr double kShortSeesLong = 0.3;
// A request beyond the slots waits for a whole other request to end.
constexpr double kNoSlotCost = 12'000.0;
// Memory beyond the engine's preempts others, which then compute their prompts again.
constexpr double kNoMemoryWeight = 4.0;
// A short prompt among long ones waits for their computation, and loses its context to them.
constexpr double kShortOutsideCost = 6'000.0;
// A long prompt among short ones does so to some hundred of them.
constexpr double kLongInsideCost = 25'000.0;
// An answer on older weights loses a fifth of its value.
constexpr double kOldWeightsCost = 6'000.0;
// An engine all of whose requests fail is used only when there is no other.
constexpr double kFailureCost = 60'000.0;
// Of so many places at an engine one may be taken by a request that a peer has not told of yet.
constexpr std::size_t kPlacesForOneUntold = 8;
// For what a wait takes beyond what is expected: an engine may be slower than the others, and peers
// may have sent it prompts that they have not told of yet.
constexpr Duration kBeginMargin = std::chrono::seconds(1);

} // namespace

bool EngineChooser::mayUse(const UpstreamRecord &engine, const Question &question,
                           const UpstreamHealth &health) const
{
    if (question.tried.contains(engine.instanceId) || health.isPaused(engine.instanceId))
        return false;
    const auto version = engine.weightVersions.find(question.prompt.model);
    // Versions begin at 1: 0 tells none, and the request could be held to nothing.
    return version != engine.weightVersions.end() && version->second != 0;
}

bool EngineChooser::beginsInTime(std::uint64_t version, Duration beginsAfter,
                                 const WeightHistory &weights) const
{
    const auto replaced = weights.supersededAt(version);
    if (!replaced)
        return true;
    // Weights that were replaced at a time that nobody knows may have been so for long: only nodes
    // that know how long may use them.
    if (!replaced->earliest)
        return false;
    // A fixed time for the wait is too short where requests queue, and leaves engines without work
    // that could still begin it at once.
    const Duration begins = m_clock.now() - *replaced->earliest + beginsAfter;
    return begins + kBeginMargin < m_limits.weightsWithin;
}

// How long a request waits at an engine for its first token. All that lies there counts, also what
// a short prompt may overtake: an engine that is left out for its queue has work meanwhile.
Duration EngineChooser::timeToBegin(const UpstreamLoad &load, const Question &question,
                                    const Weights &weights) const
{
    const Prompt &prompt = question.prompt;
    const EngineTraits &traits = question.traits;
    const std::size_t requests = load.running + 1;
    const std::size_t held = load.tokensHeld + prompt.tokensIn + prompt.mostTokensOut;
    std::size_t atOnce = traits.slots;
    // Where the memory holds fewer requests than there are slots, it decides how many run at once.
    if (held > 0 && traits.contextTokens > 0)
        atOnce = std::min(atOnce, requests * traits.contextTokens / held);
    const std::size_t places = atOnce - atOnce / kPlacesForOneUntold;
    const std::size_t mustEnd = requests - std::min(requests, places);
    const double tokens = static_cast<double>(load.tokensToCompute + prompt.tokensIn)
                          + storeWait(weights, static_cast<double>(prompt.sharedTokens()));
    return question.pace.timeFor(tokens) + question.pace.timeForEnds(mustEnd, atOnce);
}

// What the store of a context sends before it, in tokens to compute; nothing where the context is
// computed instead.
double EngineChooser::storeWait(const Weights &weights, double sharedTokens) const
{
    const double waiting = kFetchWeight * weights.storeTokens;
    const bool isFetched
        = waiting + sharedTokens * kFetchWeight <= sharedTokens * readAgainWeight();
    return isFetched || !m_limits.mechanisms.computingInstead ? waiting : 0.0;
}

// What is to be computed before a prompt: a short one goes before long ones that wait, but not
// before those that are being computed.
double EngineChooser::queueCost(const UpstreamLoad &load, const Terms &terms) const
{
    return static_cast<double>(load.tokensToCompute) * (terms.isShort ? kShortSeesLong : 1.0);
}

double EngineChooser::waitingCost(const UpstreamLoad &load, const Terms &terms,
                                  const Question &question) const
{
    double cost = queueCost(load, terms);
    cost += kRunningCost * static_cast<double>(load.running);
    if (load.running >= question.traits.slots)
        cost += kNoSlotCost * static_cast<double>(load.running - question.traits.slots + 1);
    cost += kNoMemoryWeight * static_cast<double>(missingMemory(load, question));
    return cost;
}

// Tokens for which the engine would have no memory beside the requests that run there.
std::size_t EngineChooser::missingMemory(const UpstreamLoad &load, const Question &question)
{
    const std::size_t memory
        = load.tokensHeld + question.prompt.tokensIn + question.prompt.mostTokensOut;
    return memory - std::min(memory, question.traits.contextTokens);
}

// Orders the engines as all nodes prefer them for the context: first those of its group.
void EngineChooser::rank(std::vector<Rated> &rated, const Terms &terms,
                         const std::set<std::string> &shortGroup)
{
    for (Rated &it : rated) {
        const std::string &id = it.engine->instanceId;
        it.isInGroup = shortGroup.contains(id) == terms.isShort;
        it.hash = stableHash(id);
        it.weight = rendezvousWeight(terms.context, it.hash);
    }
    std::sort(rated.begin(), rated.end(), [](const Rated &a, const Rated &b) {
        return std::pair(a.isInGroup, a.weight) > std::pair(b.isInGroup, b.weight);
    });
    for (std::size_t n = 0; n < rated.size(); ++n)
        rated[n].rank = n;
}

// What it costs to compute the shared context at the engine, in its own tokens. All nodes send the
// short prompts of a context to the same engine, and the others to the same next one, so that it is
// probably there; the more of them have it, the less room there is for other contexts.
double EngineChooser::computeWeight(const Rated &rated, const Terms &terms) const
{
    if (!terms.isShort) {
        if (rated.weights->isHeld)
            return readAgainWeight();
        return rated.rank == 0 ? kHomeComputeWeight : kComputeWeight;
    }
    if (rated.rank == 0)
        return kShortHomeWeight;
    return rated.rank == 1 ? kShortNextWeight : kShortElsewhereWeight;
}

double EngineChooser::readAgainWeight() const
{
    return m_limits.mechanisms.readAgainWeight ? kReadAgainWeight : kComputeWeight;
}

double EngineChooser::versionCost(std::uint64_t version, const WeightHistory &weights) const
{
    const auto replaced = weights.supersededAt(version);
    const bool losesValue = replaced
                            && (!replaced->earliest
                                || m_clock.now() - *replaced->earliest >= m_limits.oldWeightsFine);
    return losesValue ? kOldWeightsCost : 0.0;
}

EngineChooser::Weights EngineChooser::weightsOf(std::uint64_t version, const Question &question,
                                                const UpstreamLoadTracker &loads,
                                                const ContextDirectory &contexts) const
{
    const Prompt &prompt = question.prompt;
    Weights weights;
    weights.version = version;
    weights.salt = contextSalt(prompt.model, version, question.walledTeam);
    weights.cost = versionCost(version, question.weights);
    weights.isReplaced = question.weights.supersededAt(version).has_value();
    if (prompt.parts.size() > 1 && m_limits.mechanisms.contextStores)
        weights.holder = contexts.storeWith(weights.salt, prompt.parts.front().id);
    if (!weights.holder.address.empty())
        weights.storeTokens
            = static_cast<double>(loads.total(weights.holder.address).tokensToCompute);
    return weights;
}

// What it costs to have the shared context at the engine. Where the store's link has more to send
// than computing the context again costs the fleet, it is computed: so a link that turns slow makes
// few answers late.
double EngineChooser::contextCost(Rated &rated, const Terms &terms) const
{
    if (rated.holdsContext)
        return 0.0;
    const ContextDirectory::Holder &holder = rated.weights->holder;
    if (holder.address.empty())
        return terms.sharedTokens * computeWeight(rated, terms);
    const bool isNear = holder.failureDomain == rated.engine->failureDomain;
    // Moves over the store's link run one after the other.
    const double waiting = kFetchWeight * rated.weights->storeTokens;
    const double fetching
        = waiting + terms.sharedTokens * kFetchWeight * (isNear ? 1.0 : kFarFactor);
    const double computing = terms.sharedTokens * readAgainWeight();
    rated.fetches = fetching <= computing || !m_limits.mechanisms.computingInstead;
    return rated.fetches ? fetching : computing;
}

// Those that have the context or are preferred for it, and a random part of the others.
bool EngineChooser::isConsidered(const Rated &rated, const Question &question)
{
    constexpr std::size_t kPreferred = 2; // of the order that all nodes share
    return rated.holdsContext || rated.rank < kPreferred
           || question.coldToUse.contains(rated.engine->instanceId)
           || hashFraction(rendezvousWeight(question.draw, rated.hash)) < question.consideredPart;
}

void EngineChooser::rate(Rated &rated, const Terms &terms, const Question &question,
                         const UpstreamLoadTracker &loads, const UpstreamHealth &health) const
{
    const std::string &id = rated.engine->instanceId;
    rated.load = loads.total(id);
    rated.cost = waitingCost(rated.load, terms, question) + kFailureCost * health.failureRate(id)
                 + rated.weights->cost + contextCost(rated, terms);
    if (health.isSilent(id))
        rated.cost += kFailureCost;
    if (!rated.isInGroup)
        rated.cost += terms.isShort ? kShortOutsideCost : kLongInsideCost;
}

double partToConsider(std::size_t liveNodes)
{
    // Nodes that choose at the same time and do not yet see each other's choices do little harm.
    constexpr double kChoosersOfAnEngine = 12.0;
    return std::min(1.0,
                    kChoosersOfAnEngine / static_cast<double>(std::max<std::size_t>(liveNodes, 1)));
}

std::optional<EngineChoice>
EngineChooser::choose(const Question &question, const std::vector<const UpstreamRecord *> &engines,
                      const UpstreamLoadTracker &loads, const UpstreamHealth &health,
                      ContextDirectory &contexts) const
{
    const Prompt &prompt = question.prompt;
    std::map<std::uint64_t, Weights> weights; // by version
    std::vector<Rated> rated;
    for (const UpstreamRecord *it : engines) {
        if (!mayUse(*it, question, health))
            continue;
        const std::uint64_t version = it->weightVersions.at(prompt.model);
        auto known = weights.find(version);
        if (known == weights.end())
            known = weights.emplace(version, weightsOf(version, question, loads, contexts)).first;
        if (known->second.isReplaced) {
            const Duration wait = timeToBegin(loads.total(it->instanceId), question, known->second);
            if (!beginsInTime(version, wait, question.weights))
                continue;
        }
        Rated entry;
        entry.engine = it;
        entry.weights = &known->second;
        rated.push_back(entry);
    }
    if (rated.empty())
        return std::nullopt;
    Terms terms;
    terms.isShort = isShortPrompt(prompt, question.traits);
    terms.context = prompt.contextHash();
    terms.sharedTokens = static_cast<double>(prompt.sharedTokens());
    rank(rated, terms, question.shortGroup);
    const Duration keptFor = terms.isShort ? kShortContextKept : kLongContextKept;
    for (Rated &it : rated) {
        it.holdsContext
            = contexts.isAtEngine(it.engine->instanceId, it.weights->salt, terms.context, keptFor);
        it.weights->isHeld = it.weights->isHeld || it.holdsContext;
    }
    std::erase_if(rated, [&](const Rated &it) { return !isConsidered(it, question); });
    for (Rated &it : rated)
        rate(it, terms, question, loads, health);
    const auto best = std::min_element(
        rated.begin(), rated.end(), [](const Rated &a, const Rated &b) { return a.cost < b.cost; });
    return complete(*best, terms, question, contexts);
}

// The size that decides whether a part is worth a save.
std::size_t EngineChooser::contextToSave(const Prompt &prompt, const PromptPart &part) const
{
    return m_limits.mechanisms.smallFirstParts ? prompt.sharedTokens() : part.tokens;
}

EngineChoice EngineChooser::complete(const Rated &rated, const Terms &terms,
                                     const Question &question, ContextDirectory &contexts) const
{
    const Prompt &prompt = question.prompt;
    EngineChoice choice;
    choice.instanceId = rated.engine->instanceId;
    choice.weightVersion = rated.weights->version;
    choice.newestWeights = question.weights.newest();
    const auto replaced = question.weights.supersededAt(choice.weightVersion);
    if (replaced && replaced->earliest)
        choice.replacedFor = m_clock.now() - *replaced->earliest;
    choice.salt = rated.weights->salt;
    choice.context = terms.context;
    choice.sharedTokens = prompt.sharedTokens();
    choice.isHome = rated.rank == 0;
    choice.holdsContext = rated.holdsContext;
    choice.isStored = !rated.weights->holder.address.empty();
    choice.found = rated.load;
    choice.beginsAfter = timeToBegin(rated.load, question, *rated.weights);
    choice.isShort = terms.isShort;
    choice.waitTokens
        = queueCost(rated.load, terms)
          + kNoMemoryWeight * static_cast<double>(missingMemory(rated.load, question));
    std::size_t fetched = 0;
    for (std::size_t n = 0; n < prompt.parts.size(); ++n) {
        const bool isShared = n + 1 < prompt.parts.size();
        const PromptPart &part = prompt.parts[n];
        std::string from;
        std::string to;
        if (isShared && m_limits.mechanisms.contextStores) {
            if (rated.fetches)
                from = contexts.storeWith(choice.salt, part.id).address;
            if (from.empty())
                to = contexts.storeForSave(choice.salt, part, contextToSave(prompt, part),
                                           rated.engine->failureDomain);
        }
        if (!from.empty()) {
            fetched += part.tokens;
            if (!rated.holdsContext)
                choice.fetchTokens[from] += part.tokens;
        }
        choice.fetchFrom.push_back(std::move(from));
        choice.saveTo.push_back(std::move(to));
    }
    const std::size_t known = rated.holdsContext ? prompt.sharedTokens() : fetched;
    choice.load.tokensToCompute = prompt.tokensIn - std::min(prompt.tokensIn, known);
    choice.load.tokensHeld = prompt.tokensIn + prompt.mostTokensOut;
    return choice;
}

void EngineChooser::noteSent(const EngineChoice &choice, const Prompt &prompt,
                             ContextDirectory &contexts)
{
    contexts.sentTo(choice.instanceId, choice.salt, choice.context, prompt.sharedTokens());
    for (std::size_t n = 0; n < choice.saveTo.size(); ++n) {
        if (!choice.saveTo[n].empty())
            contexts.saveBegins(choice.saveTo[n], choice.salt, prompt.parts[n]);
    }
}

} // namespace fordwood
