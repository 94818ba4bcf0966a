// SPDX-License-Identifier: MIT
#include "fordwood/engine_chooser.hpp"

#include <algorithm>
#include <map>

#include "fordwood/engine_groups.hpp"
#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// Costs are in prompt tokens that an engine would have to compute. The weights are trials on the
// notice boards' standard days; see docs/design/10-platform.md.

// Computing context again that the stores hold would also cost the fleet, not only this request;
// but then it is fetched. What no store holds is probably read for the first time.
constexpr double kComputeWeight = 1.0;
// The engine that all nodes prefer for a context may have it from a request of another node.
constexpr double kHomeComputeWeight = 0.9;
// Moving a token of context takes a part of the time of computing it, with the wait for the links.
constexpr double kFetchWeight = 0.3;
// Each running request slows every token of the others a little.
constexpr double kRunningCost = 60.0;
// A request beyond the slots waits for a whole other request to end.
constexpr double kNoSlotCost = 12'000.0;
// Memory beyond the engine's preempts others, which then compute their prompts again.
constexpr double kNoMemoryWeight = 2.0;
// A short prompt among long ones waits for their computation, and loses its context to them.
constexpr double kShortOutsideCost = 6'000.0;
// A long prompt among short ones does so to some hundred of them.
constexpr double kLongInsideCost = 25'000.0;
// An answer on older weights loses a fifth of its value.
constexpr double kOldWeightsCost = 15'000.0;
// An engine all of whose requests fail is used only when there is no other.
constexpr double kFailureCost = 60'000.0;

} // namespace

bool EngineChooser::mayUse(const UpstreamRecord &engine, const Question &question,
                           const UpstreamHealth &health) const
{
    if (question.tried.contains(engine.instanceId) || health.isPaused(engine.instanceId))
        return false;
    const auto version = engine.weightVersions.find(question.prompt.model);
    if (version == engine.weightVersions.end())
        return false;
    const bool isOld = version->second < question.target.version;
    return !isOld || m_clock.now() - question.target.since < m_limits.oldWeightsEnd;
}

double EngineChooser::waitingCost(const UpstreamLoad &load, const Question &question) const
{
    double cost = static_cast<double>(load.tokensToCompute);
    cost += kRunningCost * static_cast<double>(load.running);
    if (load.running >= question.traits.slots)
        cost += kNoSlotCost * static_cast<double>(load.running - question.traits.slots + 1);
    const std::size_t memory
        = load.tokensHeld + question.prompt.tokensIn + question.prompt.mostTokensOut;
    if (memory > question.traits.contextTokens)
        cost += kNoMemoryWeight * static_cast<double>(memory - question.traits.contextTokens);
    return cost;
}

// The engine that all nodes prefer for the context: one of its group, if any may be used.
int EngineChooser::homeOf(std::uint64_t context, const std::vector<Rated> &rated, bool isShort,
                          const std::set<std::string> &shortGroup)
{
    int home = -1;
    bool isHomeInGroup = false;
    std::uint64_t best = 0;
    for (std::size_t n = 0; n < rated.size(); ++n) {
        const std::string &id = rated[n].engine->instanceId;
        const bool isInGroup = shortGroup.contains(id) == isShort;
        const std::uint64_t weight = rendezvousWeight(context, stableHash(id));
        if (home >= 0
            && (isHomeInGroup > isInGroup || (isHomeInGroup == isInGroup && weight <= best)))
            continue;
        home = static_cast<int>(n);
        isHomeInGroup = isInGroup;
        best = weight;
    }
    return home;
}

std::optional<EngineChoice>
EngineChooser::choose(const Question &question, const std::vector<const UpstreamRecord *> &engines,
                      const LoadBook &loads, const UpstreamHealth &health,
                      ContextDirectory &contexts) const
{
    std::vector<Rated> rated;
    for (const UpstreamRecord *it : engines) {
        if (!mayUse(*it, question, health))
            continue;
        Rated entry;
        entry.engine = it;
        entry.version = it->weightVersions.at(question.prompt.model);
        entry.salt = contextSalt(question.prompt.model, entry.version, question.walledTeam);
        rated.push_back(std::move(entry));
    }
    if (rated.empty())
        return std::nullopt;
    const std::uint64_t context = question.prompt.contextHash();
    const bool isShort = isShortPrompt(question.prompt, question.traits);
    const int home = homeOf(context, rated, isShort, question.shortGroup);
    const auto shared = static_cast<double>(question.prompt.sharedTokens());
    std::map<std::string, bool> inStores; // by salt
    for (Rated &it : rated) {
        const auto [stored, isNew] = inStores.try_emplace(it.salt, false);
        if (isNew && question.prompt.parts.size() > 1)
            stored->second = !contexts.storeWith(it.salt, question.prompt.parts.front().id).empty();
    }
    const bool old = m_clock.now() - question.target.since >= m_limits.oldWeightsFine;
    for (std::size_t n = 0; n < rated.size(); ++n) {
        Rated &it = rated[n];
        it.isHome = static_cast<int>(n) == home;
        it.isStored = inStores[it.salt];
        it.holdsContext = contexts.isAtEngine(it.engine->instanceId, it.salt, context)
                          || (it.isHome && it.isStored);
        it.load = loads.total(it.engine->instanceId);
        it.cost = waitingCost(it.load, question);
        it.cost += kFailureCost * health.failureRate(it.engine->instanceId);
        if (question.shortGroup.contains(it.engine->instanceId) != isShort)
            it.cost += isShort ? kShortOutsideCost : kLongInsideCost;
        if (it.version < question.target.version && old)
            it.cost += kOldWeightsCost;
        if (it.holdsContext)
            continue;
        if (it.isStored)
            it.cost += shared * kFetchWeight;
        else
            it.cost += shared * (it.isHome ? kHomeComputeWeight : kComputeWeight);
    }
    const auto best = std::min_element(
        rated.begin(), rated.end(), [](const Rated &a, const Rated &b) { return a.cost < b.cost; });
    return complete(*best, question, contexts);
}

EngineChoice EngineChooser::complete(const Rated &rated, const Question &question,
                                     ContextDirectory &contexts)
{
    const Prompt &prompt = question.prompt;
    EngineChoice choice;
    choice.instanceId = rated.engine->instanceId;
    choice.weightVersion = rated.version;
    choice.salt = rated.salt;
    choice.isHome = rated.isHome;
    choice.holdsContext = rated.holdsContext;
    choice.isStored = rated.isStored;
    choice.found = rated.load;
    std::size_t fetched = 0;
    for (std::size_t n = 0; n < prompt.parts.size(); ++n) {
        const bool isShared = n + 1 < prompt.parts.size();
        const PromptPart &part = prompt.parts[n];
        std::string from = isShared ? contexts.storeWith(rated.salt, part.id) : "";
        std::string to;
        if (isShared && from.empty())
            to = contexts.storeForSave(rated.salt, part, rated.engine->failureDomain);
        if (!from.empty())
            fetched += part.tokens;
        choice.fetchFrom.push_back(std::move(from));
        choice.saveTo.push_back(std::move(to));
    }
    const std::size_t known = rated.holdsContext ? prompt.sharedTokens() : fetched;
    choice.load.tokensToCompute = prompt.tokensIn - std::min(prompt.tokensIn, known);
    choice.load.tokensHeld = prompt.tokensIn + prompt.mostTokensOut;
    contexts.sentTo(choice.instanceId, rated.salt, prompt.contextHash());
    return choice;
}

} // namespace fordwood
