// SPDX-License-Identifier: MIT
#include "fordwood/engine_groups.hpp"

#include <algorithm>
#include <cmath>

#include "fordwood/rendezvous.hpp"

namespace fordwood {

namespace {

// A prompt is short if this many of its size fit into an engine's memory.
constexpr std::size_t kShortPromptsPerEngine = 32;

// Extra memory for running requests besides the kept contexts.
constexpr double kRunningRequestsFactor = 1.3;

// Largest share of the engines in the group; long prompts need the others.
constexpr double kMaxShare = 0.4;

} // namespace

bool isShortPrompt(const Prompt &prompt, const EngineTraits &traits)
{
    return prompt.tokensIn * kShortPromptsPerEngine <= traits.contextTokens;
}

void ShortPromptDemand::count(const Prompt &prompt)
{
    count(prompt.contextHash(), prompt.sharedTokens());
}

void ShortPromptDemand::count(std::uint64_t context, std::size_t sharedTokens)
{
    m_contexts[context] = {sharedTokens, m_clock.now()};
}

std::size_t ShortPromptDemand::ownTokens()
{
    const TimePoint oldest = m_clock.now() - m_window;
    std::size_t sum = 0;
    std::erase_if(m_contexts, [&](const auto &it) { return it.second.lastUsed < oldest; });
    for (const auto &[hash, context] : m_contexts)
        sum += context.tokens;
    return sum;
}

void ShortPromptDemand::setPeer(const std::string &peer, std::size_t tokens)
{
    m_peers[peer] = {tokens, m_clock.now()};
}

std::size_t ShortPromptDemand::total()
{
    const TimePoint oldest = m_clock.now() - m_window;
    std::size_t sum = ownTokens();
    for (const auto &[name, demand] : m_peers) {
        if (demand.receivedAt >= oldest)
            sum += demand.tokens;
    }
    return sum;
}

std::size_t maxShortPromptEngines(std::size_t engines)
{
    if (engines < 2)
        return 0;
    return std::max<std::size_t>(static_cast<std::size_t>(kMaxShare * static_cast<double>(engines)),
                                 1);
}

std::size_t enginesForSharedContext(const EngineTraits &traits, std::size_t tokens)
{
    if (traits.contextTokens == 0)
        return 0;
    return static_cast<std::size_t>(std::ceil(kRunningRequestsFactor * static_cast<double>(tokens)
                                              / static_cast<double>(traits.contextTokens)));
}

std::set<std::string> selectShortPromptEngines(const std::vector<const UpstreamRecord *> &engines,
                                               std::size_t count)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(engines.size());
    for (const UpstreamRecord *it : engines)
        hashes.push_back(stableHash(it->instanceId));
    std::set<std::string> selected;
    for (const std::size_t it : rendezvousOrder(stableHash("short prompts"), hashes, count))
        selected.insert(engines[it]->instanceId);
    return selected;
}

std::set<std::string> enginesForShortPrompts(const std::vector<const UpstreamRecord *> &engines,
                                             const EngineTraits &traits, std::size_t demandTokens)
{
    const std::size_t needed = enginesForSharedContext(traits, demandTokens);
    return selectShortPromptEngines(engines,
                                    std::min(needed, maxShortPromptEngines(engines.size())));
}

} // namespace fordwood
