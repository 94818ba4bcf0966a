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
    m_contexts[prompt.contextHash()] = {prompt.sharedTokens(), m_clock.now()};
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

std::set<std::string> enginesForShortPrompts(const std::vector<const UpstreamRecord *> &engines,
                                             const EngineTraits &traits, std::size_t demandTokens)
{
    if (engines.size() < 2 || traits.contextTokens == 0 || demandTokens == 0)
        return {};
    const double needed = kRunningRequestsFactor * static_cast<double>(demandTokens)
                          / static_cast<double>(traits.contextTokens);
    const auto most = static_cast<std::size_t>(kMaxShare * static_cast<double>(engines.size()));
    const std::size_t n = std::clamp<std::size_t>(static_cast<std::size_t>(std::ceil(needed)), 1,
                                                  std::max<std::size_t>(most, 1));
    std::vector<std::uint64_t> hashes;
    hashes.reserve(engines.size());
    for (const UpstreamRecord *it : engines)
        hashes.push_back(stableHash(it->instanceId));
    std::set<std::string> selected;
    for (const std::size_t it : rendezvousOrder(stableHash("short prompts"), hashes, n))
        selected.insert(engines[it]->instanceId);
    return selected;
}

} // namespace fordwood
